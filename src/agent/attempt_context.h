// What the steps of an attempt's life share: the agent's state, and what to do when a step fails.
#pragma once
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "actor/loop.h"
#include "agent/agent_paths.h"
#include "agent/agent_state.h"
#include "agent/live_attempts.h"
#include "agent/settings.h"
#include "artifacts/client.h"

namespace shunttrail::agent {

/// An attempt that failed for a reason that may pass is tried again after this time.
inline constexpr double kRetryDelayS = 1;

struct AttemptContext {
  actor::Loop& loop;
  actor::Actor& mailbox;  ///< of the agent: all answers are taken there, one at a time
  const Settings& settings;
  const AgentPaths& paths;
  AgentState& state;
  LiveAttempts& live;
  artifacts::Client& artifacts;
  /// Takes the attempt's next step.
  std::function<void(const Key&)> advance;

  void retry_later(LiveAttempt& attempt, double delay_s = kRetryDelayS) const;
  /// The attempt has exited with this reason, without a checkpoint.
  void fail(const Key& key, wire::ExitReason exit_reason, const std::string& why) const;
  /// Makes `next` the attempt table; where that fails the attempt's step is taken again later.
  /// False: it failed.
  bool commit_or_retry(AttemptTable next, const std::string& step, LiveAttempt& attempt) const;
};

/// Fields of a log line about an attempt.
nlohmann::json log_fields(const Key& key);
/// The same with a reason.
nlohmann::json log_fields(const Key& key, const std::string& why);

}  // namespace shunttrail::agent

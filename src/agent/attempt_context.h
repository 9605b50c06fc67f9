// Context shared by the steps of an attempt: the agent's state, and the handling of failed steps.
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

/// Delay before a step that failed for a transient reason is retried.
inline constexpr double kRetryDelayS = 1;

struct AttemptContext {
  actor::Loop& loop;
  actor::Actor& mailbox;  ///< the agent's; it handles all answers, one at a time
  const Settings& settings;
  const AgentPaths& paths;
  AgentState& state;
  LiveAttempts& live;
  artifacts::Client& artifacts;
  /// Runs the attempt's next step.
  std::function<void(const Key&)> advance;

  void retry_later(LiveAttempt& attempt, double delay_s = kRetryDelayS) const;
  /// Records that the attempt has exited with this reason, without a checkpoint.
  void fail(const Key& key, wire::ExitReason exit_reason, const std::string& why) const;
  /// Makes `next` the attempt table. Returns false if the journal cannot be written; the attempt's
  /// step is then retried later.
  bool commit_or_retry(AttemptTable next, const std::string& step, LiveAttempt& attempt) const;
};

/// Returns the fields that identify an attempt in a log line.
nlohmann::json log_fields(const Key& key);
/// The same, with the field `why`.
nlohmann::json log_fields(const Key& key, const std::string& why);

}  // namespace shunttrail::agent

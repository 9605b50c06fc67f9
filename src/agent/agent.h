// The worker agent, one on each machine: sends heartbeats, executes commands, runs each task under
// a supervisor of its own and brings its result into the artifact store. It may be killed at any
// moment and started again (docs/agent.md).
#pragma once
#include <filesystem>
#include <optional>

#include "actor/loop.h"
#include "agent/agent_journal.h"
#include "agent/agent_paths.h"
#include "agent/agent_state.h"
#include "agent/command_server.h"
#include "agent/heartbeat_client.h"
#include "agent/settings.h"
#include "agent/task_runner.h"

namespace shunttrail::agent {

class Agent : public actor::Actor {
 public:
  /// Locks the agent's directory and recovers the state that the previous process left there. The
  /// journal calls `step` before and after each durable write. Throws JournalError or
  /// std::system_error; a later start can then still recover everything.
  Agent(actor::Loop& loop, Settings settings, const std::filesystem::path& dir,
        AgentJournal::Step step);

  /// Announces that the machine will be reclaimed in Settings::recall_s seconds. Does nothing if a
  /// spot notice has been given already.
  void give_spot_notice();

 private:
  void tick();
  void images_changed();
  void check_spot_notice();
  void give_spot_notice(double remaining_s);
  [[nodiscard]] wire::Heartbeat make_heartbeat();
  [[nodiscard]] bool execute(const client_protocol::HeartbeatResponse& response);
  void announce_token();
  void apply_stops(const std::vector<Effect>& effects);
  [[nodiscard]] HeartbeatClient::Callbacks callbacks();

  const Settings settings_;
  const AgentPaths paths_;
  AgentState state_;
  TaskRunner tasks_;
  HeartbeatClient heartbeats_;
  actor::Timer timer_;
  CommandServer commands_;
  std::optional<double> reclaimed_at_;  // CLOCK_BOOTTIME, in seconds; set by a spot notice
  double token_announced_at_ = -1e9;
};

}  // namespace shunttrail::agent

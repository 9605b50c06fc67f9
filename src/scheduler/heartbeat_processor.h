// Derives from a worker's heartbeats which placements on its machine run, which have ended, and
// which do not exist and never will (PROTOCOL, Heartbeats; docs/safety.md). Free of I/O.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/token_policy.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// The message that contained a heartbeat.
enum class HeartbeatSource : std::uint8_t {
  worker,  // a request that the worker sends at its heartbeat interval
  /// The body of a response to direct commands. A task that it does not list may still be started,
  /// since the response to an earlier heartbeat may be on its way to the worker.
  direct_response,
};

/// An attempt that a worker lists as running, or about to run, without a placement: it was
/// acknowledged, given up, or started by nobody that this leader knows of.
struct UnexpectedAttempt {
  std::string machine;
  wire::TaskStatus status;
};

/// A task that has completed.
struct FinishedTask {
  jobs::JobPtr job;
  std::uint32_t task = 0;
};

/// Updates the placements of a machine from its heartbeats.
class HeartbeatProcessor {
 public:
  HeartbeatProcessor(ShardContext& context, Machines& machines, Placements& placements,
                     const TokenPolicy& token_policy)
      : context_(context),
        machines_(machines),
        placements_(placements),
        token_policy_(token_policy) {}

  /// Returns whether the heartbeat is newer than all before it.
  [[nodiscard]] static bool is_newer(const Machine& machine, const wire::Heartbeat& heartbeat) {
    return std::pair(heartbeat.incarnation, heartbeat.sequence) >
           std::pair(machine.tasks.incarnation, machine.tasks.sequence);
  }
  /// Updates the machine's placements from a heartbeat that is newer than all before it.
  void heartbeat_received(Machine& machine, const wire::Heartbeat& heartbeat,
                          HeartbeatSource source, double now);
  /// Returns the tasks that have completed since the last call and may still wait in a queue for
  /// another attempt.
  [[nodiscard]] std::vector<FinishedTask> take_finished() {
    return std::exchange(finished_tasks_, {});
  }
  /// Returns the unexpected attempts that have been confirmed since the last call: by a heartbeat
  /// that the worker sent after it had seen a token of this leader. Each is returned once.
  [[nodiscard]] std::vector<UnexpectedAttempt> take_unexpected() {
    return std::exchange(unexpected_, {});
  }

 private:
  /// The tasks without a placement in the heartbeat before.
  struct UnknownTasks {
    std::vector<wire::TaskStatus> tasks;
    bool under_own_token = false;
  };
  void note_unexpected(const Machine& machine, const UnknownTasks& before);
  void update_placement(Machine& machine, Placement& placement, const wire::TaskStatus& status,
                        double now);
  void unknown_task(Machine& machine, const wire::TaskStatus& status, double now);
  void handle_absent(Machine& machine, const std::vector<bool>& is_listed,
                     const wire::Heartbeat& heartbeat, HeartbeatSource source, double now);
  bool release_if_absent(Machine& machine, Placement& placement, const wire::Heartbeat& heartbeat,
                         HeartbeatSource source, double now);
  void task_exited(Machine& machine, Placement& placement, double now);
  void task_succeeded(Machine& machine, Placement& placement, double now);
  void task_failed(Machine& machine, Placement& placement, double now);
  void mark_done(const jobs::JobPtr& job, std::uint32_t task, double now);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  const TokenPolicy& token_policy_;
  std::vector<UnexpectedAttempt> unexpected_;
  std::vector<FinishedTask> finished_tasks_;
};

}  // namespace shunttrail::scheduler

// The placements of a shard and the resources that they take. A placement exists from its planning
// until it is proven that the task does not run and cannot start later. Free of I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"
#include "scheduler/token_policy.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// A placement as a page in the state service stores it.
struct PersistedPlacement {
  int machine = 0;  // number
  jobs::JobPtr job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

/// Adds, stops and releases placements, and accounts for their resources by machine, team, job and
/// zone.
class Placements {
 public:
  /// `now`: steady time at which this node became the shard's leader, in seconds.
  Placements(ShardContext& context, Machines& machines, const TokenPolicy& token_policy,
             double now);

  /// Returns the resources of all placements of a team that are not released.
  [[nodiscard]] const jobs::Resources& used(int team) const {
    return used_[static_cast<std::size_t>(team)];
  }
  /// Returns the placement, or null if it does not exist or no longer does.
  [[nodiscard]] Placement* find(const PersistedPlacement& persisted);

  /// Plans a task that has left its queue on a machine with enough free capacity.
  void place(Machine& machine, QueuedTask task);
  /// Preempts the placement, since other work needs its resources.
  void stop(Machine& machine, Placement& placement);
  /// Adds a placement that an earlier leader has recorded in a page. It may run or still start.
  void recover_placement(Machine& machine, const PersistedPlacement& persisted, double now);
  /// Removes the job's placements that are only planned, since the job has ended.
  void drop_planned(Machine& machine, const jobs::JobPtr& job, double now);
  /// Removes the planned placements of the job's withheld tasks (Job::withhold).
  void drop_withheld(Machine& machine, const jobs::JobPtr& job, double now);
  /// Lists the machine for direct commands if tasks of the job, which has ended, may run on it.
  /// They are then stopped without waiting for its next heartbeat.
  void request_direct_stop(Machine& machine, const jobs::JobPtr& job);
  /// Handles that the placement has not been recorded. It is planned again, or removed if its job
  /// has ended or its task has been withheld in the meantime.
  void commit_failed(Machine& machine, Placement& placement, double now);
  /// Frees the resources of a placement that is proven not to run, now or later, and puts its task
  /// back to the pending ones.
  void release(Machine& machine, Placement& placement, double now);
  /// Does the same for a placement that ended without a report; counts it as lost unless it was
  /// released before.
  void release_lost(Machine& machine, Placement& placement, double now);
  /// Frees the placement's resources, and leaves the task out of the pending ones.
  void release_without_requeue(Machine& machine, Placement& placement, double now);

  /// Releases all placements on a machine that is proven deleted or has left the shard.
  void machine_deleted(Machine& machine, double now);
  /// Handles a machine that has been silent for longer than its lease. Its placements are released
  /// once the silence proves that its tasks have stopped (docs/safety.md).
  void lease_expired(Machine& machine, double now);

  /// Lists the machine for commands that need not wait for its next heartbeat.
  void note_direct_due(Machine& machine);
  /// Returns the numbers of the machines listed since the last call.
  [[nodiscard]] std::vector<int> take_direct_due() { return std::exchange(direct_due_, {}); }

  /// Numbers further attempts under the shard's new token.
  void token_advanced();

 private:
  void reserve_capacity(Machine& machine, const Placement& placement);
  void drop_if(Machine& machine, double now,
               const std::function<bool(const Placement&)>& is_dropped);

  ShardContext& context_;
  Machines& machines_;
  const TokenPolicy& token_policy_;
  std::uint64_t last_attempt_;
  const double opened_at_;
  std::vector<jobs::Resources> used_;  // by team
  std::vector<int> direct_due_;        // numbers of machines
};

}  // namespace shunttrail::scheduler

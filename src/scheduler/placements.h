// The placements of a shard: what may run where, from the moment it is planned until it is proven
// not to run, now or later, and what it takes meanwhile. Free of I/O.
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

/// A placement as a page of the state service holds it.
struct PersistedPlacement {
  int machine = 0;  // number
  jobs::JobPtr job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
};

/// Adds, stops and releases placements, and counts what they take by machine, team, job and zone.
class Placements {
 public:
  /// `now`: steady time at which this node became the shard's owner, in seconds.
  Placements(ShardContext& context, Machines& machines, const TokenPolicy& token_policy,
             double now);

  /// What a team's placements take, all that may exist.
  [[nodiscard]] const jobs::Resources& used(int team) const {
    return used_[static_cast<std::size_t>(team)];
  }
  /// Null: there is none (any more).
  [[nodiscard]] Placement* find(const PersistedPlacement& persisted);

  /// Plans a task that has left its queue, on a machine with room for it.
  void place(Machine& machine, QueuedTask task);
  /// Has the task stopped, since its room is needed.
  void stop(Machine& machine, Placement& placement);
  /// Takes over an earlier owner's placement, as a page says: it may exist.
  void recover_placement(Machine& machine, const PersistedPlacement& persisted, double now);
  /// The job is over: what was only planned never was.
  void drop_planned(Machine& machine, const jobs::JobPtr& job, double now);
  /// The same for the job's tasks that are withheld (Job::withhold).
  void drop_withheld(Machine& machine, const jobs::JobPtr& job, double now);
  /// The job is over: its running tasks are stopped at once, and not only when the machine reports.
  void request_direct_stop(Machine& machine, const jobs::JobPtr& job);
  /// The placement's commit has failed: it is planned again, or dropped if its job is over or its
  /// task withheld by now.
  void commit_failed(Machine& machine, Placement& placement, double now);
  /// The placement is proven not to run, now or later: what it takes is free again.
  void release(Machine& machine, Placement& placement, double now);
  /// The same where the placement counts as lost, unless it was released already.
  void release_lost(Machine& machine, Placement& placement, double now);
  /// The same for a task that need not enter the chain again.
  void release_without_requeue(Machine& machine, Placement& placement, double now);

  /// The machine is proven gone.
  void machine_deleted(Machine& machine, double now);
  /// The machine has been silent for longer than its lease: its tasks are released once that proves
  /// that they have stopped (docs/safety.md).
  void lease_expired(Machine& machine, double now);

  /// The machine has something that need not wait for its next heartbeat.
  void note_direct_due(Machine& machine);
  /// The machines noted since the last call, by number.
  [[nodiscard]] std::vector<int> take_direct_due() { return std::exchange(direct_due_, {}); }

  /// The shard's token has changed: attempts are numbered under the new one.
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

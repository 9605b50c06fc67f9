// Delegated tasks in a shard's scheduler, on both sides: in the shard of their team, which must not
// start them, and in the shard that may (docs/delegation.md). Performs no I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"
#include "state/state_cache.h"

namespace shunttrail::scheduler {

/// Updates the jobs' withheld tasks, their results and the teams' quotas from the stored
/// delegations.
class DelegatedWork {
 public:
  DelegatedWork(ShardContext& context, Machines& machines, Placements& placements,
                TaskQueues& queues, TeamQuota& quota)
      : context_(context),
        machines_(machines),
        placements_(placements),
        queues_(queues),
        quota_(quota) {}

  /// Updates the scheduler from the cache if the delegations there have changed. Returns the
  /// foreign jobs that are no longer delegated to this shard.
  [[nodiscard]] std::vector<std::string> sync(const state::StateCache& cache, double now);

  /// Withholds all tasks of a job that was added with a delegation until the next sync.
  void withhold_until_sync(const jobs::JobPtr& job);
  /// Withholds tasks whose delegation is about to be committed. They must not be in a queue. Until
  /// the outcome is known and has been read, they count against their team's limit and, with
  /// `zone`, as running there. `zone` is the only zone in which they may run.
  void withhold_until_committed(const jobs::JobPtr& job, const std::vector<std::uint32_t>& tasks,
                                std::optional<int> zone);
  /// Records that the transaction has been committed, or never will be: the next sync reads the
  /// stored state again.
  void outcome_known();

 private:
  void withhold(const jobs::JobPtr& job, std::vector<bool> tasks, double now);
  void set_zones(const jobs::JobPtr& job, const wire::Delegation& delegation,
                 const std::vector<bool>& withheld) const;
  void sync_job(const state::StateCache& cache, const state::JobEntry& entry, double now);
  void take_results(const state::StateCache& cache, const state::JobEntry& entry,
                    const jobs::JobPtr& job, double now);
  [[nodiscard]] bool is_current(const state::StateCache& cache) const;
  [[nodiscard]] std::vector<std::string> ended_foreign_jobs(const state::StateCache& cache) const;

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  TaskQueues& queues_;
  TeamQuota& quota_;
  std::set<std::string> jobs_with_withheld_;  // by id
  std::set<std::string> jobs_in_commit_;      // those whose delegation is being committed
  bool must_sync_ = false;
  std::uint64_t synced_changes_ = 0;
  std::uint64_t synced_revision_ = 0;
  // Whether the closing of some delegation, or a change committed before it, is not read yet.
  bool has_unread_closing_ = false;
};

}  // namespace shunttrail::scheduler

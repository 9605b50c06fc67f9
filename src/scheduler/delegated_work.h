// Delegated tasks as a shard's scheduler sees them: at the shard of their team, which must not
// start them, and at the shard that may (docs/delegation.md). Free of I/O.
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

/// Keeps the jobs' withheld tasks, their results and the teams' quotas in line with what is stored.
class DelegatedWork {
 public:
  DelegatedWork(ShardContext& context, Machines& machines, Placements& placements,
                TaskQueues& queues, TeamQuota& quota)
      : context_(context),
        machines_(machines),
        placements_(placements),
        queues_(queues),
        quota_(quota) {}

  /// Takes over what the cache holds, if that has changed. Returns the foreign jobs that are not
  /// delegated to this shard any more.
  [[nodiscard]] std::vector<std::string> sync(const state::StateCache& cache, double now);

  /// The job has come with a delegation: none of its tasks starts before the next sync.
  void withhold_until_sync(const jobs::JobPtr& job);
  /// The delegation of these tasks, which wait in no queue, is about to be committed: they are
  /// withheld and count against their team's limit, and in their zone, until the outcome is known
  /// and has been read. `zone`: the only one in which they may run.
  void withhold_until_committed(const jobs::JobPtr& job, const std::vector<std::uint32_t>& tasks,
                                std::optional<int> zone);
  /// What is held has been committed, or will not be.
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
  std::set<std::string> jobs_with_withheld_;  // jobs with withheld tasks
  std::set<std::string> jobs_in_commit_;      // of these: the commit is in flight
  bool must_sync_ = false;
  std::uint64_t synced_changes_ = 0;
  std::uint64_t synced_revision_ = 0;
  bool has_unread_closing_ = false;
};

}  // namespace shunttrail::scheduler

// Team quotas: what the tasks of each team may take together, and which jobs its guarantee covers.
// Free of I/O.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

#include "scheduler/placements.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Counts each team's queued resources and compares them with its limit and its guarantee.
class TeamQuota {
 public:
  /// Which tasks count against a team's limit.
  enum class Counted { placed, placed_and_queued };

  TeamQuota(ShardContext& context, const Placements& placements);

  /// A task of the job has been added to a machine's queue.
  void task_queued(const jobs::Job& job);
  /// A task of the job has left a machine's queue.
  void task_dequeued(const jobs::Job& job);

  /// So many more tasks of the job keep its team within its limit, and leave what is kept for
  /// another job of the team (`reserve`).
  [[nodiscard]] bool allows(const jobs::Job& job, Counted counted, std::size_t tasks = 1) const;
  /// The team uses more vcpus than it is guaranteed. False for a team that is unknown (negative).
  [[nodiscard]] bool beyond_guarantee(int team) const;

  /// Keeps room for one task of the job within its team's limit for a while: other tasks of the
  /// team would take what becomes free bit by bit. Ignored if the team has such a reservation, or
  /// has had one until recently.
  void reserve(const jobs::JobPtr& job, double now);
  /// Ends reservations that are over, used or out of date.
  void expire_reservations(double now);

  // ---- tasks that other shards may run (docs/delegation.md)

  /// What they take by team, as far as that is stored.
  void set_delegated(std::vector<jobs::Resources> by_team) { delegated_ = std::move(by_team); }
  /// One more task of the job is about to be delegated.
  void add_delegating(const jobs::Job& job);
  /// All that was about to be delegated is stored, or will not be.
  void clear_delegating();

  /// Marks the jobs that are within their team's guarantee (Job::within_guarantee), if the jobs
  /// have changed or the last update is some time ago.
  void update_guarantees(double now);

 private:
  struct Reservation {
    jobs::JobPtr job;
    double reserved_at = -1e9;  // steady time, seconds
  };

  void mark_guaranteed_jobs();
  [[nodiscard]] jobs::Resources used(int team) const;

  ShardContext& context_;
  const Placements& placements_;
  std::vector<jobs::Resources> queued_;      // by team
  std::vector<Reservation> reservations_;    // by team
  std::vector<jobs::Resources> delegated_;   // by team
  std::vector<jobs::Resources> delegating_;  // by team
  std::size_t last_job_count_ = 0;
  double guarantees_updated_at_ = -1e9;
};

}  // namespace shunttrail::scheduler

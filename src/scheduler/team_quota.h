// Team quotas: the resources that the tasks of each team use, and the jobs that its guarantee
// covers. Performs no I/O.
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

  /// Records that a task of the job has been added to a machine's queue.
  void task_queued(const jobs::Job& job);
  /// Records that a task of the job has left a machine's queue.
  void task_dequeued(const jobs::Job& job);

  /// Returns true if `tasks` more tasks of the job keep its team within its limit, including the
  /// capacity reserved for another job of the team (`reserve`).
  [[nodiscard]] bool allows(const jobs::Job& job, Counted counted, std::size_t tasks = 1) const;
  /// Returns true if the team uses more vcpus than it is guaranteed. Returns false for an unknown
  /// (negative) team.
  [[nodiscard]] bool beyond_guarantee(int team) const;

  /// Reserves part of the team's limit for one task of the job: otherwise other tasks of the team
  /// take freed capacity bit by bit. Does nothing if the team has a reservation, or had one
  /// recently.
  void reserve(const jobs::JobPtr& job, double now);
  /// Ends reservations that have been used, have expired, or whose job has ended.
  void expire_reservations(double now);

  // ---- tasks that other shards may run (docs/delegation.md)

  /// Sets the resources that delegated tasks use, by team, as far as they are stored.
  void set_delegated(std::vector<jobs::Resources> by_team) { delegated_ = std::move(by_team); }
  /// Adds one task of the job that is about to be delegated.
  void add_delegating(const jobs::Job& job);
  /// Clears the tasks about to be delegated, once their delegations are stored or will not be.
  void clear_delegating();

  /// Marks the jobs that their team's guarantee covers (Job::within_guarantee), if the number of
  /// jobs has changed or the last update is older than 0.3 s.
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

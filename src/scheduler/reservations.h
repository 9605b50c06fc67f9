// Reservations: keeps a machine, or part of the team's limit, free for large tasks that have waited
// long, as batch schedulers with backfill do (docs/design.md, X14). Performs no I/O.
#pragma once
#include <optional>
#include <set>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/preemption.h"
#include "scheduler/queue_service.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Reserves machines for overdue jobs, and ends reservations.
class Reservations {
 public:
  Reservations(ShardContext& context, Machines& machines, Placements& placements,
               TaskQueues& queues, TeamQuota& quota, QueueService& service, Preemption& preemption)
      : context_(context),
        machines_(machines),
        placements_(placements),
        queues_(queues),
        quota_(quota),
        service_(service),
        preemption_(preemption) {}

  /// Ends reservations that have been used or have expired, and makes new ones for overdue jobs.
  void run(double now);

 private:
  /// Valid reservations, and the maximum number of them that the shard may have.
  struct Active {
    std::set<jobs::JobPtr> jobs;  // jobs with a reserved machine
    std::size_t limit = 1;
    std::size_t urgent_limit = 1;  // limit for urgent jobs
  };

  Active expire(double now);
  bool is_large(const jobs::Job& job) const;
  std::vector<jobs::JobPtr> overdue_jobs(double now) const;
  bool can_be_reserved(const Machine& machine, const jobs::Job& job, double now) const;
  Machine* soonest_free_machine(const jobs::Job& job, double now) const;
  double time_until_room(const Machine& machine, const jobs::Job& job, double now) const;
  std::optional<QueuedTask> take_task(const jobs::JobPtr& job, double now);
  void reserve(Machine& machine, const jobs::JobPtr& job, double now);
  void move_replicas(Machine& machine, const jobs::Job& job);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  TaskQueues& queues_;
  TeamQuota& quota_;
  QueueService& service_;
  Preemption& preemption_;
};

}  // namespace shunttrail::scheduler

// Backfill: starts waiting tasks out of turn on machines whose free capacity has stayed unused
// behind a blocked queue (docs/design.md, X13). Performs no I/O.
#pragma once
#include <set>
#include <tuple>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/queue_service.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Starts waiting tasks out of turn on idle capacity. A queue is served in order, so a first task
/// that does not fit keeps the free capacity from all tasks that would fit. This lets the first
/// task collect enough capacity; but if it lasts longer than a machine takes to empty, capacity is
/// wasted, and a small task would wait next to free capacity for as long as large tasks keep
/// arriving.
class Backfill {
 public:
  Backfill(ShardContext& context, Machines& machines, Placements& placements, TaskQueues& queues,
           const TeamQuota& quota, const QueueService& service)
      : context_(context),
        machines_(machines),
        placements_(placements),
        queues_(queues),
        quota_(quota),
        service_(service) {}

  /// Records which machines have idle capacity, and backfills some of those that have had it for at
  /// least kIdleBeforeBackfillS.
  void run(double now);

 private:
  /// vcpus, GPUs and memory of a task.
  using Need = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

  std::set<Need> waiting_needs(double now) const;
  bool has_idle_capacity(const Machine& machine, const std::set<Need>& needs, double now) const;
  bool can_start(const Machine& machine, const jobs::Job& job, std::uint32_t task,
                 int priority_band, double now) const;
  void fill(Machine& machine, double now);
  void fill_from_queues(Machine& machine, double now);
  void fill_from_pending(Machine& machine, double now);
  void place(Machine& machine, QueuedTask task, double now);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  TaskQueues& queues_;
  const TeamQuota& quota_;
  const QueueService& service_;
};

}  // namespace shunttrail::scheduler

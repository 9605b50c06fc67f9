// Backfill: room that has stood idle beside a blocked queue goes to whatever fits (docs/design.md,
// X13). Free of I/O.
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

/// Gives idle room out of turn. Queues are served in order, so the first task of one that does not
/// fit keeps the room beside it from all that would. For a while that is how the first one comes to
/// its room; for longer than a machine takes to empty it is waste, and a small task would wait
/// beside room for as long as large ones come.
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

  /// Notes which machines have idle room, and fills some of those that have had it for long.
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

// Serves machines' queues: places the tasks that wait for a machine on it, in order. Performs no
// I/O.
#pragma once
#include <optional>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Places queued tasks on the machines for which they wait.
class QueueService {
 public:
  QueueService(ShardContext& context, Machines& machines, Placements& placements,
               TaskQueues& queues, const TeamQuota& quota)
      : context_(context),
        machines_(machines),
        placements_(placements),
        queues_(queues),
        quota_(quota) {}

  /// Places the tasks of the machine's queue in order of service until one does not fit. With
  /// `last`, tasks behind that one stay in the queue.
  void place_queued(Machine& machine, double now, std::optional<ServiceOrder> last = std::nullopt);

  /// Returns true if the job's team limit and its gang allow this task to be placed now.
  [[nodiscard]] bool may_be_placed(const jobs::Job& job, std::uint32_t task) const;

 private:
  bool has_room(const Machine& machine, const QueuedTask& task) const;

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  TaskQueues& queues_;
  const TeamQuota& quota_;
};

}  // namespace shunttrail::scheduler

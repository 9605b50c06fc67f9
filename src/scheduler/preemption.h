// Preemption: stops tasks on a machine so that more urgent tasks in its queue can start (PROTOCOL,
// Preemption). Performs no I/O.
#pragma once
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Selects the tasks to stop for urgent and guaranteed ones.
class Preemption {
 public:
  Preemption(Machines& machines, Placements& placements, const TaskQueues& queues,
             const TeamQuota& quota)
      : machines_(machines), placements_(placements), queues_(queues), quota_(quota) {}

  /// Stops tasks as needed by the urgent and guaranteed tasks at the head of the machine's queue.
  /// Urgent tasks preempt tasks of lower priority. Tasks covered by their team's guarantee preempt
  /// tasks that another team runs beyond its own guarantee. A task is stopped only if it can save
  /// its progress or has only just started.
  void make_room(Machine& machine, double now);

 private:
  static bool can_be_stopped(const Placement& placement, double now);
  bool may_be_preempted_for(const Placement& placement, const QueuedTask& task) const;
  std::vector<Placement*> victims(Machine& machine, const QueuedTask& task, double now) const;

  Machines& machines_;
  Placements& placements_;
  const TaskQueues& queues_;
  const TeamQuota& quota_;
};

}  // namespace shunttrail::scheduler

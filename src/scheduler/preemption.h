// Preemption: stops tasks on a machine so that more urgent ones in its queue find room (PROTOCOL,
// Preemption). Free of I/O.
#pragma once
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Chooses the tasks that make room for urgent and guaranteed ones.
class Preemption {
 public:
  Preemption(Machines& machines, Placements& placements, const TaskQueues& queues,
             const TeamQuota& quota)
      : machines_(machines), placements_(placements), queues_(queues), quota_(quota) {}

  /// Stops what has to go for the urgent and guaranteed tasks at the head of the machine's queue.
  /// Urgent tasks stop work of lower priority; tasks that their team is guaranteed stop what
  /// another team runs beyond its own guarantee. Only work that can save its progress or has
  /// hardly begun is stopped.
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

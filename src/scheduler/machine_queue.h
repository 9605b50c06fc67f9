// The queue of one machine: the tasks that wait for free capacity on it. Only TaskQueues, Backfill
// and Reservations modify it.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduler/queued_task.h"

namespace shunttrail::scheduler {

/// The tasks that wait for one machine, and the reservation on it.
struct MachineQueue {
  /// Number of waiting tasks by priority band. 16 bits suffice whatever the size of the cluster: a
  /// task joins a queue only up to the waiting bar (at most 10,000), or the queue of an ordered
  /// machine only while it fits the machine's capacity.
  std::array<std::uint16_t, wire::kPriorities + 1> tasks_by_band{};
  /// Waiting tasks in order of service.
  std::vector<QueuedTask> tasks;
  /// Steady time, in seconds, since which the machine has had free capacity for some waiting task
  /// of the shard; -1 if it has none.
  double idle_capacity_since = -1;
  /// The task for which the machine is reserved: nothing else is placed on the machine until the
  /// task fits. Valid only while the task is in this queue (TaskQueues::is_reserved).
  std::optional<ServiceOrder> reserved_for;
  /// Steady time, in seconds, of the latest reservation.
  double reserved_at = -1e9;
};

}  // namespace shunttrail::scheduler

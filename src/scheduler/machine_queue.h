// The queue of one machine: the tasks that wait for room on it. Only TaskQueues, Backfill and
// Reservations change it.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduler/queued_task.h"

namespace shunttrail::scheduler {

/// Tasks that wait for one machine, and the reservation on it.
struct MachineQueue {
  /// Number of waiting tasks by priority band. Of one machine, whatever the fleet's size: a task
  /// joins a queue no longer than the waiting bar (10,000 at the most), or that of an ordered
  /// machine as far as its room goes.
  std::array<std::uint16_t, wire::kPriorities + 1> tasks_by_band{};
  /// In order of service.
  std::vector<QueuedTask> tasks;
  /// Steady time since which the machine has had room for some waiting task of the shard, in
  /// seconds; -1: it has none.
  double idle_capacity_since = -1;
  /// The task that the machine is reserved for: nothing else is placed here until there is room
  /// for it. Valid as long as the task is in this queue (TaskQueues::is_reserved).
  std::optional<ServiceOrder> reserved_for;
  /// Steady time of the latest reservation, in seconds.
  double reserved_at = -1e9;
};

}  // namespace shunttrail::scheduler

// What waits for a machine. Waiting alone changes it.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduler/queued_task.h"

namespace shunttrail::scheduler {

struct MachineQueue {
  // By band. Of one machine, whatever the fleet's size: a task joins a list no longer than the
  // waiting bar (10,000 at the most), or that of an ordered machine as far as its room goes.
  std::array<std::uint16_t, wire::kPriorities + 1> tasks_by_band{};
  std::vector<QueuedTask> tasks;    // in order of service
  double idle_capacity_since = -1;  // it has had room for something that waits; -1: it has not
  // A reservation: nothing but this task is placed here until there is room for it. It holds as
  // long as the task is on this list (TaskQueues::is_reserved).
  std::optional<ServiceOrder> reserved_for;
  double reserved_at = -1e9;
};

}  // namespace shunttrail::scheduler

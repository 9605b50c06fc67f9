// What waits for a machine. Waiting alone changes it.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduler/queued_task.h"

namespace shunt::fleet {

struct Queue {
  std::array<std::uint16_t, wire::kPriorities + 1> listed{};  // by band
  std::vector<Item> items;                                    // in order of service
  double left_over_since = -1;  // it has had room for something that waits; -1: it has not
  // A reservation: nothing but this task is placed here until there is room for it. It holds as
  // long as the task is on this list (Waiting::reserved).
  std::optional<Key> reserved;
  double reserved_at = -1e9;
};

}  // namespace shunt::fleet

// What waits for a machine. Waiting alone changes it.
#pragma once
#include <array>
#include <cstdint>
#include <vector>

#include "fleet/item.h"

namespace shunt::fleet {

struct Queue {
  std::array<std::uint16_t, wire::kPriorities + 1> listed{};  // by band
  std::vector<Item> items;                                    // in order of service
};

}  // namespace shunt::fleet

// Limits that hold for every job, whatever the operator's tables allow.
#pragma once
#include <cstdint>

namespace shunttrail::pbs {

inline constexpr std::uint64_t kMaxTasks = 100000;  ///< PROTOCOL: most tasks in one job

}  // namespace shunttrail::pbs

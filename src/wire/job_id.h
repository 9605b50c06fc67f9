/// @file
/// The form of a job's id.
#pragma once
#include <string_view>

namespace shunttrail::wire {

/// What every job id begins with.
inline constexpr std::string_view kJobIdPrefix = "run-";

/// Whether `id` is the prefix followed by 1 to 20 decimal digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

}  // namespace shunttrail::wire

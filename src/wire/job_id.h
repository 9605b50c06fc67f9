/// @file
/// The form of a job's id.
#pragma once
#include <string_view>

namespace shunttrail::wire {

/// Prefix of every job id.
inline constexpr std::string_view kJobIdPrefix = "run-";

/// Returns true if `id` is kJobIdPrefix followed by 1 to 20 decimal digits.
[[nodiscard]] bool valid_job_id(std::string_view id);

}  // namespace shunttrail::wire

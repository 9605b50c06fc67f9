/// @file
/// Bodies that users and controllers exchange: submissions and job states (PROTOCOL, Users).
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wire/job_id.h"
#include "wire/malformed.h"
#include "wire/types.h"

namespace shunttrail::wire {

/// Maximum number of jobs that a submission may depend on. Its record has to fit into one value of
/// the state service.
inline constexpr std::size_t kMaxDependencies = 128;

/// Reads a submission. Throws Malformed.
[[nodiscard]] JobSpec decode_job(std::string_view body);
/// Returns the job id of a submission, even if other fields are invalid; an empty string if it has
/// no valid id.
[[nodiscard]] std::string job_id_of(std::string_view body);
/// Writes a submission as a user sends it.
[[nodiscard]] std::string encode_job(const JobSpec& spec);

/// Returns the name of a job's state on the wire.
[[nodiscard]] const char* state_name(JobState state);
/// Writes the response to a query for a job's state. `done` and `running` are numbers of tasks;
/// they are written only if `counts` is true.
[[nodiscard]] std::string encode_job_state(const std::string& id, JobState state,
                                           std::uint64_t done, std::uint64_t running, bool counts);

}  // namespace shunttrail::wire

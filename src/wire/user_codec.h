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

/// A submission names no more jobs than this to wait for: its record has to fit one value of the
/// state service.
inline constexpr std::size_t kMaxDependencies = 128;

/// Reads a submission. Throws Malformed.
[[nodiscard]] JobSpec decode_job(std::string_view body);
/// The job id of a submission, whatever else is wrong with it; empty where there is no valid one.
[[nodiscard]] std::string job_id_of(std::string_view body);
/// Writes a submission as a user sends it.
[[nodiscard]] std::string encode_job(const JobSpec& spec);

/// The name of a job's state on the wire.
[[nodiscard]] const char* state_name(JobState state);
/// The answer to a question about a job. `done` and `running` count its tasks; they are written
/// only if `counts`.
[[nodiscard]] std::string encode_job_state(const std::string& id, JobState state,
                                           std::uint64_t done, std::uint64_t running, bool counts);

}  // namespace shunttrail::wire

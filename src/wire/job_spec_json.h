/// @file
/// The JSON form of a job's specification, which is the same in submissions and in stored job
/// records. Included by codecs only.
#pragma once
#include "wire/fields.h"

namespace shunttrail::wire {

/// Reads a specification and, from `awaits`, its dependencies. Throws Malformed.
[[nodiscard]] JobSpec job_spec_from_json(const json& j);
/// Writes a specification without its dependencies, whose form differs: submissions list whole job
/// ids, job records join the ids' digits to save space.
[[nodiscard]] json job_spec_to_json(const JobSpec& spec);

}  // namespace shunttrail::wire

/// @file
/// The JSON form of a job's specification, which submissions and stored job records share.
/// Included by codecs only.
#pragma once
#include "wire/fields.h"

namespace shunttrail::wire {

/// Reads a specification with its dependencies. Throws Malformed.
[[nodiscard]] JobSpec job_spec_from_json(const json& j);
/// Writes a specification without its dependencies: the two interfaces write those differently.
[[nodiscard]] json job_spec_to_json(const JobSpec& spec);

}  // namespace shunttrail::wire

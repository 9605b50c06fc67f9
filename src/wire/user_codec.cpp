#include "wire/user_codec.h"

#include <array>

#include "wire/fields.h"
#include "wire/job_spec_json.h"

namespace shunttrail::wire {

JobSpec decode_job(std::string_view body) { return decode_body(body, job_spec_from_json); }

std::string job_id_of(std::string_view body) {
  try {
    std::string id = decode_body(body, [](const json& j) { return text(j, "uid"); });
    return valid_job_id(id) ? id : "";
  } catch (const Malformed&) {
    return "";
  }
}

std::string encode_job(const JobSpec& spec) {
  json j = job_spec_to_json(spec);
  if (!spec.dependencies.empty()) j["awaits"] = spec.dependencies;
  return j.dump();
}

const char* state_name(JobState state) {
  static constexpr std::array<const char*, 4> kNames = {"queued", "running", "done", "cancelled"};
  return kNames[static_cast<int>(state)];
}

std::string encode_job_state(const std::string& id, JobState state, std::uint64_t done,
                             std::uint64_t running, bool counts) {
  json j = {{"uid", id}, {"signal", state_name(state)}};
  if (counts) {
    j["done"] = done;
    j["running"] = running;
  }
  return j.dump();
}

}  // namespace shunttrail::wire

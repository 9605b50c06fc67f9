#include "controller/user_responses.h"

#include "wire/codec.h"

namespace shunttrail::controller {

net::Answer unavailable_response(double retry_after_s) {
  return {503, "{\"error\":\"not now\"}", retry_after_s};
}

net::Answer no_such_job_response() { return net::error_response(404, "no such job"); }

net::Answer no_such_path_response() { return net::error_response(404, "no such path"); }

net::Answer job_result_response(const std::string& id, const wire::JobResultRecord& result,
                                JobStateDetail detail) {
  if (result.cancelled) return job_state_response(id, wire::JobState::cancelled, 0, 0, detail);
  return job_state_response(id, wire::JobState::done, result.tasks, 0, detail);
}

net::Answer job_state_response(const std::string& id, wire::JobState state, std::uint64_t done,
                               std::uint64_t running, JobStateDetail detail) {
  const bool with_counts = detail == JobStateDetail::state_with_counts;
  return {200, wire::encode_job_state(id, state, done, running, with_counts), 0};
}

net::Answer cancelled_response(const std::string& id) {
  return job_state_response(id, wire::JobState::cancelled, 0, 0, JobStateDetail::state);
}

}  // namespace shunttrail::controller

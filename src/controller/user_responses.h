/// Responses that are shared by the handlers of user requests.
#pragma once
#include <string>

#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Detail of a job's state in a response.
enum class JobStateDetail {
  state,              ///< Only the state.
  state_with_counts,  ///< The state and the numbers of done and running tasks.
};

/// Returns 503: this node cannot respond at present, and the user should retry after this many
/// seconds.
[[nodiscard]] net::Answer unavailable_response(double retry_after_s = 1);
/// Returns 404: no job of that id was ever accepted.
[[nodiscard]] net::Answer no_such_job_response();
/// Returns 404: there is no resource of this path.
[[nodiscard]] net::Answer no_such_path_response();
/// Returns 200 and the state of a job that has ended, from its final record.
[[nodiscard]] net::Answer job_result_response(const std::string& id,
                                              const wire::JobResultRecord& result,
                                              JobStateDetail detail);
/// Returns 200 and a job's state; `done` and `running` are numbers of tasks.
[[nodiscard]] net::Answer job_state_response(const std::string& id, wire::JobState state,
                                             std::uint64_t done, std::uint64_t running,
                                             JobStateDetail detail);
/// Returns 200: the job is cancelled.
[[nodiscard]] net::Answer cancelled_response(const std::string& id);

}  // namespace shunttrail::controller

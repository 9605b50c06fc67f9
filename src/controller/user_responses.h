/// The responses that the handlers of user requests have in common.
#pragma once
#include <string>

#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// How much of a job's state a response shows.
enum class JobStateDetail {
  state,              ///< The state alone.
  state_with_counts,  ///< Also how many tasks are done and running.
};

/// 503: this node cannot respond now. The user is to retry after so many seconds.
[[nodiscard]] net::Answer unavailable_response(double retry_after_s = 1);
/// 404: no job of that id was ever accepted.
[[nodiscard]] net::Answer no_such_job_response();
/// 404: no request has this path.
[[nodiscard]] net::Answer no_such_path_response();
/// 200: the state of a job that has ended, from its final record.
[[nodiscard]] net::Answer job_result_response(const std::string& id,
                                              const wire::JobResultRecord& result,
                                              JobStateDetail detail);
/// A job's state; `done` and `running` are numbers of tasks.
[[nodiscard]] net::Answer job_state_response(const std::string& id, wire::JobState state,
                                             std::uint64_t done, std::uint64_t running,
                                             JobStateDetail detail);
/// 200: the job is cancelled.
[[nodiscard]] net::Answer cancelled_response(const std::string& id);

}  // namespace shunttrail::controller

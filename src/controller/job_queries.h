/// Queries of single jobs' states by users.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_results.h"
#include "controller/user_responses.h"
#include "net/http.h"

namespace shunttrail::controller {

/// Determines a job's state and responds with it. Polls, repeated submissions and cancellations all
/// use this class, so that their responses never contradict each other.
class JobQueries {
 public:
  /// Callbacks run in the mailbox of `actor`.
  JobQueries(actor::Actor& actor, ControllerComponents& components)
      : actor_(actor), components_(components) {}

  /// Handles GET /v2/runs/ID: responds with 200, the state and the counts, or with 404 if the job
  /// was never accepted.
  void poll(const net::ExchangePtr& exchange, const std::string& id);
  /// Responds with the job's state as of a read that begins after the request arrived, or with 503
  /// if that read fails. Calls `on_unknown` instead if no job of this id was ever accepted.
  void respond_with_state(const net::ExchangePtr& exchange, const std::string& id,
                          JobStateDetail detail, std::function<void()> on_unknown);
  /// Responds like `respond_with_state` for a job that was not live at the latest linearizable
  /// read.
  void respond_with_result(const net::ExchangePtr& exchange, const std::string& id,
                           JobStateDetail detail, std::function<void()> on_unknown);

 private:
  struct Query {
    net::ExchangePtr exchange;
    std::string id;
    JobStateDetail detail;
    std::function<void()> on_unknown;
    int attempts_left;
  };
  void run(const Query& query);
  void respond_from_cache(const Query& query);
  void respond_with_progress(const Query& query, const state::JobEntry& job);
  void respond_waiting(const Query& query);
  void on_waiting_state(const Query& query, JobResults::DependencyStates states);
  void read_missing(const Query& query, std::vector<std::string> missing);

  actor::Actor& actor_;
  ControllerComponents& components_;
};

}  // namespace shunttrail::controller

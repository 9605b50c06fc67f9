/// The state of single jobs, as users are told it.
#pragma once
#include <functional>
#include <string>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_results.h"
#include "controller/user_responses.h"
#include "net/http.h"

namespace shunttrail::controller {

/// Works out a job's state and responds with it. This is the one place where that is done, so that
/// polls, repeated submissions and cancellations never contradict each other.
class JobQueries {
 public:
  /// Replies run in the mailbox of `actor`.
  JobQueries(actor::Actor& actor, ControllerComponents& components)
      : actor_(actor), components_(components) {}

  /// GET /v2/runs/ID: 200 with the state and counts, 404 if the job was never accepted.
  void poll(const net::ExchangePtr& exchange, const std::string& id);
  /// Responds with the job's state, by a read that begins after the request came, or by 503 if that
  /// read fails. Calls `on_unknown` instead if no job of that id was ever accepted.
  void respond_with_state(const net::ExchangePtr& exchange, const std::string& id,
                          JobStateDetail detail, std::function<void()> on_unknown);
  /// The same for a job that the latest linearizable read showed not to be live.
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
  void respond_waiting(const Query& query);
  void on_waiting_state(const Query& query, JobResults::DependencyStates states);

  actor::Actor& actor_;
  ControllerComponents& components_;
};

}  // namespace shunttrail::controller

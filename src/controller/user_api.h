/// The HTTP interface for users: job submissions, queries and cancellations, listing of a team's
/// jobs, and the load balancer's health check.
#pragma once
#include <cstdint>
#include <string>

#include "controller/components.h"
#include "controller/job_cancellation.h"
#include "controller/job_queries.h"
#include "controller/job_submission.h"
#include "controller/tag_sequence.h"
#include "controller/team_query.h"
#include "net/http.h"

namespace shunttrail::controller {

/// Routes each user request to its handler. All handlers run in this actor's mailbox.
class UserApi : public actor::Actor {
 public:
  UserApi(actor::Loop& loop, ControllerComponents& components);

  /// Responds to any user request; with 404 if no handler has its path.
  void handle_request(net::ExchangePtr exchange);

  /// Returns the number of well-formed submissions, and how many of them were refused with 503.
  [[nodiscard]] std::uint64_t submissions() const { return submission_.submissions(); }
  [[nodiscard]] std::uint64_t refused() const { return submission_.refused(); }

 private:
  void route(const net::ExchangePtr& exchange);
  void route_job(const net::ExchangePtr& exchange, std::string job_path);
  void respond_health(const net::ExchangePtr& exchange) const;

  ControllerComponents& components_;
  TagSequence tags_;
  JobQueries queries_;
  TeamQuery team_query_;
  JobSubmission submission_;
  JobCancellation cancellation_;
};

}  // namespace shunttrail::controller

/// Cancellation of jobs at their users' request.
#pragma once
#include <string>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_queries.h"
#include "controller/tag_sequence.h"
#include "net/http.h"

namespace shunttrail::controller {

/// Handles POST /v2/runs/ID/withdraw: replaces a live job's key by a final record that says
/// cancelled, in one commit. A job that has ended stays as it ended.
class JobCancellation {
 public:
  /// Replies run in the mailbox of `actor`.
  JobCancellation(actor::Actor& actor, ControllerComponents& components, JobQueries& queries,
                  TagSequence& tags)
      : actor_(actor), components_(components), queries_(queries), tags_(tags) {}

  /// 200 with the state that the job ended in, 404 if it was never accepted, 503 if that is not
  /// known.
  void handle(const net::ExchangePtr& exchange, const std::string& id);

 private:
  void run(const net::ExchangePtr& exchange, const std::string& id, int attempts_left);
  void cancel_live(const net::ExchangePtr& exchange, const std::string& id, int attempts_left);
  void cancel_waiting(const net::ExchangePtr& exchange, const std::string& id, int attempts_left);
  void commit(const net::ExchangePtr& exchange, const std::string& id, int attempts_left);

  actor::Actor& actor_;
  ControllerComponents& components_;
  JobQueries& queries_;
  TagSequence& tags_;
};

}  // namespace shunttrail::controller

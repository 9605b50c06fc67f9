/// Cancellation of jobs at their users' request.
#pragma once
#include <string>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_queries.h"
#include "controller/tag_sequence.h"
#include "net/http.h"

namespace shunttrail::controller {

/// Handles POST /v2/runs/ID/withdraw: replaces the key of a live job by a final record that marks
/// it cancelled, in one commit. A job that has already ended keeps its final record.
class JobCancellation {
 public:
  /// Callbacks run in the mailbox of `actor`.
  JobCancellation(actor::Actor& actor, ControllerComponents& components, JobQueries& queries,
                  TagSequence& tags)
      : actor_(actor), components_(components), queries_(queries), tags_(tags) {}

  /// Responds with 200 and the state in which the job ended, with 404 if no job of this id was ever
  /// accepted, or with 503 if the outcome is not known.
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

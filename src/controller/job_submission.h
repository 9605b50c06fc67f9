/// Submission of jobs by their users.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/job_queries.h"
#include "controller/tag_sequence.h"
#include "jobs/result_lookup.h"
#include "net/http.h"
#include "state/client.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Handles POST /v2/runs: validates the job and its dependencies and commits it. A repeated
/// submission of an accepted job is never refused, even if its body has changed: the response is
/// the job's state.
class JobSubmission {
 public:
  /// Callbacks run in the mailbox of `actor`.
  JobSubmission(actor::Actor& actor, const actor::Loop& loop, ControllerComponents& components,
                JobQueries& queries, TagSequence& tags)
      : actor_(actor), loop_(loop), components_(components), queries_(queries), tags_(tags) {}

  /// Responds with 201 if the job is accepted, 200 if it was accepted before, 400 if it is
  /// malformed or too large, 422 if it can never run or has an invalid dependency, and 503 if it
  /// cannot be accepted at present.
  void handle(const net::ExchangePtr& exchange);

  /// Returns the number of well-formed submissions.
  [[nodiscard]] std::uint64_t submissions() const { return submissions_; }
  /// Returns how many of them were refused with 503 because the state service could not be read or
  /// written in time.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  /// A valid submission whose dependencies are being checked.
  struct PendingSubmission {
    net::ExchangePtr exchange;
    wire::JobRecord job;
    /// The cache is at least as new as the submission and the latest lookup.
    bool is_cache_current = false;
    jobs::ResultLookups lookups;  ///< the final records that have been looked up for it
  };
  /// A job's dependencies by their known state. Finished ones are left out.
  struct Dependencies {
    std::vector<std::string> unfinished;
    /// Neither live nor known to have ended; whether they were accepted has to be read.
    std::vector<std::string> unknown;
    bool is_any_cancelled = false;
    bool is_any_unreadable = false;  ///< One was accepted, and its record cannot be decoded.
    std::string error;  ///< The reason for which the job is refused; empty if there is none.
  };
  /// The key and value that are committed for an accepted job.
  struct Acceptance {
    std::string id;
    wire::JobState state = wire::JobState::queued;
    std::string key;
    std::string value;
    /// The final record of a job that is cancelled from the start.
    std::optional<wire::JobResultRecord> result;
  };
  void handle_malformed(const net::ExchangePtr& exchange, const std::string& why);
  void handle_valid(const net::ExchangePtr& exchange, wire::JobRecord job);
  void respond_with_state_or(const net::ExchangePtr& exchange, const std::string& id,
                             net::Answer otherwise);
  [[nodiscard]] bool is_accepted(const std::string& id) const;
  [[nodiscard]] Dependencies classify_dependencies(const PendingSubmission& pending) const;
  static void add_finished(const wire::JobResultRecord& result, Dependencies& dependencies);
  void add_unfinished(const PendingSubmission& pending, const std::string& id,
                      Dependencies& dependencies) const;
  [[nodiscard]] const wire::JobResultRecord* known_result(const PendingSubmission& pending,
                                                          const std::string& id) const;
  void check_dependencies(PendingSubmission pending);
  void refuse_dependencies(const PendingSubmission& pending, const std::string& error);
  void read_current_cache(PendingSubmission pending);
  void look_up_results(PendingSubmission pending, std::vector<std::string> ids);
  [[nodiscard]] Acceptance make_acceptance(const wire::JobRecord& job, bool is_cancelled);
  void accept(const net::ExchangePtr& exchange, Acceptance acceptance);
  void on_commit_result(const net::ExchangePtr& exchange, const Acceptance& acceptance,
                        const state::CommitResult& result);
  /// Returns the longest value, in bytes, that the state service accepts.
  [[nodiscard]] std::size_t value_limit() const;
  [[nodiscard]] bool exceeds_value_limit(const Acceptance& acceptance) const;
  void refuse_oversized(const net::ExchangePtr& exchange, const std::string& id);
  void refuse(const net::ExchangePtr& exchange, const net::Answer& answer);

  actor::Actor& actor_;
  const actor::Loop& loop_;
  ControllerComponents& components_;
  JobQueries& queries_;
  TagSequence& tags_;
  std::uint64_t submissions_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace shunttrail::controller

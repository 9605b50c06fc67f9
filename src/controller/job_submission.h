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
#include "net/http.h"
#include "state/client.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Handles POST /v2/runs: validates the job and its dependencies and commits it. A repeated
/// submission of an accepted job is never refused, whatever its body is now: the response is the
/// job's state.
class JobSubmission {
 public:
  /// Replies run in the mailbox of `actor`.
  JobSubmission(actor::Actor& actor, const actor::Loop& loop, ControllerComponents& components,
                JobQueries& queries, TagSequence& tags)
      : actor_(actor), loop_(loop), components_(components), queries_(queries), tags_(tags) {}

  /// 201: accepted; 200: accepted before; 400: malformed; 422: can never run, or names a dependency
  /// that it may not have; 503: not now.
  void handle(const net::ExchangePtr& exchange);

  /// Well-formed submissions so far.
  [[nodiscard]] std::uint64_t submissions() const { return submissions_; }
  /// Of these, refused by 503 since the state service could not be read or written in time.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  /// What has been read about the dependencies by the time of a check.
  enum class DependencyRead { cache, linearizable, job_results };
  /// A job's dependencies, by what is known of them.
  struct Dependencies {
    std::vector<std::string> unfinished;
    std::vector<std::string> not_found;
    bool is_any_cancelled = false;
    std::string error;  ///< Why the job must be refused; empty: no reason.
  };
  /// What is committed for an accepted job.
  struct Acceptance {
    std::string id;
    wire::JobState state = wire::JobState::queued;
    std::string key;
    std::string value;
    /// If the job is cancelled from the start: its final record.
    std::optional<wire::JobResultRecord> result;
  };
  void handle_malformed(const net::ExchangePtr& exchange, const std::string& why);
  void handle_valid(const net::ExchangePtr& exchange, wire::JobRecord job);
  void respond_with_state_or(const net::ExchangePtr& exchange, const std::string& id,
                             net::Answer otherwise);
  [[nodiscard]] bool is_accepted(const std::string& id) const;
  [[nodiscard]] Dependencies classify_dependencies(const wire::JobSpec& job) const;
  void check_dependencies(const net::ExchangePtr& exchange, wire::JobRecord job,
                          DependencyRead read);
  void read_dependencies(const net::ExchangePtr& exchange, wire::JobRecord job, DependencyRead read,
                         std::vector<std::string> not_found);
  [[nodiscard]] Acceptance make_acceptance(const wire::JobRecord& job, bool is_cancelled);
  void accept(const net::ExchangePtr& exchange, Acceptance acceptance);
  void on_commit_result(const net::ExchangePtr& exchange, const Acceptance& acceptance,
                        const state::CommitResult& result);
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

#include "controller/job_submission.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/cloud_manager.h"
#include "controller/job_feasibility.h"
#include "controller/job_results.h"
#include "controller/state_store.h"
#include "controller/user_responses.h"

namespace shunttrail::controller {
namespace {

/// Time after which a submission that could not be committed is refused.
constexpr double kCommitTimeoutS = 1;
/// Submissions are refused if the latest read of the state service is older than this.
constexpr double kMaxReadAgeS = 6;
/// Retry-After value sent to users if the state service cannot be read.
constexpr double kUnreadRetryAfterS = 2;
constexpr char kDependsOnService[] = "awaits names a service";

// Returns the response to a job that the latest read did not find. An infeasible job is refused.
// Otherwise the response asks the user to submit it again: either the machine types have not been
// loaded yet, or the cache held the job when the request arrived.
net::Answer refusal_response(JobFeasibility feasibility) {
  if (feasibility == JobFeasibility::infeasible)
    return net::error_response(422, "this job can never run here");
  return unavailable_response();
}

}  // namespace

void JobSubmission::handle(const net::ExchangePtr& exchange) {
  wire::JobRecord job;
  try {
    job.spec = wire::decode_job(exchange->body);
  } catch (const wire::Malformed& error) {
    return handle_malformed(exchange, error.what());
  }
  handle_valid(exchange, std::move(job));
}

// A malformed body with the id of an accepted job counts as a repeated submission.
void JobSubmission::handle_malformed(const net::ExchangePtr& exchange, const std::string& why) {
  const std::string id = wire::job_id_of(exchange->body);
  if (id.empty()) return exchange->send(net::error_response(400, why));
  respond_with_state_or(exchange, id, net::error_response(400, why));
}

void JobSubmission::handle_valid(const net::ExchangePtr& exchange, wire::JobRecord job) {
  ++submissions_;
  const JobFeasibility feasibility =
      check_feasibility(job.spec, components_.settings, components_.cloud_manager->catalogue());
  if (feasibility != JobFeasibility::feasible || is_accepted(job.spec.id))
    return respond_with_state_or(exchange, job.spec.id, refusal_response(feasibility));
  if (!components_.state_store->fresh(kMaxReadAgeS))
    return refuse(exchange, unavailable_response(kUnreadRetryAfterS));
  job.submitted_at = loop_.wall_now();
  check_dependencies({exchange, std::move(job), false, {}});
}

bool JobSubmission::is_accepted(const std::string& id) const {
  return components_.job_results->cached_result(id) ||
         components_.state_store->cache().live_job(id).kind != state::LiveJob::Kind::none;
}

// Responds with the job's state if it was accepted before, and with `otherwise` if not.
void JobSubmission::respond_with_state_or(const net::ExchangePtr& exchange, const std::string& id,
                                          net::Answer otherwise) {
  queries_.respond_with_state(
      exchange, id, JobStateDetail::state,
      [exchange, otherwise = std::move(otherwise)] { exchange->send(otherwise); });
}

void JobSubmission::refuse(const net::ExchangePtr& exchange, const net::Answer& answer) {
  ++refused_;
  exchange->send(answer);
}

// ---- dependencies

// Returns the final record of a job if this submission or the cache knows it.
const wire::JobResultRecord* JobSubmission::known_result(const PendingSubmission& pending,
                                                         const std::string& id) const {
  const auto lookup = pending.lookups.find(id);
  if (lookup != pending.lookups.end())
    if (const auto* record = jobs::found_record(lookup->second)) return record;
  return components_.job_results->cached_result(id);
}

JobSubmission::Dependencies JobSubmission::classify_dependencies(
    const PendingSubmission& pending) const {
  Dependencies dependencies;
  for (const auto& id : pending.job.spec.dependencies) {
    if (id == pending.job.spec.id)
      dependencies.error = "awaits names the job itself";
    else if (const wire::JobResultRecord* result = known_result(pending, id))
      add_finished(*result, dependencies);
    else
      add_unfinished(pending, id, dependencies);
    if (!dependencies.error.empty()) break;
  }
  return dependencies;
}

// A finished dependency is not waited for.
void JobSubmission::add_finished(const wire::JobResultRecord& result, Dependencies& dependencies) {
  if (result.service) dependencies.error = kDependsOnService;
  dependencies.is_any_cancelled |= result.cancelled;
}

// A dependency that is in no memory of this node is unknown. Only a lookup that has shown that no
// final record is stored proves that it was never accepted.
void JobSubmission::add_unfinished(const PendingSubmission& pending, const std::string& id,
                                   Dependencies& dependencies) const {
  const state::LiveJob live = components_.state_store->cache().live_job(id);
  switch (live.kind) {
    case state::LiveJob::Kind::ready:
    case state::LiveJob::Kind::waiting:
      if (live.entry->record.spec.service) dependencies.error = kDependsOnService;
      dependencies.unfinished.push_back(id);
      return;
    case state::LiveJob::Kind::unreadable:
      dependencies.is_any_unreadable = true;
      return;
    case state::LiveJob::Kind::none:
      if (pending.lookups.contains(id))
        dependencies.error = "awaits names a job that was never accepted";
      else
        dependencies.unknown.push_back(id);
      return;
  }
}

// Checks that every dependency has been accepted at some time. An acceptance is never revoked, so
// jobs in the cache need no new read. Unknown ones are searched for in two steps: first by a
// linearizable read, which shows jobs that another node has accepted an instant ago, and then among
// the final records, all at once. A live dependency may end, and thereby become unknown, while the
// final records of others are read: the steps are then repeated for it.
void JobSubmission::check_dependencies(PendingSubmission pending) {
  Dependencies dependencies = classify_dependencies(pending);
  if (!dependencies.error.empty()) return refuse_dependencies(pending, dependencies.error);
  if (dependencies.is_any_unreadable) return refuse(pending.exchange, unavailable_response());
  if (!dependencies.unknown.empty()) {
    if (!pending.is_cache_current) return read_current_cache(std::move(pending));
    return look_up_results(std::move(pending), std::move(dependencies.unknown));
  }
  wire::JobRecord& job = pending.job;
  const bool has_dependencies = !job.spec.dependencies.empty();
  if (has_dependencies && dependencies.unfinished.empty()) job.ready_at = job.submitted_at;
  job.spec.dependencies = std::move(dependencies.unfinished);
  accept(pending.exchange, make_acceptance(job, dependencies.is_any_cancelled));
}

void JobSubmission::refuse_dependencies(const PendingSubmission& pending,
                                        const std::string& error) {
  const std::string& id = pending.job.spec.id;
  spdlog::info("the submission of {} is refused: {}", id, error);
  respond_with_state_or(pending.exchange, id, net::error_response(422, error));
}

void JobSubmission::read_current_cache(PendingSubmission pending) {
  components_.state_store->linearizable_read(
      actor_.reply<bool>([this, pending = std::move(pending)](bool is_read) mutable {
        if (!is_read) return refuse(pending.exchange, unavailable_response());
        pending.is_cache_current = true;
        check_dependencies(std::move(pending));
      }));
}

void JobSubmission::look_up_results(PendingSubmission pending, std::vector<std::string> ids) {
  components_.job_results->lookup_all(
      std::move(ids), actor_.reply<jobs::ResultLookups>([this, pending = std::move(pending)](
                                                            jobs::ResultLookups lookups) mutable {
        if (jobs::any_unread(lookups)) return refuse(pending.exchange, unavailable_response());
        pending.lookups.merge(std::move(lookups));
        pending.is_cache_current = false;
        check_dependencies(std::move(pending));
      }));
}

// ---- acceptance

JobSubmission::Acceptance JobSubmission::make_acceptance(const wire::JobRecord& job,
                                                         bool is_cancelled) {
  const wire::JobSpec& spec = job.spec;
  if (is_cancelled) {
    // A job that depends on a cancelled job is cancelled from the start.
    const wire::JobResultRecord result = wire::cancelled_record(spec, tags_.next());
    return {spec.id, wire::JobState::cancelled, state::job_result_key(spec.id),
            wire::encode_record(result), result};
  }
  const bool is_ready = spec.dependencies.empty();
  return {spec.id, wire::JobState::queued,
          is_ready ? state::job_key(spec.id) : state::waiting_key(spec.id),
          wire::encode_record_within(job, value_limit()), std::nullopt};
}

void JobSubmission::accept(const net::ExchangePtr& exchange, Acceptance acceptance) {
  const std::string& id = acceptance.id;
  if (exceeds_value_limit(acceptance)) return refuse_oversized(exchange, id);
  wire::Transaction transaction;
  transaction.preconditions = {
      {state::job_key(id), 0}, {state::waiting_key(id), 0}, {state::job_result_key(id), 0}};
  transaction.ops.push_back({acceptance.key, acceptance.value, 0});
  components_.state_store->commit(
      std::move(transaction), state::RequestPriority::user, kCommitTimeoutS,
      actor_.reply<state::CommitResult>(
          [this, exchange, acceptance = std::move(acceptance)](const state::CommitResult& result) {
            on_commit_result(exchange, acceptance, result);
          }));
}

void JobSubmission::on_commit_result(const net::ExchangePtr& exchange, const Acceptance& acceptance,
                                     const state::CommitResult& result) {
  const std::string& id = acceptance.id;
  if (result.kind == state::CommitResult::applied) {
    if (acceptance.result) components_.job_results->result_written(id, *acceptance.result);
    net::Answer accepted = job_state_response(id, acceptance.state, 0, 0, JobStateDetail::state);
    accepted.status = 201;
    return exchange->send(accepted);
  }
  if (result.kind == state::CommitResult::precondition_failed)
    return respond_with_state_or(exchange, id, unavailable_response());
  if (result.kind == state::CommitResult::too_large && exceeds_value_limit(acceptance))
    return refuse_oversized(exchange, id);
  refuse(exchange, unavailable_response());
}

std::size_t JobSubmission::value_limit() const {
  return components_.state_client.limits().transaction_limits().value_bytes;
}

// Checked again after a commit that was refused as too large: the limit of the state service may
// have been learned from that response.
bool JobSubmission::exceeds_value_limit(const Acceptance& acceptance) const {
  return acceptance.value.size() > value_limit();
}

// The job's state takes precedence: another node may have accepted the job with a smaller body an
// instant ago.
void JobSubmission::refuse_oversized(const net::ExchangePtr& exchange, const std::string& id) {
  respond_with_state_or(exchange, id,
                        net::error_response(400, "the job's description is too long"));
}

}  // namespace shunttrail::controller

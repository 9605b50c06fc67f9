#include "controller/job_submission.h"

#include <utility>

#include "controller/cloud_manager.h"
#include "controller/job_feasibility.h"
#include "controller/job_results.h"
#include "controller/state_store.h"
#include "controller/user_responses.h"

namespace shunttrail::controller {
namespace {

/// A submission that could not be committed by then is refused.
constexpr double kCommitTimeoutS = 1;
/// So is one that comes when the latest read of the state service is older.
constexpr double kMaxReadAgeS = 6;
/// After which a user is to retry, if the state service cannot be read.
constexpr double kUnreadRetryAfterS = 2;

// The response to a job that was not accepted before. A feasible one gets here only if it was known
// a moment ago, and is to be submitted again.
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

// With the id of a job that was accepted it is a repeated submission, whatever its body is now.
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
  check_dependencies(exchange, std::move(job), DependencyRead::cache);
}

bool JobSubmission::is_accepted(const std::string& id) const {
  const state::StateCache& cache = components_.state_store->cache();
  return components_.job_results->cached_result(id) || cache.job(id) || cache.waiting(id);
}

// The state of the job if it was accepted before, else `otherwise`.
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

JobSubmission::Dependencies JobSubmission::classify_dependencies(const wire::JobSpec& job) const {
  const state::StateCache& cache = components_.state_store->cache();
  Dependencies dependencies;
  for (const auto& id : job.dependencies) {
    if (id == job.id) {
      dependencies.error = "awaits names the job itself";
      return dependencies;
    }
    const state::JobEntry* live = cache.job(id);
    if (!live) live = cache.waiting(id);
    const wire::JobResultRecord* result = components_.job_results->cached_result(id);
    if ((live && live->record.spec.service) || (result && result->service)) {
      dependencies.error = "awaits names a service";
      return dependencies;
    }
    if (result)
      dependencies.is_any_cancelled |= result->cancelled;  // one that is done need not be awaited
    else if (live)
      dependencies.unfinished.push_back(id);
    else
      dependencies.not_found.push_back(id);
  }
  return dependencies;
}

// Every dependency has to have been accepted. That is for good, so what the cache has seen will do;
// what it has not is looked for in two steps: by one read that begins now, for jobs that another
// node accepted an instant ago, and then among the final records, all at once.
void JobSubmission::check_dependencies(const net::ExchangePtr& exchange, wire::JobRecord job,
                                       DependencyRead read) {
  Dependencies dependencies = classify_dependencies(job.spec);
  const bool any_not_found = !dependencies.not_found.empty();
  if (dependencies.error.empty() && any_not_found && read == DependencyRead::job_results)
    dependencies.error = "awaits names a job that was never accepted";
  if (!dependencies.error.empty())
    return respond_with_state_or(exchange, job.spec.id,
                                 net::error_response(422, dependencies.error));
  if (any_not_found)
    return read_dependencies(exchange, std::move(job), read, std::move(dependencies.not_found));
  const bool has_dependencies = !job.spec.dependencies.empty();
  if (has_dependencies && dependencies.unfinished.empty()) job.ready_at = job.submitted_at;
  job.spec.dependencies = std::move(dependencies.unfinished);
  accept(exchange, make_acceptance(job, dependencies.is_any_cancelled));
}

// Reads what has not been read yet about the not_found dependencies, and checks again.
void JobSubmission::read_dependencies(const net::ExchangePtr& exchange, wire::JobRecord job,
                                      DependencyRead read, std::vector<std::string> not_found) {
  const bool reads_state = read == DependencyRead::cache;
  const auto next = reads_state ? DependencyRead::linearizable : DependencyRead::job_results;
  auto check_again = actor_.reply<bool>([this, exchange, job = std::move(job), next](bool is_read) {
    if (!is_read) return refuse(exchange, unavailable_response());
    check_dependencies(exchange, job, next);
  });
  if (reads_state) return components_.state_store->linearizable_read(std::move(check_again));
  components_.job_results->lookup_all(std::move(not_found), std::move(check_again));
}

// ---- acceptance

JobSubmission::Acceptance JobSubmission::make_acceptance(const wire::JobRecord& job,
                                                         bool is_cancelled) {
  const wire::JobSpec& spec = job.spec;
  if (is_cancelled) {
    // A job that depends on a cancelled one is cancelled from the start.
    const wire::JobResultRecord result = wire::cancelled_record(spec, tags_.next());
    return {spec.id, wire::JobState::cancelled, state::job_result_key(spec.id),
            wire::encode_record(result), result};
  }
  const bool is_ready = spec.dependencies.empty();
  return {spec.id, wire::JobState::queued,
          is_ready ? state::job_key(spec.id) : state::waiting_key(spec.id),
          wire::encode_record(job), std::nullopt};
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

// The state service's limit may have been learned by the commit that it refused.
bool JobSubmission::exceeds_value_limit(const Acceptance& acceptance) const {
  return acceptance.value.size() >
         components_.state_client.limits().transaction_limits().value_bytes;
}

// Another node may have accepted the job under another body an instant ago.
void JobSubmission::refuse_oversized(const net::ExchangePtr& exchange, const std::string& id) {
  respond_with_state_or(exchange, id,
                        net::error_response(400, "the job's description is too long"));
}

}  // namespace shunttrail::controller

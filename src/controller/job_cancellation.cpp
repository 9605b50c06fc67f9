#include "controller/job_cancellation.h"

#include <optional>
#include <utility>

#include "controller/job_results.h"
#include "controller/state_store.h"
#include "controller/user_responses.h"

namespace shunttrail::controller {
namespace {
/// Number of attempts. One fails if another commit changes the job's keys first.
constexpr int kAttempts = 4;
/// Time after which a cancellation that could not be sent is abandoned.
constexpr double kCommitTimeoutS = 1;
}  // namespace

void JobCancellation::handle(const net::ExchangePtr& exchange, const std::string& id) {
  run(exchange, id, kAttempts);
}

void JobCancellation::run(const net::ExchangePtr& exchange, const std::string& id,
                          int attempts_left) {
  if (attempts_left == 0) return exchange->send(unavailable_response());
  if (const auto* result = components_.job_results->cached_result(id))
    return exchange->send(job_result_response(id, *result, JobStateDetail::state));
  components_.state_store->linearizable_read(
      actor_.reply<bool>([this, exchange, id, attempts_left](bool is_read) {
        if (!is_read) return exchange->send(unavailable_response());
        cancel_live(exchange, id, attempts_left);
      }));
}

void JobCancellation::cancel_live(const net::ExchangePtr& exchange, const std::string& id,
                                  int attempts_left) {
  switch (components_.state_store->cache().live_job(id).kind) {
    case state::LiveJob::Kind::ready:
      return commit(exchange, id, attempts_left);
    case state::LiveJob::Kind::waiting:
      return cancel_waiting(exchange, id, attempts_left);
    case state::LiveJob::Kind::unreadable:
      return exchange->send(unavailable_response());
    case state::LiveJob::Kind::none:
      // The job was not live at the linearizable read: it has ended, or was never accepted. A job
      // that is accepted after that read is reported as unknown. It must not be reported as queued,
      // which is no valid response to a cancellation.
      return queries_.respond_with_result(exchange, id, JobStateDetail::state,
                                          [exchange] { exchange->send(no_such_job_response()); });
  }
}

void JobCancellation::cancel_waiting(const net::ExchangePtr& exchange, const std::string& id,
                                     int attempts_left) {
  using DependencyStates = JobResults::DependencyStates;
  components_.job_results->dependency_states(
      {id}, actor_.reply<DependencyStates>(
                [this, exchange, id, attempts_left](const DependencyStates& states) {
                  // Already cancelled, since a job that it depends on was cancelled.
                  if (states.of[0] == jobs::DependencyGraph::DependencyState::cancelled)
                    return exchange->send(cancelled_response(id));
                  commit(exchange, id, attempts_left);
                }));
}

// The commits that record the job as done and as cancelled have preconditions on the same keys: the
// one that is applied first decides how the job ended.
void JobCancellation::commit(const net::ExchangePtr& exchange, const std::string& id,
                             int attempts_left) {
  const state::LiveJob job = components_.state_store->cache().live_job(id);
  if (!job.entry) return run(exchange, id, attempts_left - 1);
  const bool is_waiting = job.kind == state::LiveJob::Kind::waiting;
  const std::string key = is_waiting ? state::waiting_key(id) : state::job_key(id);
  wire::JobResultRecord result = wire::cancelled_record(job.entry->record.spec, tags_.next());
  wire::Transaction transaction;
  transaction.preconditions = {{key, job.entry->mod_revision}, {state::job_result_key(id), 0}};
  transaction.ops.push_back({key, std::nullopt, 0});
  transaction.ops.push_back({state::job_result_key(id), wire::encode_record(result), 0});
  components_.state_store->commit(
      std::move(transaction), state::RequestPriority::user, kCommitTimeoutS,
      actor_.reply<state::CommitResult>([this, exchange, id, result = std::move(result),
                                         attempts_left](const state::CommitResult& committed) {
        if (committed.kind == state::CommitResult::applied) {
          components_.job_results->result_written(id, result);
          exchange->send(cancelled_response(id));
        } else if (committed.kind == state::CommitResult::precondition_failed) {
          run(exchange, id, attempts_left - 1);
        } else {
          exchange->send(unavailable_response());
        }
      }));
}

}  // namespace shunttrail::controller

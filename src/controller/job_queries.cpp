#include "controller/job_queries.h"

#include <utility>

#include "controller/state_store.h"
#include "jobs/job.h"

namespace shunttrail::controller {
namespace {
/// Number of attempts before a query is abandoned. One fails if a final record that it needs has
/// not been read yet.
constexpr int kQueryAttempts = 3;
}  // namespace

void JobQueries::poll(const net::ExchangePtr& exchange, const std::string& id) {
  respond_with_state(exchange, id, JobStateDetail::state_with_counts,
                     [exchange] { exchange->send(no_such_job_response()); });
}

void JobQueries::respond_with_state(const net::ExchangePtr& exchange, const std::string& id,
                                    JobStateDetail detail, std::function<void()> on_unknown) {
  run({exchange, id, detail, std::move(on_unknown), kQueryAttempts});
}

void JobQueries::run(const Query& query) {
  // A final record never changes, so a cached one needs no new read.
  if (const auto* result = components_.job_results->cached_result(query.id))
    return query.exchange->send(job_result_response(query.id, *result, query.detail));
  if (query.attempts_left == 0) return query.exchange->send(unavailable_response());
  components_.state_store->linearizable_read(actor_.reply<bool>([this, query](bool is_read) {
    if (!is_read) return query.exchange->send(unavailable_response());
    respond_from_cache(query);
  }));
}

// Responds from the cache, which holds at least everything that was committed before the query
// began.
void JobQueries::respond_from_cache(const Query& query) {
  const state::LiveJob job = components_.state_store->cache().live_job(query.id);
  switch (job.kind) {
    case state::LiveJob::Kind::ready:
      return respond_with_progress(query, *job.entry);
    case state::LiveJob::Kind::waiting:
      return respond_waiting(query);
    case state::LiveJob::Kind::unreadable:
      return query.exchange->send(unavailable_response());
    case state::LiveJob::Kind::none:
      return respond_with_result(query.exchange, query.id, query.detail, query.on_unknown);
  }
}

void JobQueries::respond_with_progress(const Query& query, const state::JobEntry& job) {
  const state::StateCache& cache = components_.state_store->cache();
  const auto [done, running] = cache.progress(job, jobs::kTasksPerChunk);
  const auto state = running ? wire::JobState::running : wire::JobState::queued;
  query.exchange->send(job_state_response(query.id, state, done, running, query.detail));
}

void JobQueries::respond_with_result(const net::ExchangePtr& exchange, const std::string& id,
                                     JobStateDetail detail, std::function<void()> on_unknown) {
  components_.job_results->lookup(
      id,
      actor_.reply<jobs::ResultLookup>([exchange, id, detail, on_unknown = std::move(on_unknown)](
                                           const jobs::ResultLookup& lookup) {
        if (jobs::is_not_stored(lookup)) return on_unknown();
        const auto* result = jobs::found_record(lookup);
        exchange->send(result ? job_result_response(id, *result, detail) : unavailable_response());
      }));
}

// Derives a waiting job's state from the jobs that it depends on. The job's own record may be out
// of date, and its shard may have any leader: a job that depends on a cancelled one has never
// started.
void JobQueries::respond_waiting(const Query& query) {
  using DependencyStates = JobResults::DependencyStates;
  components_.job_results->dependency_states(
      {query.id}, actor_.reply<DependencyStates>([this, query](DependencyStates states) {
        on_waiting_state(query, std::move(states));
      }));
}

void JobQueries::on_waiting_state(const Query& query, JobResults::DependencyStates states) {
  using DependencyState = jobs::DependencyGraph::DependencyState;
  const DependencyState state = states.of[0];
  if (state == DependencyState::unread) return read_missing(query, std::move(states.missing));
  const auto shown =
      state == DependencyState::queued ? wire::JobState::queued : wire::JobState::cancelled;
  query.exchange->send(job_state_response(query.id, shown, 0, 0, query.detail));
}

// Reads the final records that a waiting job's state depends on, and runs the query again.
void JobQueries::read_missing(const Query& query, std::vector<std::string> missing) {
  components_.job_results->lookup_all(
      std::move(missing),
      actor_.reply<jobs::ResultLookups>([this, query](const jobs::ResultLookups& lookups) {
        if (jobs::any_unread(lookups)) return query.exchange->send(unavailable_response());
        Query next = query;
        --next.attempts_left;
        run(next);
      }));
}

}  // namespace shunttrail::controller

#include "jobs/state_transitions.h"

#include <utility>

#include "state/keys.h"
#include "wire/record_codec.h"

namespace shunttrail::jobs {
namespace {

/// Returns the value of the key under which a job that has become ready may start.
std::string start_value(const state::JobEntry& job, double wall_now, std::size_t max_bytes) {
  wire::JobRecord record = job.record;
  record.spec.dependencies.clear();
  record.ready_at = wall_now;
  return wire::encode_record_within(record, max_bytes);
}

/// Adds the operations that move a ready job to the key of jobs that may start.
void add_start(const std::string& id, std::string value, StateTransitions& out) {
  out.txn.preconditions.emplace_back(state::job_key(id), 0);
  out.txn.ops.push_back({state::job_key(id), std::move(value), 0});
}

/// Adds the operation that writes a doomed job's cancelled result.
void add_cancellation(const std::string& id, const state::JobEntry& job, const std::string& tag,
                      StateTransitions& out) {
  wire::JobResultRecord result = wire::cancelled_record(job.record.spec, tag);
  out.txn.ops.push_back({state::job_result_key(id), wire::encode_record(result), 0});
  out.results.emplace_back(id, std::move(result));
}

/// The operations that one job needs: its waiting key is deleted and another key is set.
constexpr std::size_t kOpsPerJob = 2;

}  // namespace

StateTransitions state_transitions(const state::StateCache& cache, const DependencyGraph& graph,
                                   bool ready, const state::TransactionLimits& limits,
                                   double wall_now, const std::string& tag,
                                   const std::function<bool(const std::string&)>& is_led_here) {
  StateTransitions out;
  for (const std::string& id : ready ? graph.ready() : graph.doomed()) {
    if (out.txn.ops.size() + kOpsPerJob > limits.ops) break;
    const state::JobEntry* job = cache.waiting(id);
    if (!job || !is_led_here(id)) continue;
    out.txn.preconditions.emplace_back(state::waiting_key(id), job->mod_revision);
    out.txn.preconditions.emplace_back(state::job_result_key(id), 0);
    out.txn.ops.push_back({state::waiting_key(id), std::nullopt, 0});
    if (ready)
      add_start(id, start_value(*job, wall_now, limits.value_bytes), out);
    else
      add_cancellation(id, *job, tag, out);
  }
  return out;
}

}  // namespace shunttrail::jobs

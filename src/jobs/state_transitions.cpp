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

/// Adds the operations and preconditions that take a job out of the waiting state.
void add_removal(const std::string& id, const state::JobEntry& job, wire::Transaction& txn) {
  txn.preconditions.emplace_back(state::waiting_key(id), job.mod_revision);
  txn.preconditions.emplace_back(state::job_result_key(id), 0);
  txn.ops.push_back({state::waiting_key(id), std::nullopt, 0});
}

/// Adds the operations that move a ready job to the key of jobs that may start.
void add_start(const std::string& id, const state::JobEntry& job, std::string value,
               wire::Transaction& txn) {
  add_removal(id, job, txn);
  txn.preconditions.emplace_back(state::job_key(id), 0);
  txn.ops.push_back({state::job_key(id), std::move(value), 0});
}

/// Adds the operation that writes a doomed job's cancelled result.
void add_cancellation(const std::string& id, const state::JobEntry& job, const std::string& tag,
                      StateTransitions& out) {
  add_removal(id, job, out.txn);
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
    if (!ready) {
      add_cancellation(id, *job, tag, out);
      continue;
    }
    std::string value = start_value(*job, wall_now, limits.value_bytes);
    if (value.size() <= limits.value_bytes) add_start(id, *job, std::move(value), out.txn);
  }
  return out;
}

std::optional<OversizedStart> oversized_start(
    const state::StateCache& cache, const DependencyGraph& graph,
    const state::TransactionLimits& limits, double wall_now, const std::string& after,
    const std::function<bool(const std::string&)>& is_led_here) {
  std::optional<OversizedStart> first;
  for (const std::string& id : graph.ready()) {
    const bool is_next = id > after;
    if (first && !is_next) continue;
    const state::JobEntry* job = cache.waiting(id);
    if (!job || !is_led_here(id)) continue;
    std::string value = start_value(*job, wall_now, limits.value_bytes);
    if (value.size() <= limits.value_bytes) continue;
    OversizedStart start{id, value.size(), {}};
    add_start(id, *job, std::move(value), start.txn);
    if (is_next) return start;
    first = std::move(start);
  }
  return first;
}

}  // namespace shunttrail::jobs

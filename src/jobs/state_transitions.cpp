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

/// Returns the transaction that deletes a job's waiting key.
wire::Transaction removal(const std::string& id, const state::JobEntry& job) {
  wire::Transaction txn;
  txn.preconditions.emplace_back(state::waiting_key(id), job.mod_revision);
  txn.preconditions.emplace_back(state::job_result_key(id), 0);
  txn.ops.push_back({state::waiting_key(id), std::nullopt, 0});
  return txn;
}

/// Returns the transaction that moves a ready job to the key of jobs that may start.
wire::Transaction start(const std::string& id, const state::JobEntry& job, std::string value) {
  wire::Transaction txn = removal(id, job);
  txn.preconditions.emplace_back(state::job_key(id), 0);
  txn.ops.push_back({state::job_key(id), std::move(value), 0});
  return txn;
}

/// Returns the transaction that writes a doomed job's result.
wire::Transaction cancellation(const std::string& id, const state::JobEntry& job,
                               const wire::JobResultRecord& result) {
  wire::Transaction txn = removal(id, job);
  txn.ops.push_back({state::job_result_key(id), wire::encode_record(result), 0});
  return txn;
}

}  // namespace

StateTransitions state_transitions(const state::StateCache& cache, const DependencyGraph& graph,
                                   bool ready, const state::TransactionLimits& limits,
                                   double wall_now, const std::string& tag,
                                   const std::function<bool(const std::string&)>& is_led_here) {
  StateTransitions out;
  for (const std::string& id : ready ? graph.ready() : graph.doomed()) {
    if (out.txn.ops.size() >= limits.ops) break;
    const state::JobEntry* job = cache.waiting(id);
    if (!job || !is_led_here(id)) continue;
    if (ready) {
      std::string value = start_value(*job, wall_now, limits.value_bytes);
      if (value.size() > limits.value_bytes) continue;
      if (!state::append_within(limits, start(id, *job, std::move(value)), out.txn)) break;
    } else {
      wire::JobResultRecord result = wire::cancelled_record(job->record.spec, tag);
      if (!state::append_within(limits, cancellation(id, *job, result), out.txn)) break;
      out.results.emplace_back(id, std::move(result));
    }
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
    const std::size_t value_bytes = value.size();
    OversizedStart oversized{id, value_bytes, start(id, *job, std::move(value))};
    if (is_next) return oversized;
    first = std::move(oversized);
  }
  return first;
}

}  // namespace shunttrail::jobs

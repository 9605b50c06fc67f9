/// @file
/// Transactions that move jobs out of the waiting state: to the key of jobs that may start, or to
/// their result if they can never run. Free of I/O.
#pragma once
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/dependency_graph.h"
#include "state/limits.h"
#include "state/state_cache.h"

namespace shunttrail::jobs {

/// A transaction that moves jobs out of the waiting state.
struct StateTransitions {
  wire::Transaction txn;
  /// The results that the transaction writes, by job.
  std::vector<std::pair<std::string, wire::JobResultRecord>> results;
};
/// Builds a transaction for waiting jobs. With `ready`, ready jobs move to the key of jobs that may
/// start; otherwise doomed jobs get the cancelled result that users already see. Preconditions on
/// the revisions of the waiting keys and on the absence of results make a late or repeated copy of
/// the transaction fail.
/// `limits` bounds the transaction's size; `wall_now` is the time of day in seconds; `tag` names
/// the transaction; `is_led_here` returns whether this node leads the job's shard.
[[nodiscard]] StateTransitions state_transitions(
    const state::StateCache& cache, const DependencyGraph& graph, bool ready,
    const state::TransactionLimits& limits, double wall_now, const std::string& tag,
    const std::function<bool(const std::string&)>& is_led_here);

}  // namespace shunttrail::jobs

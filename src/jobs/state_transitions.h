/// @file
/// Transactions that move jobs out of the waiting state: to the key of jobs that may start, or to
/// their result if they can never run. Free of I/O.
#pragma once
#include <cstddef>
#include <functional>
#include <optional>
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
/// the transaction; `is_led_here` returns whether this node leads the job's shard. A ready job
/// whose record has no form within the limits is left out, so that the others do not wait for it.
[[nodiscard]] StateTransitions state_transitions(
    const state::StateCache& cache, const DependencyGraph& graph, bool ready,
    const state::TransactionLimits& limits, double wall_now, const std::string& tag,
    const std::function<bool(const std::string&)>& is_led_here);

/// The transaction that makes a single job ready whose record is above the limits in every form.
struct OversizedStart {
  std::string id;
  std::size_t value_bytes = 0;  ///< the length of the shortest form
  wire::Transaction txn;
};
/// Returns the start of the first job after `after`, in the order of ids, that `state_transitions`
/// leaves out for its length; after the last one, of the first. The known limits may be lower than
/// the present ones, so the job can only be tried, by itself. A job that was accepted under
/// `limits` is never above them.
[[nodiscard]] std::optional<OversizedStart> oversized_start(
    const state::StateCache& cache, const DependencyGraph& graph,
    const state::TransactionLimits& limits, double wall_now, const std::string& after,
    const std::function<bool(const std::string&)>& is_led_here);

}  // namespace shunttrail::jobs

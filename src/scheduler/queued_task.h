// A task that has entered the chain: it waits in a machine's queue, or has left one to be placed.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

#include "chain/walk.h"
#include "jobs/job.h"

namespace shunttrail::scheduler {

/// Order of service in a queue: the priority band, then the order within the band. The lowest is
/// served first.
using ServiceOrder = std::pair<int, std::uint64_t>;

/// A task between its job's pending set and its placement.
struct QueuedTask {
  jobs::JobPtr job;
  /// Index of the task within its job.
  std::uint32_t task = 0;
  /// Steady time, in seconds, at which the task entered the chain.
  double since = 0;
  /// Order among the tasks of its band (TaskQueues::take_pending).
  std::uint64_t order = 0;
  /// The job's priority band when the task entered the chain.
  int priority_band = 0;
  /// Decisions made for the task in the chain; their learners record the task's finish cost.
  std::vector<chain::Step> chain_steps;
  /// True if the machine was rented for this task.
  bool rented = false;

  [[nodiscard]] ServiceOrder service_order() const { return {priority_band, order}; }
  [[nodiscard]] static bool before(const QueuedTask& a, const QueuedTask& b) {
    return a.service_order() < b.service_order();
  }
  /// Removes the decisions of the chain, so that no learner records the task's cost.
  void clear_chain() {
    chain_steps.clear();
    rented = false;
  }
};

}  // namespace shunttrail::scheduler

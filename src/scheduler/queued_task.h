// A task that has entered the chain and waits in, or has left, a machine's queue.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

#include "chain/walk.h"
#include "jobs/job.h"

namespace shunttrail::scheduler {

/// Order of service in a queue: the priority band, then the order within it. The lower goes first.
using ServiceOrder = std::pair<int, std::uint64_t>;

/// A task on its way from its job to a placement.
struct QueuedTask {
  jobs::JobPtr job;
  /// Index within the job.
  std::uint32_t task = 0;
  /// Steady time, in seconds, at which it entered the chain.
  double since = 0;
  /// Place among the tasks of its band (TaskQueues::take_pending).
  std::uint64_t order = 0;
  /// The job's band when the task entered the chain.
  int priority_band = 0;
  /// Decisions on its way through the chain, for the learners that are to record its cost.
  std::vector<chain::Step> chain_steps;
  /// Its machine was rented for it.
  bool rented = false;

  [[nodiscard]] ServiceOrder service_order() const { return {priority_band, order}; }
  [[nodiscard]] static bool before(const QueuedTask& a, const QueuedTask& b) {
    return a.service_order() < b.service_order();
  }
  /// The task goes on without a decision of the chain: no learner records its cost.
  void clear_chain() {
    chain_steps.clear();
    rented = false;
  }
};

}  // namespace shunttrail::scheduler

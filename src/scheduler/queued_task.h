// A task in the chain.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

#include "chain/walk.h"
#include "jobs/job.h"

namespace shunttrail::scheduler {

using ServiceOrder = std::pair<int, std::uint64_t>;  // order of service: band, then first come

struct QueuedTask {
  jobs::JobPtr job;
  std::uint32_t task = 0;
  double since = 0;  // when it began to wait
  std::uint64_t order = 0;
  int priority_band = 0;  // the job's when the task entered the chain
  std::vector<chain::Step> chain_steps;
  bool rented = false;
  ServiceOrder service_order() const { return {priority_band, order}; }
  static bool before(const QueuedTask& a, const QueuedTask& b) {
    return a.service_order() < b.service_order();
  }
};

}  // namespace shunttrail::scheduler

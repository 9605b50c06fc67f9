// A task in the chain.
#pragma once
#include <cstdint>
#include <utility>
#include <vector>

#include "chain/walk.h"
#include "jobs/job.h"

namespace shunt::fleet {

using Key = std::pair<int, std::uint64_t>;  // order of service: band, then first come

struct Item {
  jobs::JobPtr job;
  std::uint32_t task = 0;
  double since = 0;  // when it began to wait
  std::uint64_t order = 0;
  int band = 0;  // the job's when the task entered the chain
  std::vector<chain::Step> trail;
  bool rented = false;
  Key key() const { return {band, order}; }
  static bool before(const Item& a, const Item& b) { return a.key() < b.key(); }
};

}  // namespace shunt::fleet

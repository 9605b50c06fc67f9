#include "scheduler/machine.h"

#include <algorithm>

namespace shunttrail::scheduler {

bool Machine::has_replicas() const {
  return std::any_of(tasks.placements.begin(), tasks.placements.end(),
                     [](const Placement& placement) {
                       return placement.job->spec.service && !placement.released;
                     });
}

double share_of(const jobs::Resources& need, const jobs::Resources& capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return static_cast<double>(part) / static_cast<double>(whole);
  };
  const double cpus = capacity.cpus > 0 ? share(need.cpus, capacity.cpus) : 0;
  return capacity.mem > 0 ? std::max(cpus, share(need.mem, capacity.mem)) : cpus;
}

}  // namespace shunttrail::scheduler

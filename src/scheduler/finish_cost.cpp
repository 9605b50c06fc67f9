#include "scheduler/finish_cost.h"

#include <algorithm>
#include <array>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;

namespace {
/// Relative cost of a second of waiting, by priority, the most urgent first.
constexpr std::array<double, wire::kPriorities> kPriorityWeight{8, 4, 1, 0.5};
/// Run time, in seconds, that the cost of a replica assumes: it occupies its resources for at least
/// this long.
constexpr double kReplicaRunS = 60;

// Returns the greatest of the shares of vcpus, GPUs and memory.
double largest_share(const Resources& need, const Resources& capacity) {
  double share = 0;
  const auto include = [&](std::int64_t part, std::int64_t whole) {
    if (whole > 0) share = std::max(share, static_cast<double>(part) / static_cast<double>(whole));
  };
  include(need.cpus, capacity.cpus);
  include(need.gpus, capacity.gpus);
  include(need.mem, capacity.mem);
  return share;
}

double finish_cost(const ShardContext& context, const Placement& placement, const Machine& machine,
                   double now) {
  const Job& job = *placement.job;
  const auto& type = context.catalogue.types[static_cast<std::size_t>(machine.type)];
  const double rate = context.catalogue.rate(machine.tier());
  const double share = largest_share(job.need, type.capacity);
  const double weight =
      kPriorityWeight[static_cast<std::size_t>(job.priority)] * context.catalogue.base_rate;
  const double started = placement.started > 0 ? placement.started : now;
  const double waited_s = std::max(0.0, started - placement.queued_task.since);
  double cost = rate * share * (job.spec.service ? kReplicaRunS : now - started);
  if (placement.queued_task.rented) cost += rate * type.spec.boot_s;
  cost += context.tuning.wait_weight * weight * waited_s;
  if (now > job.due) cost += context.tuning.late_weight * weight;
  return cost;
}
}  // namespace

void record_finish_cost(ShardContext& context, const Placement& placement, const Machine& machine,
                        double now) {
  const double cost = finish_cost(context, placement, machine, now);
  for (const chain::Step& step : placement.queued_task.chain_steps)
    step.learner->record(step.context, step.arm, cost);
}

}  // namespace shunttrail::scheduler

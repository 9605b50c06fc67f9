// The finish cost of a task. The learners that chose its way through the chain record it (DESIGN
// point 6).
#pragma once
#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Records the placement's cost with every learner that made a decision on its task's way through
/// the chain. The cost is the sum of the price of the task's share of the machine, the price of the
/// boot if the machine was rented for it, the cost of its wait, and that of a missed deadline. The
/// machine's type must be known.
void record_finish_cost(ShardContext& context, const Placement& placement, const Machine& machine,
                        double now);

}  // namespace shunttrail::scheduler

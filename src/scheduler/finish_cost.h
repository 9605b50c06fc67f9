// The finish cost of a task, which the learners that it passed through record (DESIGN point 6).
#pragma once
#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Records the placement's cost with every learner on its task's way through the chain: the price
/// of its share of the machine, of a boot for its sake, of the wait and of a missed deadline. The
/// machine's type must be known.
void record_finish_cost(ShardContext& context, const Placement& placement, const Machine& machine,
                        double now);

}  // namespace shunttrail::scheduler

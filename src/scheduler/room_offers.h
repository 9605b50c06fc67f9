// Free capacity of a shard's machines that no task of the shard waits for, as the shard offers it
// to other shards (docs/delegation.md). Performs no I/O.
#pragma once
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/room_offer.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"

namespace shunttrail::scheduler {

/// Returns offers of the machines with the most free capacity, a few for each tier and zone,
/// largest first.
[[nodiscard]] std::vector<RoomOffer> room_offers(const ShardContext& context,
                                                 const Machines& machines, const TaskQueues& queues,
                                                 double now);

}  // namespace shunttrail::scheduler

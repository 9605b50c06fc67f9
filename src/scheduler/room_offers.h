// Room of a shard's machines that nothing of the shard waits for, as it is offered to the other
// shards (docs/delegation.md). Free of I/O.
#pragma once
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/room_offer.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"

namespace shunttrail::scheduler {

/// Offers of the machines with the most room, a few of each type, kind and zone, largest first.
[[nodiscard]] std::vector<RoomOffer> room_offers(const ShardContext& context,
                                                 const Machines& machines, const TaskQueues& queues,
                                                 double now);

}  // namespace shunttrail::scheduler

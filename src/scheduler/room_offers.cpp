#include "scheduler/room_offers.h"

#include <algorithm>
#include <map>
#include <utility>

namespace shunttrail::scheduler {

namespace {
/// Maximum number of machines offered for each tier and zone. Capacity beyond that is offered once
/// these offers have been used.
constexpr std::size_t kMachinesPerGroup = 8;

// Returns true if the machine's free capacity is offered. A machine with waiting or reserved tasks
// is not offered. The capacity that is kept free for urgent work is excluded by room_offers.
bool is_offered(const Machine& machine, const TaskQueues& queues, double now) {
  if (!machine.accepts_work(now) || !machine.in_inventory) return false;
  if (machine.type < 0 || machine.zone < 0) return false;
  return machine.queue.tasks.empty() && !queues.is_reserved(machine);
}
}  // namespace

std::vector<RoomOffer> room_offers(const ShardContext& context, const Machines& machines,
                                   const TaskQueues& queues, double now) {
  std::map<std::pair<int, int>, std::vector<RoomOffer>> groups;  // by tier and zone
  const int band = jobs::Job::kGuaranteed + 1;
  for (const auto& [number, machine] : machines.all()) {
    if (!is_offered(*machine, queues, now)) continue;
    const jobs::Resources room = machines.free_capacity(*machine, band);
    if (room.cpus <= 0 || room.mem <= 0) continue;
    groups[{machine->tier(), machine->zone}].push_back(
        {context.shard, machine->type, machine->zone, machine->spot, room});
  }
  std::vector<RoomOffer> offers;
  for (auto& [group, found] : groups) {
    std::stable_sort(found.begin(), found.end(), [](const RoomOffer& a, const RoomOffer& b) {
      return a.room.cpus > b.room.cpus;
    });
    if (found.size() > kMachinesPerGroup) found.resize(kMachinesPerGroup);
    offers.insert(offers.end(), found.begin(), found.end());
  }
  return offers;
}

}  // namespace shunttrail::scheduler

// The inventory: which shard each machine belongs to. Its pages are shared by all nodes, so every
// write is conditional on its page's revision, and what failed is decided anew from what is there
// then.
#pragma once
#include <map>
#include <string>

#include "controller/components.h"
#include "controller/state_store.h"
#include "scheduler/shard_scheduler.h"
#include "shard/inventory_page.h"

namespace shunttrail::controller {

class Inventory : public actor::Actor {
 public:
  Inventory(actor::Loop& loop, ControllerComponents& parts);
  void tick();
  // Nobody's machine has been found: some shard takes it.
  void adopt_orphan(wire::MachineRecord found);
  // The cloud has answered its deletion.
  void drop(std::string machine);

 private:
  void add_orphan(const wire::MachineRecord& found);
  using Preconditions = std::vector<std::pair<std::string, std::uint64_t>>;
  void write_next();
  void collect_changes();
  bool apply_changes(shard::InventoryPage& here, const std::vector<std::string>& names,
                     Preconditions& owners);
  void append_page(wire::Transaction& t, shard::InventoryPage& here, Preconditions owners,
                   const state::TransactionLimits& size, const std::string& tag);
  void convert(wire::Transaction& t, const state::TransactionLimits& size, const std::string& tag);

  ControllerComponents& components_;
  std::map<std::string, scheduler::InventoryChange> pending_changes_;  // by machine
  bool commit_in_flight_ = false;
  double retry_after_ = 0;
  std::uint64_t tags_ = 0;
};

}  // namespace shunttrail::controller

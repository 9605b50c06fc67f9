// The roster: which shard each machine belongs to. Its pages are shared by all nodes, so every
// write is guarded by its page's stamp, and what failed is decided anew from what is there then.
#pragma once
#include <map>
#include <string>

#include "scheduler/shard_scheduler.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "shard/inventory_page.h"

namespace shunt::front {

class Roster : public actor::Actor {
 public:
  Roster(actor::Loop& loop, Parts& parts);
  void tick();
  // Nobody's machine has been found: some shard takes it.
  void adopt(wire::MachineRecord found);
  // The cloud has answered its deletion.
  void drop(std::string machine);

 private:
  void take_in(const wire::MachineRecord& found);
  using Guards = std::vector<std::pair<std::string, std::uint64_t>>;
  void pump();
  void gather();
  bool carry_out(shard::RosterPage& here, const std::vector<std::string>& names, Guards& owners);
  void add(wire::Txn& t, shard::RosterPage& here, Guards owners, const state::Room& size,
           const std::string& tag);
  void convert(wire::Txn& t, const state::Room& size, const std::string& tag);

  Parts& parts_;
  std::map<std::string, fleet::RosterWish> wishes_;  // by machine
  bool out_ = false;
  double after_ = 0;
  std::uint64_t tags_ = 0;
};

}  // namespace shunt::front

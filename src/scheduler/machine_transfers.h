// Machines that move between shards: which are to go to a shard that lacks some, and the changes of
// the inventory that new and moving machines need. Free of I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// A change of the inventory that the scheduler asks for.
struct InventoryChange {
  enum Kind { add, transfer, drop } kind = add;
  wire::MachineRecord machine;
  /// add: steady time, in seconds.
  double rented_at = 0;
};

/// What a shard has to give to another one.
struct MachineTransfer {
  int to = 0;
  /// In machines of the first type, by vcpus.
  double amount = 0;
  /// By tier: how much of what waits there it takes.
  std::vector<double> usefulness_by_tier;
};

/// Chooses the machines to give to other shards.
class MachineTransfers {
 public:
  /// The change of the inventory has been requested already.
  using IsRequested =
      std::function<bool(const std::string& machine, InventoryChange::Kind, int shard)>;

  MachineTransfers(ShardContext& context, Machines& machines)
      : context_(context), machines_(machines) {}

  /// Marks machines that another shard lacks, to go there once they are empty: so much in all, what
  /// is marked already included. What is marked beyond that stays, unless it is empty already.
  /// Returns the machines that are newly marked.
  [[nodiscard]] std::vector<Machine*> transfer(const MachineTransfer& transfer);
  /// Marked to go, in machines of the first type.
  [[nodiscard]] double transferring() const;
  /// Up or booting, and staying, in machines of the first type.
  [[nodiscard]] double capacity() const;
  /// The shard that the machine is to go to now: it is marked, and nothing is on it or waits for
  /// it. -1: none.
  [[nodiscard]] int transfer_target(const std::string& name) const;
  /// The changes that the inventory needs under the token, except those requested already.
  [[nodiscard]] std::vector<InventoryChange> inventory_changes(
      std::uint64_t token, const IsRequested& is_requested) const;

 private:
  static bool is_ready_to_transfer(const Machine& machine);
  double units(const Machine& machine) const;
  void cancel_transfer(Machine& machine);
  double trim_marked(const MachineTransfer& transfer);
  static bool can_be_transferred(const Machine& machine);

  ShardContext& context_;
  Machines& machines_;
};

}  // namespace shunttrail::scheduler

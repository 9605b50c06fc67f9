// Transfers of machines between shards: selects machines for a shard that lacks them, and lists the
// inventory changes that new and transferred machines need. Performs no I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"
#include "wire/types.h"

namespace shunttrail::scheduler {

/// An inventory change that the scheduler requests.
struct InventoryChange {
  enum Kind { add, transfer, drop } kind = add;
  wire::MachineRecord machine;
  /// For `add`, the steady time in seconds at which the machine was rented.
  double rented_at = 0;
};

/// A transfer of machines from this shard to another one.
struct MachineTransfer {
  int to = 0;
  /// Capacity to transfer, in machines of the first type, measured by vcpus.
  double amount = 0;
  /// By tier, how much of the work waiting in the other shard a machine of that tier can take.
  std::vector<double> usefulness_by_tier;
};

/// Selects the machines to transfer to other shards.
class MachineTransfers {
 public:
  /// Returns true if this inventory change has been requested already.
  using IsRequested =
      std::function<bool(const std::string& machine, InventoryChange::Kind, int shard)>;

  MachineTransfers(ShardContext& context, Machines& machines)
      : context_(context), machines_(machines) {}

  /// Marks machines for transfer to a shard that lacks capacity; each moves there once it is empty.
  /// The amount includes machines that are marked already; marks beyond it are removed, except from
  /// machines that are empty already. Returns the newly marked machines.
  [[nodiscard]] std::vector<Machine*> transfer(const MachineTransfer& transfer);
  /// Returns the capacity marked for transfer, in machines of the first type.
  [[nodiscard]] double transferring() const;
  /// Returns the capacity of the machines that are neither leaving nor draining, in machines of the
  /// first type.
  [[nodiscard]] double capacity() const;
  /// Returns the shard to which the machine can be transferred now: the machine is marked, and
  /// nothing runs on it or waits for it. Returns -1 if there is none.
  [[nodiscard]] int transfer_target(const std::string& name) const;
  /// Returns the changes that the inventory needs under the fencing token, except those requested
  /// already.
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

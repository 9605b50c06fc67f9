/// The inventory, which records the shard of each machine.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "controller/tag_sequence.h"
#include "scheduler/shard_scheduler.h"
#include "shard/inventory_page.h"

namespace shunttrail::controller {

/// Adds machines to the inventory's pages, moves them between shards and removes them. All nodes
/// write the same pages. Every write is therefore conditional on its page's revision, and a change
/// whose write failed is evaluated again against the stored page.
class Inventory : public actor::Actor {
 public:
  Inventory(actor::Loop& loop, ControllerComponents& components);
  /// Commits the next batch of changes, if one is due. Must be called at short, regular intervals.
  void tick();
  /// Adds a machine that has no record to the inventory, under a shard that is chosen here.
  void adopt_orphan(wire::MachineRecord machine);
  /// Removes a machine whose deletion the cloud has confirmed.
  void drop(std::string machine);

 private:
  using Preconditions = std::vector<std::pair<std::string, std::uint64_t>>;
  /// A transaction under construction, within the limits of the state service.
  struct Batch {
    wire::Transaction transaction;
    state::TransactionLimits limits;
    std::string tag;
    [[nodiscard]] bool has_space() const;
  };
  /// Outcome of applying a pending change.
  enum class Outcome {
    applied,   ///< The page in memory has been changed.
    obsolete,  ///< The change is no longer needed.
  };
  void add_orphan(const wire::MachineRecord& machine);
  [[nodiscard]] int shard_for_orphan(const std::string& machine) const;
  [[nodiscard]] std::vector<int> machines_by_shard() const;
  void write_next();
  [[nodiscard]] bool can_write() const;
  void commit(wire::Transaction transaction, state::RequestPriority priority);
  void collect_scheduler_changes();
  [[nodiscard]] bool is_pending(const std::string& machine, scheduler::InventoryChange::Kind kind,
                                int shard) const;
  void append_changes(Batch& batch);
  void append_conversions(Batch& batch);
  bool apply_changes(shard::InventoryPage& page, const std::vector<std::string>& machines,
                     Preconditions& leader_preconditions);
  Outcome apply_change(shard::InventoryPage& page, const scheduler::InventoryChange& change,
                       Preconditions& leader_preconditions);
  Outcome apply_transfer(shard::InventoryPage& page, const std::string& machine,
                         Preconditions& leader_preconditions);
  void append_page(Batch& batch, shard::InventoryPage& page, Preconditions leader_preconditions);

  ControllerComponents& components_;
  std::map<std::string, scheduler::InventoryChange> pending_changes_;  ///< By machine.
  bool is_commit_in_flight_ = false;
  double retry_at_ = 0;
  TagSequence tags_;
};

}  // namespace shunttrail::controller

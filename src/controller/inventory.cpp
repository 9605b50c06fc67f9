#include "controller/inventory.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <set>

#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
using scheduler::InventoryChange;

constexpr char kTagLetter = 'm';
/// Largest number of pages changed by one transaction; the remaining ones are changed by later
/// transactions. With 32 machines a page, 4,000 new machines take 125 pages in 21 transactions.
constexpr std::size_t kMaxPagesPerTransaction = 6;
/// A shard adopts no machine if it has more than this many machines beyond the shard with the
/// fewest.
constexpr int kMaxShardImbalance = 4;
constexpr double kCommitTimeoutS = 3;
/// Step of the retry delay after a failed commit. It is multiplied by the node's index plus one, so
/// that nodes that compete for a page retry at different times.
constexpr double kRetryStepS = 0.1;

// Machines that are rented together have names that end in consecutive numbers. Using the number as
// the key spreads them evenly over the shards.
std::size_t spread_key(const std::string& machine) {
  const auto digits = machine.find_last_not_of("0123456789") + 1;
  if (digits < machine.size()) return std::strtoull(machine.c_str() + digits, nullptr, 10);
  return std::hash<std::string>{}(machine);
}

bool has_precondition(const wire::Transaction& transaction,
                      const std::pair<std::string, std::uint64_t>& precondition) {
  const auto& all = transaction.preconditions;
  return std::find(all.begin(), all.end(), precondition) != all.end();
}
}  // namespace

bool Inventory::Batch::has_space() const {
  return transaction.ops.size() < std::min(kMaxPagesPerTransaction, limits.ops);
}

Inventory::Inventory(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop), components_(components), tags_(components, kTagLetter) {}

void Inventory::tick() {
  post([this] { write_next(); });
}

void Inventory::adopt_orphan(wire::MachineRecord machine) {
  post([this, machine = std::move(machine)] { add_orphan(machine); });
}

void Inventory::drop(std::string machine) {
  post([this, machine = std::move(machine)] {
    InventoryChange change;
    change.kind = InventoryChange::drop;
    change.machine.name = machine;
    pending_changes_.insert_or_assign(machine, std::move(change));
  });
}

// ---- adoption

void Inventory::add_orphan(const wire::MachineRecord& machine) {
  if (pending_changes_.contains(machine.name)) return;
  InventoryChange change;
  change.kind = InventoryChange::add;
  change.machine = machine;
  change.machine.shard = shard_for_orphan(machine.name);
  pending_changes_.emplace(machine.name, std::move(change));
}

// Several nodes may adopt the same machine at the same time when a running fleet is found. The
// choice therefore depends on the machine's name, so that they agree. If the preferred shard has
// many more machines than the smallest one, the smallest one is chosen.
int Inventory::shard_for_orphan(const std::string& machine) const {
  const std::vector<int> counts = machines_by_shard();
  const auto fewest = std::min_element(counts.begin(), counts.end());
  const std::size_t preferred = spread_key(machine) % counts.size();
  if (counts[preferred] > *fewest + kMaxShardImbalance)
    return static_cast<int>(fewest - counts.begin());
  return static_cast<int>(preferred);
}

// Returns the number of machines by shard, including those with a pending addition.
std::vector<int> Inventory::machines_by_shard() const {
  std::vector<int> counts(static_cast<std::size_t>(components_.settings.shards()), 0);
  auto count = [&](int shard) {
    if (shard < components_.settings.shards()) ++counts[static_cast<std::size_t>(shard)];
  };
  for (const auto& [name, machine] : components_.state_store->cache().machines())
    count(machine.shard);
  for (const auto& [name, change] : pending_changes_)
    if (change.kind == InventoryChange::add) count(change.machine.shard);
  return counts;
}

// ---- writing

bool Inventory::can_write() const {
  return components_.state_store->loaded() && !is_commit_in_flight_ && loop_.now() >= retry_at_ &&
         components_.schema->may_serve();
}

void Inventory::write_next() {
  if (!can_write()) return;
  collect_scheduler_changes();
  Batch batch{{}, components_.state_client.limits().present(), tags_.next()};
  append_changes(batch);
  auto priority = state::RequestPriority::work;
  if (batch.transaction.ops.empty() && components_.schema->is_converter()) {
    // Conversion uses only the part of the write rate that nothing else needs.
    priority = state::RequestPriority::sweep;
    append_conversions(batch);
  }
  if (!batch.transaction.ops.empty()) commit(std::move(batch.transaction), priority);
}

void Inventory::commit(wire::Transaction transaction, state::RequestPriority priority) {
  is_commit_in_flight_ = true;
  components_.state_store->commit_or_reread(
      std::move(transaction), priority, kCommitTimeoutS,
      reply<state::CommitResult>([this](const state::CommitResult& result) {
        is_commit_in_flight_ = false;
        // The commit lost a race, or its outcome is unknown. The retry evaluates the changes
        // against the state that has been read since.
        if (result.kind != state::CommitResult::applied)
          retry_at_ = loop_.now() + kRetryStepS * (1 + components_.settings.self);
      }));
}

bool Inventory::is_pending(const std::string& machine, InventoryChange::Kind kind,
                           int shard) const {
  auto pending = pending_changes_.find(machine);
  return pending != pending_changes_.end() && pending->second.kind == kind &&
         pending->second.machine.shard == shard;
}

// Adds the changes that the schedulers of this node's shards request to the pending changes.
void Inventory::collect_scheduler_changes() {
  auto is_known = [this](const std::string& machine, InventoryChange::Kind kind, int shard) {
    return is_pending(machine, kind, shard);
  };
  for (const auto& controller : components_.shard_controllers) {
    if (!controller->scheduler()) continue;
    for (auto& change : controller->scheduler()->inventory_changes(is_known)) {
      const std::string name = change.machine.name;
      if (change.kind == InventoryChange::add)
        change.machine.rented_at = loop_.wall_now() - (loop_.now() - change.rented_at);
      pending_changes_.insert_or_assign(name, std::move(change));
    }
  }
}

void Inventory::append_changes(Batch& batch) {
  std::map<int, std::vector<std::string>> machines_by_page;
  for (const auto& [name, change] : pending_changes_)
    machines_by_page[state::inventory_page(name)].push_back(name);
  for (const auto& [number, machines] : machines_by_page) {
    if (!batch.has_space()) break;
    shard::InventoryPage page(components_.state_store->cache(), number);
    Preconditions leader_preconditions;
    if (apply_changes(page, machines, leader_preconditions))
      append_page(batch, page, std::move(leader_preconditions));
  }
}

// Appends pages that are stored in another form than the active schema version's. Each transaction
// converts a few pages; if it fails, or its node dies, they stay as they were.
void Inventory::append_conversions(Batch& batch) {
  const state::StateCache& cache = components_.state_store->cache();
  std::set<int> bases;  // all parts of a page are converted together
  for (const int part : cache.inventory_to_convert()) {
    if (!batch.has_space()) break;
    const int base = state::page_of_inventory_part(part);
    if (!bases.insert(base).second) continue;
    shard::InventoryPage page(cache, base);
    page.convert();
    append_page(batch, page, {});
  }
}

// Applies the pending changes of these machines, all of one page, and discards the obsolete ones.
// Returns true if the page has changed. Adds to `leader_preconditions` the preconditions on leader
// keys that the page's write needs.
bool Inventory::apply_changes(shard::InventoryPage& page, const std::vector<std::string>& machines,
                              Preconditions& leader_preconditions) {
  bool is_changed = false;
  for (const auto& name : machines) {
    if (apply_change(page, pending_changes_.at(name), leader_preconditions) == Outcome::applied)
      is_changed = true;
    else
      pending_changes_.erase(name);
  }
  return is_changed;
}

Inventory::Outcome Inventory::apply_change(shard::InventoryPage& page,
                                           const InventoryChange& change,
                                           Preconditions& leader_preconditions) {
  const std::string& name = change.machine.name;
  const bool is_recorded = page.find(name) != nullptr;
  switch (change.kind) {
    case InventoryChange::add:
      if (is_recorded) return Outcome::obsolete;  // possibly under another shard
      page.set(change.machine);
      return Outcome::applied;
    case InventoryChange::drop:
      if (!is_recorded) return Outcome::obsolete;
      page.drop(name);
      return Outcome::applied;
    case InventoryChange::transfer:
      return apply_transfer(page, name, leader_preconditions);
  }
  return Outcome::obsolete;
}

// Only the leader of a machine's shard may transfer it, and only while it leads. The shard's
// present scheduler is asked again: the one that requested the transfer may have been closed, and
// its successor may have placed work on the machine.
Inventory::Outcome Inventory::apply_transfer(shard::InventoryPage& page, const std::string& machine,
                                             Preconditions& leader_preconditions) {
  const wire::MachineRecord* recorded = page.find(machine);
  if (!recorded || recorded->shard >= components_.settings.shards()) return Outcome::obsolete;
  const int from = recorded->shard;
  const scheduler::ShardScheduler* source_scheduler =
      components_.shard_controller(from).scheduler();
  const int to = source_scheduler ? source_scheduler->transfer_target(machine) : -1;
  if (to < 0 || to == from) return Outcome::obsolete;
  leader_preconditions.emplace_back(state::leader_key(from), source_scheduler->token());
  wire::MachineRecord transferred_record = *recorded;
  transferred_record.shard = to;
  transferred_record.token = source_scheduler->token();
  page.set(transferred_record);
  return Outcome::applied;
}

// Appends the page's changes to the transaction, if it has space for all of them.
void Inventory::append_page(Batch& batch, shard::InventoryPage& page,
                            Preconditions leader_preconditions) {
  page.fill_rental_times(
      [this](const std::string& machine) { return components_.cloud_manager->rented_at(machine); });
  wire::Transaction changes = page.changes(batch.limits.value_bytes, batch.tag);
  wire::Transaction part{{}, std::move(changes.ops)};
  auto add_precondition = [&](auto& precondition) {
    if (!has_precondition(batch.transaction, precondition) && !has_precondition(part, precondition))
      part.preconditions.push_back(std::move(precondition));
  };
  for (auto& precondition : changes.preconditions) add_precondition(precondition);
  for (auto& precondition : leader_preconditions) add_precondition(precondition);
  // A page that has to be split takes several operations. If it does not fit, a later page still
  // may.
  [[maybe_unused]] const bool is_appended =
      state::append_within(batch.limits, std::move(part), batch.transaction);
}

}  // namespace shunttrail::controller

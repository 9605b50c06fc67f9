#include "controller/inventory.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <set>

#include "controller/cloud_manager.h"
#include "controller/membership.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
// Of one transaction; what is left goes with the next. With 32 machines a page, 4,000 new machines
// take 125 pages in 21 transactions.
constexpr std::size_t kPagesPerTxn = 6;
constexpr int kUneven = 4;  // a shard with so many more machines than another takes no more
}  // namespace

Inventory::Inventory(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop), components_(parts) {}

void Inventory::tick() {
  post([this] { write_next(); });
}
void Inventory::adopt_orphan(wire::MachineRecord found) {
  post([this, found = std::move(found)] { add_orphan(found); });
}
void Inventory::drop(std::string machine) {
  post([this, machine = std::move(machine)] {
    pending_changes_.insert_or_assign(
        machine, scheduler::InventoryChange{
                     scheduler::InventoryChange::drop, {machine, {}, {}, false, 0, 0, 0}, 0});
  });
}

void Inventory::add_orphan(const wire::MachineRecord& found) {
  if (pending_changes_.contains(found.name)) return;
  const int shards = components_.settings.shards();
  std::vector<int> have(static_cast<std::size_t>(shards), 0);
  auto count = [&](int shard) {
    if (shard < shards) ++have[static_cast<std::size_t>(shard)];
  };
  for (const auto& [n, m] : components_.state_store->cache().machines()) count(m.shard);
  for (const auto& [n, w] : pending_changes_)
    if (w.kind == scheduler::InventoryChange::add) count(w.machine.shard);
  // Several nodes adopt at once when a fleet is found running: its names spread it evenly.
  auto least = std::min_element(have.begin(), have.end());
  std::size_t first = std::hash<std::string>{}(found.name) % have.size();
  if (auto digits = found.name.find_last_not_of("0123456789") + 1; digits < found.name.size())
    first = std::strtoull(found.name.c_str() + digits, nullptr, 10) % have.size();
  scheduler::InventoryChange w;
  w.machine = found;
  // A shard that has far fewer comes first.
  w.machine.shard = static_cast<int>(have[first] > *least + kUneven ? least - have.begin()
                                                                    : static_cast<long>(first));
  pending_changes_.emplace(found.name, std::move(w));
}

void Inventory::write_next() {
  if (!components_.state_store->loaded() || commit_in_flight_ || loop_.now() < retry_after_ ||
      !components_.schema->may_serve())
    return;
  collect_changes();
  wire::Transaction t;
  const std::string tag = components_.membership->tag('m', ++tags_);
  const state::TransactionLimits size = components_.state_client.limits().present();
  std::map<int, std::vector<std::string>> pages;
  for (const auto& [name, w] : pending_changes_) pages[state::inventory_page(name)].push_back(name);
  for (const auto& [page, names] : pages) {
    if (t.ops.size() >= std::min(kPagesPerTxn, size.ops)) break;
    shard::InventoryPage here(components_.state_store->cache(), page);
    Preconditions owners;
    if (apply_changes(here, names, owners)) append_page(t, here, std::move(owners), size, tag);
  }
  // Conversion takes what the rate leaves over.
  auto urgency = state::RequestPriority::work;
  if (t.ops.empty() && components_.schema->converts()) {
    urgency = state::RequestPriority::sweep;
    convert(t, size, tag);
  }
  if (t.ops.empty()) return;
  commit_in_flight_ = true;
  components_.state_store->resolve_unknown_commit(
      std::move(t), urgency, 3, reply<state::CommitResult>([this](state::CommitResult c) {
        commit_in_flight_ = false;
        // Lost a race, or not known: what was read since decides anew. Nodes that
        // race for a page come back at different times.
        if (c.kind != state::CommitResult::applied)
          retry_after_ = loop_.now() + 0.1 * (1 + components_.settings.self);
      }));
}

void Inventory::collect_changes() {
  const double now = loop_.now();
  for (auto& r : components_.shard_controllers)
    if (r->scheduler())
      for (auto& w : r->scheduler()->inventory_changes(
               [this](const std::string&name, scheduler::InventoryChange::Kind kind, int shard) {
                 auto known = pending_changes_.find(name);
                 return known != pending_changes_.end() && known->second.kind == kind &&
                        known->second.machine.shard == shard;
               })) {
        const std::string name = w.machine.name;
        if (w.kind == scheduler::InventoryChange::add)
          w.machine.rented_at = loop_.wall_now() - (now - w.rented_at);
        pending_changes_.insert_or_assign(name, std::move(w));
      }
}

// Wishes for one page's machines; what is over by now is forgotten. True if something is left.
bool Inventory::apply_changes(shard::InventoryPage& here, const std::vector<std::string>& names,
                              Preconditions& owners) {
  bool changed = false;
  for (const auto& name : names) {
    const scheduler::InventoryChange& w = pending_changes_.at(name);
    const wire::MachineRecord* m = here.find(name);
    bool over = false;
    switch (w.kind) {
      case scheduler::InventoryChange::add:
        over = m != nullptr;  // here already, perhaps as another's
        if (!over) here.set(w.machine);
        break;
      case scheduler::InventoryChange::drop:
        over = m == nullptr;
        if (!over) here.drop(name);
        break;
      case scheduler::InventoryChange::transfer: {
        // Only its shard's owner gives a machine away, and only while it is the owner. The
        // scheduler is asked now: the one that wished it may be closed, and its successor have work
        // there.
        over = !m || m->shard >= components_.settings.shards();
        if (over) break;
        const scheduler::ShardScheduler* giver = components_.shard_controller(m->shard).scheduler();
        const int to = giver ? giver->transfer_target(name) : -1;
        over = to < 0 || to == m->shard;
        if (over) break;
        owners.emplace_back(state::leader_key(m->shard), giver->token());
        wire::MachineRecord given = *m;
        given.shard = to;
        given.token = giver->token();
        here.set(given);
        break;
      }
    }
    if (over)
      pending_changes_.erase(name);
    else
      changed = true;
  }
  return changed;
}

// Puts a page's changes into the transaction, if there is room for them.
void Inventory::append_page(wire::Transaction& t, shard::InventoryPage& here, Preconditions owners,
                            const state::TransactionLimits& size, const std::string& tag) {
  here.record_ages(
      [this](const std::string& name) { return components_.cloud_manager->rented_at(name); });
  wire::Transaction mine = here.changes(size.value_bytes, tag);
  for (auto& g : owners) mine.preconditions.push_back(std::move(g));
  std::erase_if(mine.preconditions, [&](const auto& g) {
    return std::find(t.preconditions.begin(), t.preconditions.end(), g) != t.preconditions.end();
  });
  // A page that has to be parted takes several changes; another one may have room beside it.
  if (t.ops.size() + mine.ops.size() > size.ops ||
      t.preconditions.size() + mine.preconditions.size() > size.preconditions)
    return;
  for (auto& g : mine.preconditions)
    if (std::find(t.preconditions.begin(), t.preconditions.end(), g) == t.preconditions.end())
      t.preconditions.push_back(std::move(g));
  for (auto& op : mine.ops) t.ops.push_back(std::move(op));
}

// Pages that stand in another form than the active level's. Each transaction brings a few over; one
// that fails, or whose node dies, leaves them as they were.
void Inventory::convert(wire::Transaction& t, const state::TransactionLimits& size,
                        const std::string& tag) {
  const state::StateCache& world = components_.state_store->cache();
  std::set<int> bases;  // parts of a page come over together
  for (int page : world.inventory_to_convert()) {
    if (t.ops.size() >= std::min(kPagesPerTxn, size.ops)) break;
    if (!bases.insert(state::inventory_base(page)).second) continue;
    shard::InventoryPage here(world, state::inventory_base(page));
    here.convert();
    append_page(t, here, {}, size, tag);
  }
}

}  // namespace shunttrail::controller

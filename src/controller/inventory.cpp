#include "controller/inventory.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <set>

#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/membership.h"
#include "controller/shard_controller.h"

namespace shunt::front {
namespace {
constexpr std::size_t kPagesPerTxn = 6;
constexpr int kUneven = 4;  // a shard with so many more machines than another takes no more
}  // namespace

Roster::Roster(actor::Loop& loop, Parts& parts) : Actor(loop), parts_(parts) {}

void Roster::tick() {
  post([this] { pump(); });
}
void Roster::adopt(wire::MachineRecord found) {
  post([this, found = std::move(found)] { take_in(found); });
}
void Roster::drop(std::string machine) {
  post([this, machine = std::move(machine)] {
    wishes_.insert_or_assign(
        machine, fleet::RosterWish{fleet::RosterWish::drop, {machine, {}, {}, false, 0, 0, 0}, 0});
  });
}

void Roster::take_in(const wire::MachineRecord& found) {
  if (wishes_.contains(found.name)) return;
  const int shards = parts_.settings.shards();
  std::vector<int> have(static_cast<std::size_t>(shards), 0);
  auto count = [&](int shard) {
    if (shard < shards) ++have[static_cast<std::size_t>(shard)];
  };
  for (const auto& [n, m] : parts_.store->world().machines()) count(m.shard);
  for (const auto& [n, w] : wishes_)
    if (w.kind == fleet::RosterWish::add) count(w.machine.shard);
  // Several nodes adopt at once when a fleet is found running: its names spread it evenly.
  auto least = std::min_element(have.begin(), have.end());
  std::size_t first = std::hash<std::string>{}(found.name) % have.size();
  if (auto digits = found.name.find_last_not_of("0123456789") + 1; digits < found.name.size())
    first = std::strtoull(found.name.c_str() + digits, nullptr, 10) % have.size();
  fleet::RosterWish w;
  w.machine = found;
  // A shard that has far fewer comes first.
  w.machine.shard = static_cast<int>(have[first] > *least + kUneven ? least - have.begin()
                                                                    : static_cast<long>(first));
  wishes_.emplace(found.name, std::move(w));
}

void Roster::pump() {
  if (!parts_.store->loaded() || out_ || loop_.now() < after_ || !parts_.levels->serves()) return;
  gather();
  wire::Txn t;
  const std::string tag = parts_.membership->tag('m', ++tags_);
  const state::Room size = parts_.state.limits().present();
  std::map<int, std::vector<std::string>> pages;
  for (const auto& [name, w] : wishes_) pages[state::roster_page(name)].push_back(name);
  for (const auto& [page, names] : pages) {
    if (t.ops.size() >= std::min(kPagesPerTxn, size.ops)) break;
    shard::RosterPage here(parts_.store->world(), page);
    Guards owners;
    if (carry_out(here, names, owners)) add(t, here, std::move(owners), size, tag);
  }
  // Conversion takes what the rate leaves over.
  auto urgency = state::Urgency::work;
  if (t.ops.empty() && parts_.levels->converts()) {
    urgency = state::Urgency::sweep;
    convert(t, size, tag);
  }
  if (t.ops.empty()) return;
  out_ = true;
  parts_.store->settle(std::move(t), urgency, 3,
                       reply<state::CommitResult>([this](state::CommitResult c) {
                         out_ = false;
                         // Lost a race, or not known: what was read since decides anew. Nodes that
                         // race for a page come back at different times.
                         if (c.kind != state::CommitResult::applied)
                           after_ = loop_.now() + 0.1 * (1 + parts_.settings.self);
                       }));
}

void Roster::gather() {
  const double now = loop_.now();
  for (auto& r : parts_.runners)
    if (r->desk())
      for (auto& w : r->desk()->roster_wishes(
               [this](const std::string&name, fleet::RosterWish::Kind kind, int shard) {
                 auto known = wishes_.find(name);
                 return known != wishes_.end() && known->second.kind == kind &&
                        known->second.machine.shard == shard;
               })) {
        const std::string name = w.machine.name;
        if (w.kind == fleet::RosterWish::add)
          w.machine.rented_at = loop_.wall_now() - (now - w.rented_at);
        wishes_.insert_or_assign(name, std::move(w));
      }
}

// Wishes for one page's machines; what is over by now is forgotten. True if something is left.
bool Roster::carry_out(shard::RosterPage& here, const std::vector<std::string>& names,
                       Guards& owners) {
  bool changed = false;
  for (const auto& name : names) {
    const fleet::RosterWish& w = wishes_.at(name);
    const wire::MachineRecord* m = here.find(name);
    bool over = false;
    switch (w.kind) {
      case fleet::RosterWish::add:
        over = m != nullptr;  // here already, perhaps as another's
        if (!over) here.set(w.machine);
        break;
      case fleet::RosterWish::drop:
        over = m == nullptr;
        if (!over) here.drop(name);
        break;
      case fleet::RosterWish::give: {
        // Only its shard's owner gives a machine away, and only while it is the owner. The desk is
        // asked now: the one that wished it may be closed, and its successor have work there.
        over = !m || m->shard >= parts_.settings.shards();
        if (over) break;
        const fleet::Desk* giver = parts_.runner(m->shard).desk();
        const int to = giver ? giver->gives(name) : -1;
        over = to < 0 || to == m->shard;
        if (over) break;
        owners.emplace_back(state::owner_key(m->shard), giver->token());
        wire::MachineRecord given = *m;
        given.shard = to;
        given.token = giver->token();
        here.set(given);
        break;
      }
    }
    if (over)
      wishes_.erase(name);
    else
      changed = true;
  }
  return changed;
}

// Puts a page's changes into the transaction, if there is room for them.
void Roster::add(wire::Txn& t, shard::RosterPage& here, Guards owners, const state::Room& size,
                 const std::string& tag) {
  here.know_ages([this](const std::string& name) { return parts_.cloud->rented_at(name); });
  wire::Txn mine = here.changes(size.value_bytes, tag);
  for (auto& g : owners) mine.guards.push_back(std::move(g));
  std::erase_if(mine.guards, [&](const auto& g) {
    return std::find(t.guards.begin(), t.guards.end(), g) != t.guards.end();
  });
  // A page that has to be parted takes several changes; another one may have room beside it.
  if (t.ops.size() + mine.ops.size() > size.ops ||
      t.guards.size() + mine.guards.size() > size.guards)
    return;
  for (auto& g : mine.guards)
    if (std::find(t.guards.begin(), t.guards.end(), g) == t.guards.end())
      t.guards.push_back(std::move(g));
  for (auto& op : mine.ops) t.ops.push_back(std::move(op));
}

// Pages that stand in another form than the active level's. Each transaction brings a few over; one
// that fails, or whose node dies, leaves them as they were.
void Roster::convert(wire::Txn& t, const state::Room& size, const std::string& tag) {
  const state::World& world = parts_.store->world();
  std::set<int> bases;  // parts of a page come over together
  for (int page : world.roster_to_convert()) {
    if (t.ops.size() >= std::min(kPagesPerTxn, size.ops)) break;
    if (!bases.insert(state::roster_base(page)).second) continue;
    shard::RosterPage here(world, state::roster_base(page));
    here.convert();
    add(t, here, {}, size, tag);
  }
}

}  // namespace shunt::front

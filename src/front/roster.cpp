// The roster: which shard each machine belongs to. Its pages are shared by all nodes, so every
// write is guarded by its page's stamp, and what failed is decided anew from what is there then.
#include "shard/roster.h"

#include <spdlog/spdlog.h>

#include "front/controller.h"

namespace shunt::front {
namespace {
constexpr std::size_t kPagesPerTxn = 6;
}  // namespace

void Controller::adopt(const wire::MachineRecord& found) {
  if (roster_wishes_.contains(found.name)) return;
  std::vector<int> have(settings_.shards(), 0);
  for (const auto& [n, m] : world_.machines())
    if (m.shard < settings_.shards()) ++have[m.shard];
  for (const auto& [n, w] : roster_wishes_)
    if (w.kind == fleet::RosterWish::add && w.machine.shard < settings_.shards())
      ++have[w.machine.shard];
  // Several nodes adopt at once when a fleet is found running: its names spread it evenly.
  int least = *std::min_element(have.begin(), have.end());
  int first = static_cast<int>(std::hash<std::string>{}(found.name) % have.size());
  if (auto digits = found.name.find_last_not_of("0123456789") + 1; digits < found.name.size())
    first = static_cast<int>(std::strtoull(found.name.c_str() + digits, nullptr, 10) % have.size());
  fleet::RosterWish w;
  w.machine = found;
  w.machine.shard = first;
  // A shard that has far fewer comes first.
  if (have[first] > least + 4)
    w.machine.shard = static_cast<int>(std::min_element(have.begin(), have.end()) - have.begin());
  roster_wishes_.emplace(found.name, std::move(w));
}

void Controller::roster_pump() {
  double now = loop_.now();
  if (!loaded_ || roster_out_ || now < roster_after_) return;
  for (auto& s : shards_)
    if (s.desk)
      for (auto& w : s.desk->roster_wishes()) {
        const std::string name = w.machine.name;
        roster_wishes_.insert_or_assign(name, std::move(w));
      }
  wire::Txn t;
  std::map<int, std::vector<std::string>> pages;
  for (const auto& [name, w] : roster_wishes_) pages[state::roster_page(name)].push_back(name);
  const std::string tag = next_tag();
  const state::Room size = state_.limits().present();
  for (const auto& [page, names] : pages) {
    if (t.ops.size() >= std::min(kPagesPerTxn, size.ops)) break;
    shard::RosterPage here(world_, page);
    std::vector<std::pair<std::string, std::uint64_t>> owners;
    bool changed = false;
    for (const auto& name : names) {
      const fleet::RosterWish& w = roster_wishes_.at(name);
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
          // Only its shard's owner gives a machine away, and only while it is the owner.
          over = !m || m->shard == w.machine.shard;
          if (over) break;
          auto& giver = shards_[m->shard].desk;
          over = !giver || !giver->has_machine(name);
          if (over) break;
          owners.emplace_back(state::owner_key(m->shard), giver->token());
          wire::MachineRecord given = *m;
          given.shard = w.machine.shard;
          given.token = giver->token();
          here.set(given);
          break;
        }
      }
      if (over)
        roster_wishes_.erase(name);
      else
        changed = true;
    }
    if (!changed) continue;
    wire::Txn mine = here.changes(size.value_bytes, tag);
    for (const auto& g : owners)
      if (std::find(mine.guards.begin(), mine.guards.end(), g) == mine.guards.end())
        mine.guards.push_back(g);
    // A page that has to be parted takes several changes; another one may have room beside it.
    if (t.ops.size() + mine.ops.size() > size.ops ||
        t.guards.size() + mine.guards.size() > size.guards)
      continue;
    for (auto& g : mine.guards)
      if (std::find(t.guards.begin(), t.guards.end(), g) == t.guards.end())
        t.guards.push_back(std::move(g));
    for (auto& op : mine.ops) t.ops.push_back(std::move(op));
  }
  if (t.ops.empty()) return;
  roster_out_ = true;
  state_.commit(t, state::Urgency::work, 3,
                reply<state::CommitResult>([this, t](state::CommitResult c) {
                  if (c.kind == state::CommitResult::applied) {
                    roster_out_ = false;
                    apply_own(t, c.revision);
                    return;
                  }
                  // Lost a race, or not known: read again, and decide anew. Nodes that race for a
                  // page come back at different times.
                  roster_after_ = loop_.now() + 0.1 * (1 + settings_.self);
                  barrier([this](bool) { roster_out_ = false; });
                }));
}

}  // namespace shunt::front

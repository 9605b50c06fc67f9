#include "controller/cloud_manager.h"

#include "controller/membership.h"
#include "controller/inventory.h"

namespace shunt::front {
namespace {
constexpr double kTypesGap = 60;      // prices change
constexpr double kRentGap = 0.4;      // rents are gathered this long
constexpr double kListGap = 6;        // between two reads of the machine list, at least
constexpr double kListShare = 0.2;    // of this node's cloud calls that go into the list
constexpr double kUnknownFor = 20;    // a listed machine without a record is adopted after this
constexpr double kRemovedKept = 600;  // late reports of deleted machines are refused this long
constexpr std::size_t kDeleteMost = 100;
}  // namespace

Cloud::Cloud(actor::Loop& loop, Parts& parts)
    : Actor(loop), parts_(parts), client_(loop, parts.settings) {
  // Whoever deleted it, what has left the roster is gone: a late copy of its last reports must not
  // bring it back.
  parts_.store->listen(reply<Changes>([this](Changes changes) {
    for (const auto& c : *changes)
      if (c.kind == state::Change::machine_gone && !parts_.store->world().machine(c.name))
        removed_[c.name] = loop_.now();
  }));
}

const std::string* Cloud::address(const std::string& machine) const {
  auto a = seen_.find(machine);
  return a == seen_.end() ? nullptr : &a->second.addr;
}
double Cloud::rented_at(const std::string& machine) const {
  auto a = seen_.find(machine);
  return a == seen_.end() ? 0 : a->second.rented_at;
}
void Cloud::met(std::string machine, std::string addr) {
  post(
      [this, machine = std::move(machine), addr = std::move(addr)] { seen_[machine].addr = addr; });
}

void Cloud::tick() {
  post([this] {
    const double now = loop_.now();
    if (catalogue_.empty() || now - types_at_ > kTypesGap) load_types();
    rent_and_return();
    if (now > list_at_ && !list_busy_ && parts_.store->loaded()) list("");
  });
}

void Cloud::load_types() {
  if (types_busy_) return;
  types_busy_ = true;
  client_.types(reply<std::vector<wire::MachineType>>([this](std::vector<wire::MachineType> l) {
    types_busy_ = false;
    if (l.empty()) return;
    types_at_ = loop_.now();
    catalogue_.load(l, parts_.settings);
    parts_.membership->look();
  }));
}

// One deletion at a time, of one shard: what leaves meanwhile goes with the next. Calls are scarcer
// than machines, and a call for every one that leaves would keep hundreds on the bill.
void Cloud::rent_and_return() {
  const double now = loop_.now();
  if (now < rent_at_) return;
  rent_at_ = now + kRentGap;
  std::erase_if(removed_, [&](const auto& r) { return now - r.second > kRemovedKept; });
  // Without a name of its own this process rents nothing: a request's name is never used twice.
  if (!parts_.membership->boot()) return;
  const int shards = parts_.settings.shards();
  int to_return = -1;
  for (int i = 0; i < shards && !deleting_ && to_return < 0; ++i)
    if (int k = (next_to_return_ + i) % shards; parts_.runner(k).desk()) to_return = k;
  if (to_return >= 0) {
    deleting_ = true;
    next_to_return_ = to_return + 1;
  }
  for (int k = 0; k < shards; ++k) {
    const bool returns = k == to_return;
    if (parts_.runner(k).desk())
      parts_.runner(k).wants(returns, reply<Runner::Wants>([this, k, returns](Runner::Wants w) {
                               carry_out(k, std::move(w), returns);
                             }));
  }
}

void Cloud::carry_out(int shard, Runner::Wants w, bool returns) {
  if (returns) {
    if (w.back.empty())
      deleting_ = false;
    else
      give_back(shard, w.born, std::move(w.back));
  }
  for (const auto& r : w.rents) {
    // The name holds the first hold's id, which no other process has, and a counter.
    std::string charter =
        "c-" + std::to_string(parts_.membership->boot()) + "-" + std::to_string(++charters_);
    client_.rent(charter, catalogue_.types[r.tier / 2].spec.name, parts_.settings.zones[r.zone],
                 r.tier % 2, static_cast<int>(r.machines.size()),
                 reply<cloud::RentResult>([this, shard, born = w.born, r](cloud::RentResult got) {
                   Runner& runner = parts_.runner(shard);
                   if (got.kind == cloud::RentResult::rented)
                     runner.rented(born, r, std::move(got.machines));
                   else
                     runner.refused(born, r, got.kind == cloud::RentResult::no_capacity);
                 }));
  }
}

void Cloud::give_back(int shard, std::uint64_t born, std::vector<std::string> back) {
  if (back.size() > kDeleteMost) {
    parts_.runner(shard).deleted(born, {back.begin() + kDeleteMost, back.end()}, false);
    back.resize(kDeleteMost);
  }
  client_.remove(back, reply<bool>([this, shard, born, back](bool ok) {
                   deleting_ = false;
                   // Gone, whoever owns its shard by now.
                   for (const auto& name : back) {
                     if (!ok) continue;
                     removed_[name] = loop_.now();
                     parts_.roster->drop(name);
                   }
                   parts_.runner(shard).deleted(born, back, ok);
                 }));
}

// Every node reads the list for its own machines; the one that owns the first shard also looks
// for machines that nobody knows.
void Cloud::list(std::string after) {
  list_busy_ = true;
  if (after.empty()) list_now_.clear();
  client_.list(after, reply<bool, wire::MachineList>([this](bool ok, wire::MachineList l) {
                 if (!ok) {
                   list_busy_ = false;
                   list_at_ = loop_.now() + kListGap;
                   return;
                 }
                 for (const auto& m : l.machines) listed(m);
                 if (l.more && !l.machines.empty()) return list(l.machines.back().name);
                 list_over();
               }));
}

void Cloud::listed(const wire::ListedMachine& m) {
  const double now = loop_.now();
  list_now_.insert(m.name);
  seen_listed_.insert(m.name);
  seen_[m.name] = {m.addr, loop_.wall_now() - m.age_s};
  if (const auto* known = parts_.store->world().machine(m.name)) {
    unknown_since_.erase(m.name);
    int k = known->shard;
    if (k >= parts_.settings.shards() || !parts_.runner(k).desk()) return;
    parts_.runner(k).address(m.name, m.addr);
    if (m.state == "failed") parts_.runner(k).failed(m.name, false);
    return;
  }
  if (!parts_.runner(0).desk() || removed_.contains(m.name)) return;
  double since = unknown_since_.try_emplace(m.name, now).first->second;
  if (now - since > kUnknownFor) parts_.roster->adopt({m.name, m.type, m.zone, m.spot, 0, 0, 0});
}

// Once listed, a machine stays listed until it is gone; but lists come out of order, so it takes
// two without it.
void Cloud::list_over() {
  for (auto it = seen_listed_.begin(); it != seen_listed_.end();) {
    if (list_now_.contains(*it)) {
      missing_.erase(*it);
      ++it;
      continue;
    }
    if (++missing_[*it] < 2) {
      ++it;
      continue;
    }
    for (auto& r : parts_.runners) r->failed(*it, true);
    missing_.erase(*it);
    unknown_since_.erase(*it);
    seen_.erase(*it);
    it = seen_listed_.erase(it);
  }
  list_busy_ = false;
  double pages = 1 + static_cast<double>(list_now_.size()) / 500;
  double share = parts_.settings.cloud_rps / parts_.settings.shards() * kListShare;
  list_at_ = loop_.now() + std::max(kListGap, pages / share);
}

}  // namespace shunt::front

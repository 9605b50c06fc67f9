#include "controller/cloud_manager.h"

#include "controller/inventory.h"
#include "controller/membership.h"

namespace shunttrail::controller {
namespace {
constexpr double kTypesGap = 60;      // prices change
constexpr double kRentGap = 0.4;      // rents are gathered this long
constexpr double kListGap = 6;        // between two reads of the machine list, at least
constexpr double kListShare = 0.2;    // of this node's cloud calls that go into the list
constexpr double kUnknownFor = 20;    // a listed machine without a record is adopted after this
constexpr double kRemovedKept = 600;  // late reports of deleted machines are refused this long
// Machines a deletion; the rest goes with the next. 4,000 that leave at once take 40 calls.
constexpr std::size_t kDeleteMost = 100;
}  // namespace

CloudManager::CloudManager(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop), components_(parts), client_(loop, parts.settings) {
  // Whoever deleted it, what has left the inventory is gone: a late copy of its last reports must
  // not bring it back.
  components_.state_store->listen(reply<Changes>([this](Changes changes) {
    for (const auto& c : *changes)
      if (c.kind == state::Change::machine_gone &&
          !components_.state_store->cache().machine(c.name))
        removed_[c.name] = loop_.now();
  }));
}

const std::string* CloudManager::address(const std::string& machine) const {
  auto a = seen_.find(machine);
  return a == seen_.end() ? nullptr : &a->second.addr;
}
double CloudManager::rented_at(const std::string& machine) const {
  auto a = seen_.find(machine);
  return a == seen_.end() ? 0 : a->second.rented_at;
}
void CloudManager::unknown_machine_reported(std::string machine, std::string addr) {
  post(
      [this, machine = std::move(machine), addr = std::move(addr)] { seen_[machine].addr = addr; });
}

void CloudManager::tick() {
  post([this] {
    const double now = loop_.now();
    if (catalogue_.empty() || now - types_at_ > kTypesGap) load_types();
    rent_and_return();
    if (now > list_at_ && !list_busy_ && components_.state_store->loaded()) list("");
  });
}

void CloudManager::load_types() {
  if (types_busy_) return;
  types_busy_ = true;
  client_.types(reply<std::vector<wire::MachineType>>([this](std::vector<wire::MachineType> l) {
    types_busy_ = false;
    if (l.empty()) return;
    types_at_ = loop_.now();
    catalogue_.load(l, components_.settings);
    components_.membership->reconsider();
  }));
}

// One deletion at a time, of one shard: what leaves meanwhile goes with the next. Calls are scarcer
// than machines, and a call for every one that leaves would keep hundreds on the bill.
void CloudManager::rent_and_return() {
  const double now = loop_.now();
  if (now < rent_at_) return;
  rent_at_ = now + kRentGap;
  std::erase_if(removed_, [&](const auto& r) { return now - r.second > kRemovedKept; });
  // Without a name of its own this process rents nothing: a request's name is never used twice.
  if (!components_.membership->process_id()) return;
  const int shards = components_.settings.shards();
  int to_return = -1;
  for (int i = 0; i < shards && !deleting_ && to_return < 0; ++i)
    if (int k = (next_to_return_ + i) % shards; components_.shard_controller(k).scheduler())
      to_return = k;
  if (to_return >= 0) {
    deleting_ = true;
    next_to_return_ = to_return + 1;
  }
  for (int k = 0; k < shards; ++k) {
    const bool returns = k == to_return;
    if (components_.shard_controller(k).scheduler())
      components_.shard_controller(k).cloud_requests(
          returns, reply<ShardController::CloudRequests>(
                       [this, k, returns](ShardController::CloudRequests w) {
                         execute(k, std::move(w), returns);
                       }));
  }
}

void CloudManager::execute(int shard, ShardController::CloudRequests w, bool returns) {
  if (returns) {
    if (w.machines_to_return.empty())
      deleting_ = false;
    else
      return_machines(shard, w.opened_under, std::move(w.machines_to_return));
  }
  for (const auto& r : w.scale_out) {
    // The name holds the first hold's id, which no other process has, and a counter.
    std::string charter = "c-" + std::to_string(components_.membership->process_id()) + "-" +
                          std::to_string(++charters_);
    client_.rent(
        charter, catalogue_.types[r.tier / 2].spec.name, components_.settings.zones[r.zone],
        r.tier % 2, static_cast<int>(r.machines.size()),
        reply<cloud::RentResult>([this, shard, born = w.opened_under, r](cloud::RentResult got) {
          ShardController& runner = components_.shard_controller(shard);
          if (got.kind == cloud::RentResult::rented)
            runner.rented(born, r, std::move(got.machines));
          else
            runner.rent_refused(born, r, got.kind == cloud::RentResult::no_capacity);
        }));
  }
}

void CloudManager::return_machines(int shard, std::uint64_t born, std::vector<std::string> back) {
  if (back.size() > kDeleteMost) {
    components_.shard_controller(shard).deleted(born, {back.begin() + kDeleteMost, back.end()},
                                                false);
    back.resize(kDeleteMost);
  }
  client_.remove(back, reply<bool>([this, shard, born, back](bool ok) {
                   deleting_ = false;
                   // Gone, whoever owns its shard by now.
                   for (const auto& name : back) {
                     if (!ok) continue;
                     removed_[name] = loop_.now();
                     components_.inventory->drop(name);
                   }
                   components_.shard_controller(shard).deleted(born, back, ok);
                 }));
}

// Every node reads the list for its own machines; the one that owns the first shard also looks
// for machines that nobody knows.
void CloudManager::list(std::string after) {
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

void CloudManager::listed(const wire::ListedMachine& m) {
  const double now = loop_.now();
  list_now_.insert(m.name);
  seen_listed_.insert(m.name);
  seen_[m.name] = {m.addr, loop_.wall_now() - m.age_s};
  if (const auto* known = components_.state_store->cache().machine(m.name)) {
    unknown_since_.erase(m.name);
    int k = known->shard;
    if (k >= components_.settings.shards() || !components_.shard_controller(k).scheduler()) return;
    components_.shard_controller(k).set_machine_address(m.name, m.addr);
    if (m.state == "failed") components_.shard_controller(k).machine_failed(m.name, false);
    return;
  }
  if (!components_.shard_controller(0).scheduler() || removed_.contains(m.name)) return;
  double since = unknown_since_.try_emplace(m.name, now).first->second;
  if (now - since > kUnknownFor)
    components_.inventory->adopt_orphan({m.name, m.type, m.zone, m.spot, 0, 0, 0});
}

// Once listed, a machine stays listed until it is gone; but lists come out of order, so it takes
// two without it.
void CloudManager::list_over() {
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
    for (auto& r : components_.shard_controllers) r->machine_failed(*it, true);
    missing_.erase(*it);
    unknown_since_.erase(*it);
    seen_.erase(*it);
    it = seen_listed_.erase(it);
  }
  list_busy_ = false;
  double pages = 1 + static_cast<double>(list_now_.size()) / 500;
  double share = components_.settings.cloud_rps / components_.settings.shards() * kListShare;
  list_at_ = loop_.now() + std::max(kListGap, pages / share);
}

}  // namespace shunttrail::controller

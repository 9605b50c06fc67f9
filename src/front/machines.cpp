// What the cloud is asked for: types, rents, returns, and the list.
#include <spdlog/spdlog.h>

#include "front/controller.h"

namespace shunt::front {
namespace {
constexpr double kRentGap = 0.4;      // rents are gathered this long
constexpr double kListGap = 6;        // between two reads of the machine list, at least
constexpr double kListShare = 0.2;    // of this node's cloud calls that go into the list
constexpr double kUnknownFor = 20;    // a listed machine without a record is adopted after this
constexpr double kRemovedKept = 120;  // late reports of deleted machines are refused this long
}  // namespace

void Controller::load_types() {
  if (types_busy_) return;
  types_busy_ = true;
  cloud_.types(reply<std::vector<wire::MachineType>>([this](std::vector<wire::MachineType> l) {
    types_busy_ = false;
    if (l.empty()) return;
    types_at_ = loop_.now();
    catalogue_.load(l, settings_);
    shards();
  }));
}

void Controller::rent_and_return() {
  double now = loop_.now();
  if (now < rent_at_) return;
  rent_at_ = now + kRentGap;
  std::erase_if(removed_, [&](const auto& r) { return now - r.second > kRemovedKept; });
  for (int k = 0; k < settings_.shards(); ++k) {
    Shard& s = shards_[k];
    if (!s.desk) continue;
    std::uint64_t born = s.desk->born();
    // One deletion at a time: what leaves meanwhile goes with the next. Calls are scarcer than
    // machines, and a call for every one that leaves would keep hundreds on the bill.
    std::vector<std::string> back;
    if (!deleting_) back = s.desk->returns();
    if (back.size() > 100) {
      for (std::size_t i = 100; i < back.size(); ++i) s.desk->return_failed(back[i]);
      back.resize(100);
    }
    if (!back.empty()) {
      deleting_ = true;
      cloud_.remove(
          back, reply<bool>([this, k, born, back](bool ok) {
            deleting_ = false;
            Shard& me = shards_[k];
            bool here = me.desk && me.desk->born() == born;
            for (const auto& name : back) {
              if (!ok) {
                if (here) me.desk->return_failed(name);
                continue;
              }
              // Gone, whoever owns its shard by now.
              removed_[name] = loop_.now();
              roster_wishes_.insert_or_assign(
                  name, fleet::RosterWish{fleet::RosterWish::drop, {name, {}, {}, false, 0, 0}});
              workers_.erase(name);
              if (auto h = me.held.find(name); h != me.held.end()) me.held.erase(h);
              if (here) me.desk->machine_gone(name, loop_.now());
            }
            stir();
          }));
    }
    if (!boot_) continue;
    for (const auto& w : s.desk->rent_wishes(now)) {
      // The name holds the first hold's id, which no other process has, and a counter.
      std::string charter = "c-" + std::to_string(boot_) + "-" + std::to_string(++charters_);
      cloud_.rent(charter, catalogue_.types[w.tier / 2].spec.name, settings_.zones[w.zone],
                  w.tier % 2, static_cast<int>(w.machines.size()),
                  reply<cloud::RentResult>([this, k, born, w](cloud::RentResult r) {
                    Shard& me = shards_[k];
                    // Machines rented for a desk that is closed report, and are adopted.
                    if (!me.desk || me.desk->born() != born) return;
                    if (r.kind == cloud::RentResult::rented)
                      me.desk->rented(w, r.machines, loop_.now());
                    else
                      me.desk->refused(w, 0, r.kind == cloud::RentResult::no_capacity, loop_.now());
                    stir();
                  }));
    }
  }
}

// Every node reads the list for its own machines; the one that owns the first shard also looks
// for machines that nobody knows.
void Controller::list_machines(std::string after) {
  list_busy_ = true;
  if (after.empty()) list_now_.clear();
  cloud_.list(after, reply<bool, wire::MachineList>([this](bool ok, wire::MachineList l) {
                double now = loop_.now();
                if (!ok) {
                  list_busy_ = false;
                  list_at_ = now + kListGap;
                  return;
                }
                for (const auto& m : l.machines) {
                  list_now_.insert(m.name);
                  seen_listed_.insert(m.name);
                  addrs_[m.name] = m.addr;
                  const auto* known = world_.machine(m.name);
                  if (known) {
                    unknown_since_.erase(m.name);
                    int k = known->shard;
                    if (k >= settings_.shards() || !shards_[k].desk) continue;
                    shards_[k].desk->machine_addr(m.name, m.addr);
                    if (m.state == "failed") shards_[k].desk->machine_failed(m.name, false, now);
                    continue;
                  }
                  if (!shards_[0].desk || removed_.contains(m.name)) continue;
                  double since = unknown_since_.try_emplace(m.name, now).first->second;
                  if (now - since > kUnknownFor) adopt({m.name, m.type, m.zone, m.spot, 0, 0});
                }
                if (l.more && !l.machines.empty()) return list_machines(l.machines.back().name);
                // Once listed, a machine stays listed until it is gone; but lists come out of
                // order, so it takes two without it.
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
                  for (auto& s : shards_)
                    if (s.desk) s.desk->machine_failed(*it, true, now);
                  missing_.erase(*it);
                  unknown_since_.erase(*it);
                  addrs_.erase(*it);
                  it = seen_listed_.erase(it);
                }
                list_busy_ = false;
                double pages = 1 + static_cast<double>(list_now_.size()) / 500;
                double share = settings_.cloud_rps / settings_.shards() * kListShare;
                list_at_ = now + std::max(kListGap, pages / share);
              }));
}

}  // namespace shunt::front

// Machines coming and going: silence, idleness, rents, returns, moves to other shards.
#include <algorithm>
#include <cmath>

#include "fleet/desk.h"

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;

namespace {
constexpr double kRefusedFor = 15;  // before asking again where the cloud had none
}  // namespace

void Desk::tick(double now) {
  const double quiet = settings_.lease_s + 2 * settings_.report_s;
  bool hear = now - last_heard_ < 2 * settings_.report_s;
  std::vector<int> withdrawn;
  for (auto& [n, m] : machines_) {
    if (m->state == Machine::ordered) {
      if (m->waiting.empty() && !m->posted) withdrawn.push_back(n);
      continue;
    }
    if (m->type < 0) continue;
    double boot = catalogue_.types[m->type].spec.boot_s;
    if (m->state == Machine::booting && m->placements.empty()) {
      if (now - m->rented_at > std::max(60.0, 4 * boot) && !m->leaving) {
        m->leaving = true;
        ++count_.replaced;
        empty_list(*m);
      }
      continue;
    }
    double since = std::max(m->last_report, taken_at_);
    if (now - since > quiet) {
      // Silent past its lease. Its tasks are over once no answer of ours, and none of an earlier
      // owner's, can have kept its lease alive.
      double proof = std::max(m->last_answer + settings_.lease_s + 2,
                              m->token_seen ? 0.0 : taken_at_ + settings_.fence_s());
      if (now > proof) {
        for (Placement& p : m->placements) {
          if (p.phase == Phase::committing) continue;
          if (!p.released) ++count_.lost;
          release(*m, p, now, true);
        }
        std::erase_if(m->placements,
                      [](const Placement& p) { return p.phase != Phase::committing; });
      }
      // If others are heard, this one is lost, not we. It is given back.
      if ((hear || now - since > 3 * quiet) && !m->lost) {
        m->leaving = m->lost = true;
        ++count_.replaced;
      }
      empty_list(*m);
    } else if (m->draining && !m->lost && hear && now - since > 2 * settings_.report_s) {
      // It was about to be taken and has gone silent. Deleting it proves its tasks gone.
      m->leaving = m->lost = true;
    }
    if (m->leaving && !m->waiting.empty()) empty_list(*m);
    note_idle(*m, now);
    if (m->was_idle && !m->leaving) {
      auto k = idle_.try_emplace(m->tier(), tuning_.idle_start_s, tuning_.lambda, tuning_.idle_cap);
      if (now - m->idle_since > k.first->second.seconds(boot)) {
        m->leaving = true;
        last_returned_[m->tier()] = m->idle_since;
        ++count_.returns;
      }
    }
  }
  for (int n : withdrawn) remove_machine(n, now);
  bool rentable = false;
  for (int tier : catalogue_.tier_order)
    for (std::size_t z = 0; z < settings_.zones.size(); ++z) {
      auto r = refused_until_.find({tier, static_cast<int>(z)});
      rentable |=
          catalogue_.types[tier / 2].in_zone[z] && (r == refused_until_.end() || r->second <= now);
    }
  if (!rentable) starved_at_ = now;
}

std::uint32_t Desk::wanted(double now) const {
  if (now - starved_at_ > kRefusedFor || catalogue_.empty()) return 0;
  std::vector<std::int64_t> pending(settings_.teams.size(), 0);
  for (const auto& [id, j] : jobs_)
    if (j->not_before <= now)
      pending[j->team] += j->need.cpus * static_cast<std::int64_t>(j->pending.size());
  std::int64_t lack = 0;
  for (std::size_t t = 0; t < pending.size(); ++t) {
    std::int64_t limit = Amount::of(settings_.teams[t].cpus_max, 0, 0).cpus;
    std::int64_t left = limit - team_used_[t].cpus - team_waiting_[t].cpus;
    lack += std::clamp<std::int64_t>(pending[t], 0, std::max<std::int64_t>(0, left));
    lack += team_waiting_[t].cpus;
  }
  for (const auto& [n, m] : machines_)
    if (m->state != Machine::up && m->type >= 0) lack -= catalogue_.types[m->type].room.cpus;
  std::int64_t one = std::max<std::int64_t>(1, catalogue_.types[0].room.cpus);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, (lack + one / 2) / one));
}

void Desk::give(int to, std::uint32_t machines) {
  std::int64_t free = 0;
  std::uint32_t going = 0;
  Machine* emptiest = nullptr;
  for (auto& [n, m] : machines_) {
    if (m->giving >= 0) ++going;
    // Work of our own that waits comes first.
    if (!m->waiting.empty()) return;
    if (m->state != Machine::up || m->leaving || m->draining || m->type < 0) continue;
    free += room(*m).cpus;
    if (!emptiest || m->used.cpus < emptiest->used.cpus) emptiest = m.get();
  }
  auto send = [&](Machine& m) {
    m.leaving = true;
    m.giving = to;
    ++going;
  };
  for (auto& [n, m] : machines_)
    if (going < machines && m->was_idle && !m->leaving) send(*m);
  if (going == 0 && emptiest && !emptiest->leaving &&
      free >= 2 * catalogue_.types[emptiest->type].room.cpus)
    send(*emptiest);
}

std::vector<RentWish> Desk::rent_wishes(double now) {
  std::map<std::pair<int, int>, RentWish> groups;
  for (auto& [n, m] : machines_) {
    if (m->state != Machine::ordered || m->posted) continue;
    // A later order where the cloud has just said that it has none goes back to the chain.
    auto r = refused_until_.find({m->tier(), m->zone});
    if (r != refused_until_.end() && r->second > now) {
      empty_list(*m);
      continue;
    }
    // One rent a tier and zone at a time: what is wanted meanwhile goes into the next one, since
    // calls are scarcer than machines.
    if (asking_.contains({m->tier(), m->zone})) continue;
    RentWish& w = groups[{m->tier(), m->zone}];
    if (w.machines.size() >= 50) continue;
    w.tier = m->tier();
    w.zone = m->zone;
    w.machines.push_back(n);
  }
  std::vector<RentWish> out;
  for (auto& [key, w] : groups) {
    for (int n : w.machines) at(n)->posted = true;
    asking_.insert(key);
    out.push_back(std::move(w));
  }
  return out;
}

void Desk::rented(const RentWish& w, const std::vector<std::string>& names, double now) {
  asking_.erase({w.tier, w.zone});
  std::size_t i = 0;
  for (; i < names.size(); ++i) {
    Machine* m = i < w.machines.size() ? at(w.machines[i]) : nullptr;
    if (by_name_.contains(names[i])) {
      // It reported, and was adopted, before the answer came.
      if (m) remove_machine(m->number, now);
      continue;
    }
    if (!m) {
      m = &add_machine();
      m->type = w.tier / 2;
      m->spot = w.tier % 2;
      m->zone = w.zone;
    }
    m->name = names[i];
    m->state = Machine::booting;
    m->rented_at = m->last_report = m->last_answer = now;
    by_name_[m->name] = m->number;
    ++count_.rents;
  }
  if (i < w.machines.size()) refused(w, i, true, now);
  stirred_ = true;
}

void Desk::refused(const RentWish& w, std::size_t from, bool no_capacity, double now) {
  asking_.erase({w.tier, w.zone});
  if (no_capacity) refused_until_[{w.tier, w.zone}] = now + kRefusedFor;
  for (std::size_t i = from; i < w.machines.size(); ++i) {
    ++count_.refused;
    remove_machine(w.machines[i], now);
  }
  stirred_ = true;
}

std::vector<std::string> Desk::returns() {
  std::vector<std::string> out;
  for (auto& [n, m] : machines_) {
    if (!m->leaving || m->returning || m->name.empty() || (m->giving >= 0 && !m->lost)) continue;
    // Tasks of a machine that answers are let finish; a lost machine's are not waited for.
    bool running = false;
    for (const Placement& p : m->placements) running |= !p.reaping;
    if (running && !m->lost) continue;
    m->returning = true;
    out.push_back(m->name);
  }
  return out;
}
void Desk::return_failed(const std::string& name) {
  if (Machine* m = find(name)) m->returning = false;
}
void Desk::machine_failed(const std::string& name, bool unlisted, double now) {
  Machine* m = find(name);
  if (!m || m->lost) return;
  // Lists lag: a machine that is missing from one is lost only if it is silent as well.
  if (unlisted && (m->state != Machine::up || now - m->last_report < 2 * settings_.report_s))
    return;
  m->leaving = m->lost = true;
  ++count_.replaced;
  empty_list(*m);
}

}  // namespace shunt::fleet

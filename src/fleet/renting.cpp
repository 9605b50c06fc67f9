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
    if (m->greet) note_due(*m);
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
}

shard::Load Desk::load(double now) const {
  shard::Load out;
  if (catalogue_.empty()) return out;
  const Amount one = catalogue_.types[0].room;
  auto share = [&](const Amount& a) {
    double s = one.cpus > 0 ? static_cast<double>(a.cpus) / static_cast<double>(one.cpus) : 0;
    return one.mem > 0 ? std::max(s, static_cast<double>(a.mem) / static_cast<double>(one.mem)) : s;
  };
  for (const auto& [n, m] : machines_)
    if (m->type >= 0 && !m->leaving && !m->draining)
      out.capacity += share({catalogue_.types[m->type].room.cpus, 0, 0});
  std::vector<double> machines(settings_.teams.size(), 0), cpus(settings_.teams.size(), 0);
  for (const auto& [id, j] : jobs_) {
    if (j->not_before > now && !j->placed) continue;
    double left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
    machines[j->team] += left * share(j->need);
    cpus[j->team] += left * j->spec.cpus;
  }
  for (std::size_t t = 0; t < machines.size(); ++t) {
    if (cpus[t] <= 0) continue;
    const auto& team = settings_.teams[t];
    out.demand += machines[t] * std::min(1.0, team.cpus_max / cpus[t]);
    out.entitled += machines[t] * std::min(1.0, team.cpus / cpus[t]);
  }
  return out;
}

// Machines go to a shard whose work lacks them: idle ones at once, then the emptiest ones as soon
// as their tasks are over. Work spread thinly over a surplus would leave hardly any machine idle.
void Desk::give(int to, int machines) {
  for (const auto& [n, m] : machines_) machines -= m->giving >= 0;
  auto send = [&](Machine& m) {
    empty_list(m);
    m.leaving = true;
    m.giving = to;
    --machines;
  };
  std::vector<Machine*> busy;
  for (auto& [n, m] : machines_) {
    if (m->state != Machine::up || !m->rostered || m->leaving || m->draining || m->type < 0)
      continue;
    if (m->was_idle) {
      if (machines > 0) send(*m);
    } else {
      busy.push_back(m.get());
    }
  }
  if (machines <= 0) return;
  std::stable_sort(busy.begin(), busy.end(),
                   [](const Machine* a, const Machine* b) { return a->used.cpus < b->used.cpus; });
  for (Machine* m : busy) {
    if (machines <= 0) break;
    send(*m);
  }
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

// Waiting and walking: how tasks enter the chain, wait on machines' lists, and are planned.
#include <algorithm>
#include <cmath>

#include "fleet/desk.h"

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;
using wire::RunState;

namespace {
constexpr double kLittleWork = 8;  // what cannot save is stopped only before it has done more
constexpr std::size_t kWalksPerTurn = 400;
}  // namespace

int Desk::pick_zone(const Job& j, int tier, double now) const {
  const auto& type = catalogue_.types[tier / 2];
  std::vector<int> have(settings_.zones.size(), 0);
  for (const auto& [n, m] : machines_)
    if (m->zone >= 0) ++have[m->zone];
  int best = -1;
  for (std::size_t z = 0; z < settings_.zones.size(); ++z) {
    int zone = static_cast<int>(z);
    if (!type.in_zone[z] || !j.zone_ok(zone)) continue;
    if (j.spec.zone && settings_.zone_index(*j.spec.zone) != zone) continue;
    auto r = refused_until_.find({tier, zone});
    if (r != refused_until_.end() && r->second > now) continue;
    if (best < 0 || have[z] < have[best]) best = zone;
  }
  return best;
}

void Desk::join(Machine& m, Item item) {
  team_waiting_[item.job->team] += item.job->need;
  m.waiting.insert(std::upper_bound(m.waiting.begin(), m.waiting.end(), item, Item::before),
                   std::move(item));
  note_idle(m, 0);
}

// While some machine of the chain has room for the task, it neither waits nor rents (the strategy
// space is bounded, paper 3.3): arms that only lead there are barred, the others stay learned.
void Desk::bound(std::vector<chain::Tier>& tiers) {
  auto has_room = [](const chain::Seat& s) { return s.may_accept && s.context.waiting == 0; };
  auto any = [&](const chain::Tier& t) {
    return std::any_of(t.seats.begin(), t.seats.end(), has_room);
  };
  if (std::none_of(tiers.begin(), tiers.end(), any)) return;
  std::erase_if(tiers, [&](const chain::Tier& t) { return !any(t); });
  for (chain::Tier& t : tiers) {
    t.end = {};
    std::erase_if(t.seats, [&](const chain::Seat& s) { return !has_room(s); });
  }
}

bool Desk::enter(Item item, double now) {
  const Job& j = *item.job;
  std::vector<chain::Tier> tiers;
  for (int id : catalogue_.tier_order) {
    if (!type_ok(j, id / 2, id % 2)) continue;
    chain::Tier t;
    t.id = id;
    const Amount full = catalogue_.types[id / 2].room;
    // The machines of a tier share what they have learned: a machine lives for minutes, and left
    // to itself would spend them trying each arm in each context.
    auto& experience = experience_[id];
    if (!experience) experience = std::make_shared<chain::Bandit>(tuning_.ring);
    double share = 0;
    if (full.cpus > 0) share = static_cast<double>(j.need.cpus) / static_cast<double>(full.cpus);
    if (full.mem > 0)
      share = std::max(share, static_cast<double>(j.need.mem) / static_cast<double>(full.mem));
    for (auto& [n, m] : machines_) {
      if (m->tier() != id || !usable(*m, j, now)) continue;
      if (m->state == Machine::up) {
        bool has_room = j.need.fits(room(*m));
        chain::Seat s;
        s.machine = n;
        s.learner = experience;
        s.context.cls = static_cast<std::uint16_t>(j.cls);
        s.context.size = chain::size_bucket(share);
        // Accept is split by priority (paper 3.1, query scheduling): a task joins the list of its
        // job's priority, and only what is ahead of it there counts.
        auto ahead = static_cast<std::size_t>(
            std::count_if(m->waiting.begin(), m->waiting.end(),
                          [&](const Item& w) { return w.job->spec.priority <= j.spec.priority; }));
        s.context.waiting = chain::waiting_bucket(has_room, ahead);
        s.context.warm = warm(*m, j.spec.image);
        s.may_accept = static_cast<int>(ahead) <= tuning_.waiting_bar;
        s.empty = m->placements.empty() && m->waiting.empty();
        t.seats.push_back(std::move(s));
      } else if (t.end.kind == chain::TierEnd::none) {
        // A pending rent takes what fits its whole room.
        Amount taken = m->used;
        for (const Item& i : m->waiting) taken += i.job->need;
        if (j.need.fits(full - taken)) t.end = {chain::TierEnd::join, n};
      }
    }
    if (t.end.kind == chain::TierEnd::none && pick_zone(j, id, now) >= 0)
      t.end = {chain::TierEnd::rent, 0};
    if (!t.seats.empty() || t.end.kind != chain::TierEnd::none) tiers.push_back(std::move(t));
  }
  bound(tiers);
  chain::Outcome o = chain::walk(tiers, rng_);
  item.trail = std::move(o.trail);
  switch (o.kind) {
    case chain::Outcome::stalled:
      return false;
    case chain::Outcome::rented: {
      Machine& m = add_machine();
      m.type = o.tier / 2;
      m.spot = o.tier % 2;
      m.zone = pick_zone(j, o.tier, now);
      m.rented_at = now;
      item.rented = true;
      join(m, std::move(item));
      double boot = catalogue_.types[m.type].spec.boot_s;
      auto last = last_returned_.find(o.tier);
      if (last != last_returned_.end()) {
        auto k = idle_.try_emplace(o.tier, tuning_.idle_start_s, tuning_.lambda, tuning_.idle_cap);
        k.first->second.missed(now - last->second, boot);
        last_returned_.erase(last);
      }
      return true;
    }
    default: {
      Machine& m = *at(o.machine);
      if (m.was_idle) {
        auto k =
            idle_.try_emplace(m.tier(), tuning_.idle_start_s, tuning_.lambda, tuning_.idle_cap);
        k.first->second.reused(now - m.idle_since, catalogue_.types[m.type].spec.boot_s);
      }
      join(m, std::move(item));
      if (m.state == Machine::up) plan(m, now);
      preempt(m, now);
      return true;
    }
  }
}

// New and returning tasks enter the chain: the more urgent job first, then the older one.
void Desk::admit(double now) {
  std::vector<JobPtr> order;
  for (auto& [id, j] : jobs_)
    if (!j->pending.empty() && j->not_before <= now) order.push_back(j);
  std::sort(order.begin(), order.end(), [](const JobPtr& a, const JobPtr& b) {
    if (a->spec.priority != b->spec.priority) return a->spec.priority < b->spec.priority;
    return a->since < b->since;
  });
  std::size_t walks = 0;
  for (const JobPtr& j : order) {
    while (!j->pending.empty() && walks < kWalksPerTurn) {
      // A team at its limit gets no Accept and no rent.
      if (!quota_ok(*j, true)) break;
      ++walks;
      std::uint32_t task = *j->pending.begin();
      j->pending.erase(j->pending.begin());
      Item i;
      i.job = j;
      i.task = task;
      i.since = now;
      i.order = next_order_++;
      if (!enter(std::move(i), now)) {
        j->pending.insert(task);
        break;
      }
    }
  }
}

// First come, first served within a priority, as far as the machine has room.
void Desk::plan(Machine& m, double now) {
  if (m.state != Machine::up || m.leaving || m.draining || m.avoid_until > now) return;
  const std::size_t most =
      static_cast<std::size_t>(std::max(4.0, (settings_.value_kb * 1024 - 400) / 110));
  for (std::size_t i = 0; i < m.waiting.size();) {
    Item& it = m.waiting[i];
    Job& j = *it.job;
    if (!usable(m, j, now)) {
      // Its job's other tasks have bound it to another zone since it joined.
      Item back = std::move(it);
      m.waiting.erase(m.waiting.begin() + static_cast<long>(i));
      to_pending(back);
      continue;
    }
    // Counted again at the last moment, over every recorded placement: the limit is a rule.
    // The list is first come, first served to the letter: small tasks that slipped past a large
    // one would keep it waiting for as long as they keep coming.
    if (!j.need.fits(room(m)) || m.placements.size() >= most) break;
    if (!quota_ok(j, false) || (j.spec.gang && j.in_round.contains(it.task))) {
      ++i;
      continue;
    }
    Placement p;
    p.job = it.job;
    p.task = it.task;
    p.attempt = j.spec.gang && j.round ? j.round : ++next_attempt_;
    if (j.spec.gang) {
      j.round = p.attempt;
      j.in_round.insert(p.task);
    }
    p.item = std::move(it);
    m.waiting.erase(m.waiting.begin() + static_cast<long>(i));
    team_waiting_[j.team] -= j.need;
    hold(m, p);
    m.placements.push_back(std::move(p));
  }
  note_idle(m, now);
}

// Urgent tasks that would wait here make room: work of lower priority is stopped, as PROTOCOL's
// Preemption allows, if it can save its progress or has hardly begun. Standard and idle work waits
// its turn.
void Desk::preempt(Machine& m, double now) {
  if (m.state != Machine::up || m.leaving || m.draining || m.avoid_until > now) return;
  Amount room_soon = room(m);
  for (const Placement& p : m.placements)
    if (p.stopping && !p.released) room_soon += p.job->need;
  for (const Item& i : m.waiting) {
    if (i.job->spec.priority > wire::Priority::high) break;
    if (!quota_ok(*i.job, false)) continue;
    std::vector<Placement*> victims;
    for (Placement& p : m.placements)
      if (p.seen && !p.released && !p.stopping && p.state != RunState::exited &&
          p.job->spec.priority > i.job->spec.priority && !p.job->spec.gang &&
          (p.job->spec.checkpoint_s > 0 || p.started == 0 || now - p.started < kLittleWork))
        victims.push_back(&p);
    std::sort(victims.begin(), victims.end(), [&](const Placement* a, const Placement* b) {
      auto rank = [](const Placement* p) {
        return std::tuple(-static_cast<int>(p->job->spec.priority), p->job->spec.checkpoint_s == 0,
                          -p->started);
      };
      return rank(a) < rank(b);
    });
    Amount gained = room_soon;
    std::size_t n = 0;
    while (n < victims.size() && !i.job->need.fits(gained)) gained += victims[n++]->job->need;
    if (!i.job->need.fits(gained)) break;
    for (std::size_t k = 0; k < n; ++k) {
      victims[k]->stopping = true;
      ++count_.preempted;
    }
    room_soon = gained - i.job->need;
  }
}

// A machine reports room: tasks that wait on others enter the chain again, the more urgent and
// longest-waiting first, each leaving its old list first (DESIGN point 2; here from every tier).
void Desk::pull_waiting(Machine& m, double now) {
  if (m.state != Machine::up || m.leaving || m.draining || m.avoid_until > now ||
      !m.waiting.empty())
    return;
  struct Candidate {
    wire::Priority priority;
    std::uint64_t order;
    int machine;
  };
  std::vector<Candidate> found;
  for (auto& [n, other] : machines_)
    if (n != m.number)
      for (const Item& i : other->waiting) found.push_back({i.job->spec.priority, i.order, n});
  std::sort(found.begin(), found.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(a.priority, a.order) < std::pair(b.priority, b.order);
  });
  std::size_t walks = 0;
  for (const Candidate& c : found) {
    Machine* from = at(c.machine);
    if (!from || walks > 64) continue;
    auto it = std::find_if(from->waiting.begin(), from->waiting.end(),
                           [&](const Item& i) { return i.order == c.order; });
    if (it == from->waiting.end() || !it->job->need.fits(room(m)) || !usable(m, *it->job, now))
      continue;
    ++walks;
    Item item = std::move(*it);
    from->waiting.erase(it);
    team_waiting_[item.job->team] -= item.job->need;
    item.trail.clear();
    item.rented = false;
    JobPtr j = item.job;
    std::uint32_t task = item.task;
    if (!enter(std::move(item), now)) requeue(j, task);
    note_idle(*from, now);
  }
}

}  // namespace shunt::fleet

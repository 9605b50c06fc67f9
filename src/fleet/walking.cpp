// Waiting and walking: how tasks enter the chain, wait on machines' lists, and are planned.
#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "fleet/desk.h"

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;
using wire::RunState;

namespace {
constexpr double kLittleWork = 8;  // what cannot save is stopped only before it has done more
constexpr std::size_t kWalksPerTurn = 400;
constexpr std::size_t kPullsPerReport = 32;
constexpr double kNoteGap = 0.3;  // between two looks at the guarantees
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
  listed(m, item, true);
  m.waiting.insert(std::upper_bound(m.waiting.begin(), m.waiting.end(), item, Item::before),
                   std::move(item));
  note_idle(m, 0);
}

// While some machine of the chain has room for the task, it neither waits nor rents (the strategy
// space is bounded, paper 3.3): arms that only lead there are barred, the others stay learned.
bool Desk::enter(Item item, double now) {
  const Job& j = *item.job;
  const int band = item.band;
  std::vector<chain::Tier> tiers;
  // Two looks: at machines with room first, since they bar all else; then at every machine.
  for (bool room_only : {true, false}) {
    for (int id : catalogue_.tier_order) {
      if (!type_ok(j, id / 2, id % 2)) continue;
      chain::Tier t;
      t.id = id;
      const Amount full = catalogue_.types[id / 2].room;
      // The machines of a tier share what they have learned: a machine lives for minutes, and left
      // to itself would spend them trying each arm in each context.
      chain::Bandit* experience = &experience_.try_emplace(id, tuning_.ring).first->second;
      double share = 0;
      if (full.cpus > 0) share = static_cast<double>(j.need.cpus) / static_cast<double>(full.cpus);
      if (full.mem > 0)
        share = std::max(share, static_cast<double>(j.need.mem) / static_cast<double>(full.mem));
      const std::uint8_t size = chain::size_bucket(share);
      for (auto& [n, m] : machines_) {
        if (m->tier() != id) continue;
        if (m->state == Machine::up) {
          // Accept is split by band (paper 3.1, query scheduling): a task joins the list of its
          // job's band, and only what is ahead of it there counts.
          std::size_t ahead = 0;
          for (int k = 0; k <= band; ++k) ahead += m->listed[static_cast<std::size_t>(k)];
          bool has_room = j.need.fits(room(*m));
          if (room_only && (!has_room || ahead)) continue;
          if (!usable(*m, j, now)) continue;
          chain::Seat s;
          s.machine = n;
          s.learner = experience;
          s.context.cls = static_cast<std::uint16_t>(j.cls);
          s.context.size = size;
          s.context.waiting = chain::waiting_bucket(has_room, ahead);
          s.context.warm = warm(*m, j.image);
          s.may_accept = static_cast<int>(ahead) <= tuning_.waiting_bar;
          s.empty = m->placements.empty() && m->waiting.empty();
          t.seats.push_back(std::move(s));
        } else if (!room_only && t.end.kind == chain::TierEnd::none && usable(*m, j, now)) {
          // A pending rent takes what fits its whole room.
          Amount taken = m->used;
          for (const Item& i : m->waiting) taken += i.job->need;
          if (j.need.fits(full - taken)) t.end = {chain::TierEnd::join, n};
        }
      }
      if (!room_only && t.end.kind == chain::TierEnd::none && pick_zone(j, id, now) >= 0)
        t.end = {chain::TierEnd::rent, 0};
      if (!t.seats.empty() || t.end.kind != chain::TierEnd::none) tiers.push_back(std::move(t));
    }
    if (tiers.empty()) continue;
    // Where a machine with room has the image, those that would have to fetch it are barred too: an
    // urgent task on a cold machine waits for a second or two, and learners that are told the cost
    // of a whole run hardly see that.
    auto cold = [](const chain::Seat& s) { return !s.context.warm; };
    bool any = false;
    for (const auto& t : tiers) any |= !std::all_of(t.seats.begin(), t.seats.end(), cold);
    if (room_only && any) {
      for (auto& t : tiers) std::erase_if(t.seats, cold);
      std::erase_if(tiers, [](const chain::Tier& t) { return t.seats.empty(); });
    }
    break;
  }
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
      const auto key = item.key();
      join(m, std::move(item));
      // No further than this task: what waits behind it must not take the room that other urgent
      // tasks are just being pulled to.
      if (m.state == Machine::up) plan(m, now, key);
      preempt(m, now);
      return true;
    }
  }
}

// Which jobs are within their team's guarantee, together with the team's earlier unfinished ones.
void Desk::note_guarantees() {
  std::vector<std::vector<Job*>> by_team(settings_.teams.size());
  for (auto& [id, j] : jobs_) by_team[static_cast<std::size_t>(j->team)].push_back(j.get());
  for (std::size_t t = 0; t < by_team.size(); ++t) {
    std::sort(by_team[t].begin(), by_team[t].end(),
              [](const Job* a, const Job* b) { return a->since < b->since; });
    const Amount guarantee = Amount::of(settings_.teams[t].cpus, settings_.teams[t].gpus, 0);
    Amount sum;
    for (Job* j : by_team[t]) {
      std::int64_t left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
      sum += {j->need.cpus * left, j->need.gpus * left, 0};
      j->within = sum.cpus <= guarantee.cpus && sum.gpus <= guarantee.gpus;
    }
  }
}

// New and returning tasks enter the chain: the more urgent job first, then the older one.
void Desk::admit(double now) {
  // A job that has come, or some work done, moves who is within a guarantee; not every turn does.
  if (jobs_.size() != noted_jobs_ || now - noted_at_ > kNoteGap) {
    noted_jobs_ = jobs_.size();
    noted_at_ = now;
    note_guarantees();
  }
  std::vector<JobPtr> order;
  for (auto& [id, j] : jobs_)
    if (!j->pending.empty() && j->not_before <= now) order.push_back(j);
  std::sort(order.begin(), order.end(), [](const JobPtr& a, const JobPtr& b) {
    if (a->band() != b->band()) return a->band() < b->band();
    return a->since < b->since;
  });
  std::size_t walks = 0;
  // What found no place this turn: another job of the same shape finds none either.
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, int, bool, int>;
  std::set<Shape> stalled;
  for (const JobPtr& j : order) {
    bool plain = !j->spec.types && !j->spec.zone && !j->spec.one_zone && !j->spec.spread;
    Shape shape{j->need.cpus, j->need.gpus, j->need.mem, j->cls, j->spec.spot, j->band()};
    if (plain && stalled.contains(shape)) continue;
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
      i.band = j->band();
      if (!enter(std::move(i), now)) {
        j->pending.insert(task);
        if (plain) stalled.insert(shape);
        break;
      }
    }
  }
  // More than one turn's worth: the rest has the next one.
  if (walks >= kWalksPerTurn) stirred_ = true;
}

void Desk::turn(double now) {
  stirred_ = false;
  admit(now);
}

// First come, first served within a priority, as far as the machine has room.
void Desk::plan(Machine& m, double now, std::optional<Key> up_to) {
  if (m.state != Machine::up || !m.rostered || m.leaving || m.draining || m.avoid_until > now)
    return;
  for (std::size_t i = 0; i < m.waiting.size();) {
    Item& it = m.waiting[i];
    Job& j = *it.job;
    if (up_to && it.key() > *up_to) break;
    if (!usable(m, j, now)) {
      // Its job's other tasks have bound it to another zone since it joined.
      Item back = std::move(it);
      m.waiting.erase(m.waiting.begin() + static_cast<long>(i));
      listed(m, back, false);
      to_pending(back);
      continue;
    }
    // Counted again at the last moment, over every recorded placement: the limit is a rule.
    // The list is first come, first served to the letter: small tasks that slipped past a large
    // one would keep it waiting for as long as they keep coming.
    if (!j.need.fits(room(m))) break;
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
    listed(m, p.item, false);
    hold(m, p);
    m.placements.push_back(std::move(p));
  }
  note_idle(m, now);
}

// Tasks that would wait here make room, as PROTOCOL's Preemption allows: urgent ones stop work of
// lower priority; those that their team is guaranteed stop what another team runs beyond its own
// guarantee. Only what can save its progress or has hardly begun is stopped.
void Desk::preempt(Machine& m, double now) {
  if (m.state != Machine::up || m.leaving || m.draining || m.avoid_until > now) return;
  Amount room_soon = room(m);
  for (const Placement& p : m.placements)
    if (p.stopping && !p.released) room_soon += p.job->need;
  auto beyond = [&](int team) {
    if (team < 0) return false;
    const auto& t = settings_.teams[static_cast<std::size_t>(team)];
    return team_used_[static_cast<std::size_t>(team)].cpus > Amount::of(t.cpus, 0, 0).cpus;
  };
  for (const Item& i : m.waiting) {
    if (i.band > Job::kGuaranteed) break;
    if (!quota_ok(*i.job, false)) continue;
    const bool guaranteed = i.band == Job::kGuaranteed;
    std::vector<Placement*> victims;
    for (Placement& p : m.placements) {
      if (!p.seen || p.released || p.stopping || p.state == RunState::exited || p.job->spec.gang)
        continue;
      if (p.job->spec.checkpoint_s <= 0 && p.started != 0 && now - p.started >= kLittleWork)
        continue;
      if (guaranteed ? p.job->team != i.job->team && !p.job->within && beyond(p.job->team)
                     : p.job->priority > i.job->priority)
        victims.push_back(&p);
    }
    std::sort(victims.begin(), victims.end(), [&](const Placement* a, const Placement* b) {
      auto rank = [](const Placement* p) {
        return std::tuple(-static_cast<int>(p->job->priority), p->job->spec.checkpoint_s == 0,
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
      note_due(m);
      ++count_.preempted;
    }
    room_soon = gained - i.job->need;
  }
}

// A machine reports room: tasks that wait on others enter the chain again, the more urgent and
// longest-waiting first, each leaving its old list first (DESIGN point 2; here from every tier).
// Before the machine's own list is through, only more urgent ones do: else room would go to low
// work here while urgent tasks wait on machines that are full.
void Desk::pull_waiting(Machine& m, double now) {
  if (m.state != Machine::up || !m.rostered || m.leaving || m.draining || m.avoid_until > now)
    return;
  std::size_t walks = 0;
  const Job* misfit = nullptr;  // the same job's next task would not fit either
  auto next = waiting_.begin();
  while (next != waiting_.end() && walks < kPullsPerReport) {
    if (room(m).cpus <= 0) return;
    auto [key, number] = *next++;
    if (!m.waiting.empty() && key.first >= m.waiting.front().key().first) return;
    Machine* from = at(number);
    if (!from || from == &m) continue;
    auto it = std::find_if(from->waiting.begin(), from->waiting.end(),
                           [&](const Item& i) { return i.key() == key; });
    if (it == from->waiting.end() || it->job.get() == misfit) continue;
    if (!it->job->need.fits(room(m)) || !usable(m, *it->job, now)) {
      misfit = it->job.get();
      continue;
    }
    ++walks;
    Item item = std::move(*it);
    from->waiting.erase(it);
    listed(*from, item, false);
    item.trail.clear();
    item.rented = false;
    JobPtr j = item.job;
    std::uint32_t task = item.task;
    if (!enter(std::move(item), now)) requeue(j, task);
    note_idle(*from, now);
    next = waiting_.upper_bound(key);
  }
}

}  // namespace shunt::fleet

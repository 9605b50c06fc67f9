#include "scheduler/task_queues.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace shunt::fleet {

using jobs::Amount;
using jobs::Job;
using jobs::JobPtr;
using wire::RunState;

namespace {
constexpr double kLittleWork = 8;  // what cannot save is stopped only before it has done more
constexpr std::size_t kWalksPerTurn = 400;
constexpr std::size_t kPullsPerReport = 32;
constexpr std::size_t kMovesPerLook = 32;
constexpr double kNoteGap = 0.3;  // between two looks at the guarantees
constexpr double kPatience = 60;  // of a task on a list, where a machine can be had
// A machine has had room for something that waits for so long, and nothing has come of it.
constexpr double kLeftOver = 75;
constexpr std::size_t kFillsPerLook = 4;  // machines: each looks at all that waits
}  // namespace

Waiting::Waiting(Common& common, Machines& machines, Placements& placements, std::uint64_t seed)
    : common_(common),
      machines_(machines),
      placements_(placements),
      rng_(seed),
      waiting_(common.settings.teams.size()),
      saved_(common.settings.teams.size()) {}

// Urgent and guaranteed work is served first come, first served; the rest by when it should start.
bool Waiting::ranked(int band) { return band > Job::kGuaranteed; }
std::uint64_t Waiting::place_of(const Job& j, int band) {
  const std::uint64_t n = next_order_++;
  if (!ranked(band)) return n;
  constexpr double kOrigin = 1e6;  // earlier than any start, before this process as well
  const auto ms =
      static_cast<std::uint64_t>((std::max(j.latest_start(), -kOrigin) + kOrigin) * 1e3);
  return ms << 24 | (n & 0xffffff);
}

bool Waiting::quota_ok(const Job& j, bool with_waiting) const {
  const auto& t = common_.settings.teams[j.team];
  Amount limit = Amount::of(t.cpus_max, t.gpus_max, 0);
  Amount sum = placements_.used(j.team) + j.need;
  if (with_waiting) sum += waiting_[j.team];
  if (const auto& s = saved_[j.team].job; s && s.get() != &j) sum += s->need;
  return sum.cpus <= limit.cpus && sum.gpus <= limit.gpus;
}

// ---- lists

void Waiting::listed(Machine& m, const Item& i, bool yes) {
  const Job& j = *i.job;
  const Need need{j.need.cpus, j.need.gpus, j.need.mem};
  if (yes) {
    ++needs_[need];
    waiting_[j.team] += j.need;
    all_[i.key()] = m.number;
    ++m.queue.listed[static_cast<std::size_t>(i.band)];
    ++i.job->listed;
  } else {
    if (auto n = needs_.find(need); --n->second == 0) needs_.erase(n);
    waiting_[j.team] -= j.need;
    all_.erase(i.key());
    --m.queue.listed[static_cast<std::size_t>(i.band)];
    --i.job->listed;
  }
}
bool Waiting::any_fits(const Amount& room) const {
  return std::any_of(needs_.begin(), needs_.end(), [&](const auto& n) {
    const auto& [cpus, gpus, mem] = n.first;
    return Amount{cpus, gpus, mem}.fits(room);
  });
}
void Waiting::empty(Machine& m) {
  for (const Item& i : m.queue.items) {
    listed(m, i, false);
    common_.requeue(i.job, i.task);
  }
  m.queue.items.clear();
}

void Waiting::drop(Machine& m, const JobPtr& j) {
  std::erase_if(m.queue.items, [&](const Item& i) {
    if (i.job == j) listed(m, i, false);
    return i.job == j;
  });
}
void Waiting::back(Machine& m, const JobPtr& j) {
  std::erase_if(m.queue.items, [&](const Item& i) {
    if (i.job != j) return false;
    listed(m, i, false);
    common_.requeue(i.job, i.task);
    return true;
  });
}
void Waiting::forget(const JobPtr& j, std::uint32_t task) {
  if (!j->listed) return;
  for (auto& [n, m] : machines_.all())
    std::erase_if(m->queue.items, [&, at = m.get()](const Item& i) {
      if (i.job != j || i.task != task) return false;
      listed(*at, i, false);
      return true;
    });
}

void Waiting::join(Machine& m, Item item) {
  listed(m, item, true);
  m.queue.items.insert(
      std::upper_bound(m.queue.items.begin(), m.queue.items.end(), item, Item::before),
      std::move(item));
  machines_.note_idle(m, 0);
}

std::vector<Item>::iterator Waiting::item_at(Machine& m, const Key& key) {
  return std::find_if(m.queue.items.begin(), m.queue.items.end(),
                      [&](const Item& i) { return i.key() == key; });
}
Item Waiting::take_off(Machine& m, std::vector<Item>::iterator item) {
  Item out = std::move(*item);
  m.queue.items.erase(item);
  listed(m, out, false);
  return out;
}

// ---- the chain

// Where the task may go: at machines with room only, or at every machine.
std::vector<chain::Tier> Waiting::ways(const Item& item, bool room_only, double now) {
  const Job& j = *item.job;
  std::vector<chain::Tier> tiers;
  for (int id : common_.catalogue.tier_order) {
    if (!machines_.type_ok(j, id / 2, id % 2)) continue;
    chain::Tier t;
    t.id = id;
    const auto& all = machines_.all();
    // The machines of a tier share what they have learned: a machine lives for minutes, and left
    // to itself would spend them trying each arm in each context.
    Look look{j, item.band, room_only, now, common_.catalogue.types[id / 2].room};
    look.learner = &experience_.try_emplace(id, common_.tuning.ring).first->second;
    look.size = chain::size_bucket(share_of(j.need, look.full));
    for (std::size_t z = 0; z < common_.settings.zones.size(); ++z)
      look.zone_ok.push_back(machines_.zone_ok(j, static_cast<int>(z)));
    chain::Kinds seen;
    for (const auto& [n, m] : all) {
      if (m->tier() != id) continue;
      if (m->state == Machine::up) {
        if (auto s = seat(*m, look, &seen)) t.seats.push_back(std::move(*s));
      } else if (!room_only && t.end.kind == chain::TierEnd::none && machines_.usable(*m, j, now)) {
        // A pending rent takes what fits its whole room.
        Amount taken = m->placed.used;
        for (const Item& i : m->queue.items) taken += i.job->need;
        if (j.need.fits(look.full - taken)) t.end = {chain::TierEnd::join, n};
      }
    }
    if (!room_only && t.end.kind == chain::TierEnd::none && machines_.pick_zone(j, id, now) >= 0)
      t.end = {chain::TierEnd::rent, 0};
    if (t.end.kind == chain::TierEnd::none && !t.seats.empty()) add_last(t, look);
    if (!t.seats.empty() || t.end.kind != chain::TierEnd::none) tiers.push_back(std::move(t));
  }
  return tiers;
}

// Nothing to pass to lies behind the last seat, so it stands for itself; so does the last warm one,
// should cold ones be barred.
void Waiting::add_last(chain::Tier& t, const Look& look) const {
  bool warm = look.room_only && std::any_of(t.seats.begin(), t.seats.end(),
                                            [](const chain::Seat& s) { return s.context.warm; });
  bool last = true;
  const auto& all = machines_.all();
  for (auto it = all.rbegin(); it != all.rend() && (last || warm); ++it) {
    const Machine& m = *it->second;
    if (m.tier() != t.id || m.state != Machine::up) continue;
    auto s = seat(m, look, nullptr);
    if (!s || !(last || s->context.warm)) continue;
    last = false;
    warm &= !s->context.warm;
    auto at =
        std::lower_bound(t.seats.begin(), t.seats.end(), s->machine,
                         [](const chain::Seat& x, int machine) { return x.machine < machine; });
    if (at == t.seats.end() || at->machine != s->machine) t.seats.insert(at, std::move(*s));
  }
}

// A machine that is up, as the task finds it. None: the task cannot go there, or would find there
// what it has `seen`.
std::optional<chain::Seat> Waiting::seat(const Machine& m, const Look& look,
                                         chain::Kinds* seen) const {
  if (reserved(m)) return std::nullopt;
  // Accept is split by band (paper 3.1, query scheduling): a task joins the list of its job's band,
  // and only what is ahead of it there counts.
  const bool has_room = look.job.need.fits(machines_.room(m, look.band));
  if (look.room_only && !has_room) return std::nullopt;
  std::size_t ahead = 0;
  for (int k = 0; k <= look.band; ++k) ahead += m.queue.listed[static_cast<std::size_t>(k)];
  if (look.room_only && ahead) return std::nullopt;
  chain::Seat s;
  s.context.waiting = chain::waiting_bucket(has_room, ahead);
  s.may_accept = static_cast<int>(ahead) <= common_.tuning.waiting_bar;
  s.empty = m.placed.list.empty() && m.queue.items.empty();
  if (seen && seen->both(s)) return std::nullopt;
  if (m.leaving || m.draining || m.avoid_until > look.now || m.zone < 0 ||
      !look.zone_ok[static_cast<std::size_t>(m.zone)])
    return std::nullopt;
  s.context.warm = Machines::warm(m, look.job.image);
  if (seen && !seen->add(s)) return std::nullopt;
  s.machine = m.number;
  s.learner = look.learner;
  s.context.cls = static_cast<std::uint16_t>(look.job.cls);
  s.context.size = look.size;
  return s;
}

// While some machine of the chain has room for the task, it neither waits nor rents (the strategy
// space is bounded, paper 3.3): arms that only lead there are barred, the others stay learned.
bool Waiting::enter(Item item, double now, bool full, bool* found_none) {
  const Job& j = *item.job;
  std::vector<chain::Tier> tiers;
  // Two looks: at machines with room first, since they bar all else; then at every machine.
  for (bool room_only : {true, false}) {
    if (room_only && full) continue;
    tiers = ways(item, room_only, now);
    if (room_only && tiers.empty() && found_none) *found_none = true;
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
      const int zone = machines_.pick_zone(j, o.tier, now);
      item.rented = true;
      join(machines_.order(o.tier, zone, now), std::move(item));
      return true;
    }
    default: {
      Machine& m = *machines_.at(o.machine);
      machines_.reused(m, now);
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
void Waiting::note_guarantees() {
  std::vector<std::vector<Job*>> by_team(common_.settings.teams.size());
  for (auto& [id, j] : common_.jobs) by_team[static_cast<std::size_t>(j->team)].push_back(j.get());
  for (std::size_t t = 0; t < by_team.size(); ++t) {
    std::sort(by_team[t].begin(), by_team[t].end(),
              [](const Job* a, const Job* b) { return a->since < b->since; });
    const Amount guarantee =
        Amount::of(common_.settings.teams[t].cpus, common_.settings.teams[t].gpus, 0);
    Amount sum;
    for (Job* j : by_team[t]) {
      std::int64_t left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
      sum += {j->need.cpus * left, j->need.gpus * left, 0};
      j->within = sum.cpus <= guarantee.cpus && sum.gpus <= guarantee.gpus;
    }
  }
}

bool Waiting::quiet() const {
  return all_.empty() && std::all_of(common_.jobs.begin(), common_.jobs.end(),
                                     [](const auto& j) { return j.second->pending.empty(); });
}

// Jobs with tasks that are yet to enter the chain, in the order in which they do: the more urgent
// first, then the older one, or the one that should start first.
std::vector<JobPtr> Waiting::pending(double now) const {
  std::vector<JobPtr> order;
  for (auto& [id, j] : common_.jobs)
    if (!j->pending.empty() && j->not_before <= now) order.push_back(j);
  std::sort(order.begin(), order.end(), [](const JobPtr& a, const JobPtr& b) {
    if (a->band() != b->band()) return a->band() < b->band();
    return ranked(a->band()) ? a->latest_start() < b->latest_start() : a->since < b->since;
  });
  return order;
}
// The first of its pending tasks, as it enters the chain.
Item Waiting::first_pending(const JobPtr& j, double now) {
  Item i;
  i.job = j;
  i.task = *j->pending.begin();
  i.since = now;
  i.band = j->band();
  i.order = place_of(*j, i.band);
  j->pending.erase(j->pending.begin());
  return i;
}

// New and returning tasks enter the chain.
void Waiting::admit(double now) {
  // A job that has come, or some work done, moves who is within a guarantee; not every turn does.
  if (common_.jobs.size() != noted_jobs_ || now - noted_at_ > kNoteGap) {
    noted_jobs_ = common_.jobs.size();
    noted_at_ = now;
    note_guarantees();
  }
  std::size_t walks = 0;
  // What found no place this turn: another job of the same shape finds none either.
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, int, bool, int>;
  std::set<Shape> stalled;
  // What found no room: the next one need not look for it. Room only shrinks while tasks enter; a
  // list may get shorter, when something is placed.
  std::set<Shape> crowded;
  for (const JobPtr& j : pending(now)) {
    bool plain = !j->spec.types && !j->spec.zone && !j->spec.one_zone && !j->spec.spread;
    Shape shape{j->need.cpus, j->need.gpus, j->need.mem, j->cls, j->spec.spot, j->band()};
    if (plain && stalled.contains(shape)) continue;
    while (!j->pending.empty() && walks < kWalksPerTurn) {
      // A team at its limit gets no Accept and no rent.
      if (!quota_ok(*j, true)) break;
      ++walks;
      Item i = first_pending(j, now);
      const std::uint32_t task = i.task;
      const Key key = i.key();
      bool none = false;
      const bool entered = enter(std::move(i), now, plain && crowded.contains(shape), &none);
      if (entered && !all_.contains(key)) crowded.clear();
      if (plain && none) crowded.insert(shape);
      if (!entered) {
        j->pending.insert(task);
        if (plain) stalled.insert(shape);
        break;
      }
    }
  }
  // More than one turn's worth: the rest has the next one.
  if (walks >= kWalksPerTurn) common_.stirred = true;
}

// Whatever else ends there, its room is not enough.
bool Waiting::in_vain(const Machine& m, const Item& i) const {
  Amount room = machines_.room(m, i.band);
  for (const Placement& p : m.placed.list)
    if (!p.released && !p.job->spec.service) room += p.job->need;
  return !i.job->need.fits(room);
}

// A task is accepted by a full machine when the cloud has nothing to give. Where replicas have
// filled it, no report would ever show room, and the task stood there for good though machines
// could be had again (docs/design.md, X12). Nor does a task wait for longer than its patience on
// any list while a machine can be had: the room that others' ends would give it may go to others.
void Waiting::move_on(double now) {
  std::vector<std::pair<Key, int>> found;
  for (const auto& [n, m] : machines_.all()) {
    if (m->state != Machine::up || m->type < 0) continue;
    for (const Item& i : m->queue.items)
      if (found.size() < kMovesPerLook && m->queue.reserved != i.key() &&
          (now - i.since > kPatience || in_vain(*m, i)))
        found.emplace_back(i.key(), n);
  }
  std::sort(found.begin(), found.end());
  for (const auto& [key, n] : found) {
    Machine& from = *machines_.at(n);
    auto it = item_at(from, key);
    if (!quota_ok(*it->job, false)) continue;
    for (const chain::Tier& t : ways(*it, false, now)) {
      if (t.end.kind == chain::TierEnd::none) continue;
      Item item = take_off(from, it);
      item.trail.clear();  // what it passed through is not what it costs now
      item.rented = t.end.kind == chain::TierEnd::rent;
      const int zone = item.rented ? machines_.pick_zone(*item.job, t.id, now) : -1;
      Machine& to = item.rented ? machines_.order(t.id, zone, now) : *machines_.at(t.end.machine);
      join(to, std::move(item));
      machines_.note_idle(from, now);
      break;
    }
  }
}

// Lists are served in order, so what is first on one and does not fit keeps the room beside it from
// all that would. For a while that is how the first one comes to its room; for longer than a
// machine takes to empty it is waste, and a small task waits beside room for as long as large ones
// come (docs/design.md, X13). What has been left over is given to whatever fits, in order of
// service.
void Waiting::fill_left_over(double now) {
  std::set<Need> wanted;
  for (const auto& [id, j] : common_.jobs)
    if ((j->listed || (!j->pending.empty() && j->not_before <= now)) && quota_ok(*j, false))
      wanted.insert({j->need.cpus, j->need.gpus, j->need.mem});
  if (wanted.empty()) return;
  std::size_t fills = 0;
  for (const auto& [n, m] : machines_.all()) {
    auto fits = [&, at = m.get()](const Need& need) {
      const auto& [cpus, gpus, mem] = need;
      return Amount{cpus, gpus, mem}.fits(machines_.room(*at));
    };
    double& since = m->queue.left_over_since;
    if (m->type < 0 || !m->open(now) || !m->rostered ||
        std::none_of(wanted.begin(), wanted.end(), fits)) {
      since = -1;
    } else if (since < 0) {
      since = now;
    } else if (now - since >= kLeftOver && fills < kFillsPerLook && !reserved(*m)) {
      since = now;
      ++fills;
      fill(*m, now);
    }
  }
}
void Waiting::fill(Machine& m, double now) {
  auto takes = [&](const Job& j, std::uint32_t task, int band) {
    return j.need.fits(machines_.room(m, band)) && machines_.usable(m, j, now) &&
           quota_ok(j, false) && !(j.spec.gang && j.in_round.contains(task));
  };
  auto put = [&](Item item) {
    item.trail.clear();  // it has not come this way by the chain
    item.rented = false;
    machines_.reused(m, now);
    placements_.place(m, std::move(item));
  };
  for (auto next = all_.begin(); next != all_.end() && any_fits(machines_.room(m));) {
    const auto [key, number] = *next++;
    Machine& from = *machines_.at(number);
    auto it = item_at(from, key);
    if (!takes(*it->job, it->task, key.first)) continue;
    put(take_off(from, it));
    machines_.note_idle(from, now);
  }
  for (const JobPtr& j : pending(now))
    while (!j->pending.empty() && takes(*j, *j->pending.begin(), j->band()))
      put(first_pending(j, now));
}

// ---- machines with room

void Waiting::serve(Machine& m, double now) {
  pull(m, now);
  plan(m, now);
  preempt(m, now);
  pull(m, now);
}

// First come, first served within a priority, as far as the machine has room.
void Waiting::plan(Machine& m, double now, std::optional<Key> up_to) {
  if (!m.open(now) || !m.rostered) return;
  for (std::size_t i = 0; i < m.queue.items.size();) {
    Item& it = m.queue.items[i];
    Job& j = *it.job;
    if (up_to && it.key() > *up_to) break;
    if (reserved_for_other(m, it)) {
      ++i;
      continue;
    }
    if (!machines_.usable(m, j, now)) {
      // Its job's other tasks have bound it to another zone since it joined.
      Item back = take_off(m, m.queue.items.begin() + static_cast<long>(i));
      common_.requeue(back.job, back.task);
      continue;
    }
    // Counted again at the last moment, over every recorded placement: the limit is a rule.
    // The list is first come, first served to the letter: small tasks that slipped past a large
    // one would keep it waiting for as long as they keep coming.
    if (!j.need.fits(reserved(m) ? machines_.room(m) : machines_.room(m, it.band))) break;
    if (!quota_ok(j, false) || (j.spec.gang && j.in_round.contains(it.task))) {
      ++i;
      continue;
    }
    placements_.place(m, take_off(m, m.queue.items.begin() + static_cast<long>(i)));
  }
  machines_.note_idle(m, now);
}

// Tasks that would wait here make room, as PROTOCOL's Preemption allows: urgent ones stop work of
// lower priority; those that their team is guaranteed stop what another team runs beyond its own
// guarantee. Only what can save its progress or has hardly begun is stopped.
void Waiting::preempt(Machine& m, double now) {
  if (!m.open(now)) return;
  Amount room_soon = machines_.room(m);
  for (const Placement& p : m.placed.list)
    if (p.stopping && !p.released) room_soon += p.job->need;
  auto beyond = [&](int team) {
    if (team < 0) return false;
    const auto& t = common_.settings.teams[static_cast<std::size_t>(team)];
    return placements_.used(team).cpus > Amount::of(t.cpus, 0, 0).cpus;
  };
  for (const Item& i : m.queue.items) {
    if (i.band > Job::kGuaranteed) break;
    if (!quota_ok(*i.job, false) || reserved_for_other(m, i)) continue;
    const bool guaranteed = i.band == Job::kGuaranteed;
    std::vector<Placement*> victims;
    for (Placement& p : m.placed.list) {
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
    for (std::size_t k = 0; k < n; ++k) placements_.stop(m, *victims[k]);
    room_soon = gained - i.job->need;
  }
}

// A machine reports room: tasks that wait on others enter the chain again, the more urgent and
// longest-waiting first, each leaving its old list first (DESIGN point 2; here from every tier).
// Before the machine's own list is through, only more urgent ones do: else room would go to low
// work here while urgent tasks wait on machines that are full.
void Waiting::pull(Machine& m, double now) {
  if (!m.open(now) || !m.rostered || reserved(m) || !any_fits(machines_.room(m))) return;
  std::size_t walks = 0;
  const Job* misfit = nullptr;  // the same job's next task would not fit either
  auto next = all_.begin();
  while (next != all_.end() && walks < kPullsPerReport) {
    if (!any_fits(machines_.room(m))) return;
    auto [key, number] = *next++;
    if (!m.queue.items.empty()) {
      const Key own = m.queue.items.front().key();
      if (ranked(key.first) ? key >= own : key.first >= own.first) return;
    }
    Machine* from = machines_.at(number);
    if (!from || from == &m) continue;
    auto it = item_at(*from, key);
    if (it == from->queue.items.end() || it->job.get() == misfit) continue;
    if (!it->job->need.fits(machines_.room(m, key.first)) || !machines_.usable(m, *it->job, now)) {
      misfit = it->job.get();
      continue;
    }
    ++walks;
    Item item = take_off(*from, it);
    item.trail.clear();
    item.rented = false;
    JobPtr j = item.job;
    std::uint32_t task = item.task;
    if (!enter(std::move(item), now)) common_.requeue(j, task);
    machines_.note_idle(*from, now);
    next = all_.upper_bound(key);
  }
}

}  // namespace shunt::fleet

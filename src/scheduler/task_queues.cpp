#include "scheduler/task_queues.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;
using wire::TaskState;

namespace {
constexpr double kLittleWork = 8;  // what cannot save is stopped only before it has done more
// These bound how long one turn keeps all else waiting, since each walk looks at every machine;
// what is left goes on with the next turn, heartbeat or look. 256,000 tasks are 640 turns.
constexpr std::size_t kWalksPerTurn = 400;
constexpr std::size_t kPullsPerReport = 32;
constexpr std::size_t kMovesPerLook = 32;
constexpr double kNoteGap = 0.3;  // between two looks at the guarantees
constexpr double kPatience = 60;  // of a task on a list, where a machine can be had
// A machine has had room for something that waits for so long, and nothing has come of it.
constexpr double kLeftOver = 75;
// Machines a look, of which there is one a second: each looks at all that waits. A rate, not a
// bound; where more than 60 have room left over at once, the last of them wait for longer than 90
// s.
constexpr std::size_t kFillsPerLook = 4;
}  // namespace

TaskQueues::TaskQueues(ShardContext& common, Machines& machines, Placements& placements,
                       std::uint64_t seed)
    : context_(common),
      machines_(machines),
      placements_(placements),
      rng_(seed),
      queued_resources_(common.settings.teams.size()),
      quota_reservations_(common.settings.teams.size()) {}

// Urgent and guaranteed work is served first come, first served; the rest by when it should start.
bool TaskQueues::is_ranked(int band) { return band > Job::kGuaranteed; }
std::uint64_t TaskQueues::rank_of(const Job& j, int band) {
  const std::uint64_t n = next_order_++;
  if (!is_ranked(band)) return n;
  constexpr double kOrigin = 1e6;  // earlier than any start, before this process as well
  const auto ms =
      static_cast<std::uint64_t>((std::max(j.latest_start(), -kOrigin) + kOrigin) * 1e3);
  // Two tasks of a job get the same order only if both wait and 16.7 million others came in
  // between: lists of 4,000 machines hold some ten thousand.
  return ms << 24 | (n & 0xffffff);
}

bool TaskQueues::within_quota(const Job& j, bool with_waiting) const {
  const auto& t = context_.settings.teams[j.team];
  Resources limit = Resources::of(t.cpus_max, t.gpus_max, 0);
  Resources sum = placements_.used(j.team) + j.need;
  if (with_waiting) sum += queued_resources_[j.team];
  if (const auto& s = quota_reservations_[j.team].job; s && s.get() != &j) sum += s->need;
  return sum.cpus <= limit.cpus && sum.gpus <= limit.gpus;
}

// ---- lists

void TaskQueues::count_queued(Machine& m, const QueuedTask& i, bool yes) {
  const Job& j = *i.job;
  const Need need{j.need.cpus, j.need.gpus, j.need.mem};
  if (yes) {
    ++queued_needs_[need];
    queued_resources_[j.team] += j.need;
    queued_tasks_[i.service_order()] = m.number;
    ++m.queue.tasks_by_band[static_cast<std::size_t>(i.priority_band)];
    ++i.job->queued;
  } else {
    if (auto n = queued_needs_.find(need); --n->second == 0) queued_needs_.erase(n);
    queued_resources_[j.team] -= j.need;
    queued_tasks_.erase(i.service_order());
    --m.queue.tasks_by_band[static_cast<std::size_t>(i.priority_band)];
    --i.job->queued;
  }
}
bool TaskQueues::any_fits(const Resources& room) const {
  return std::any_of(queued_needs_.begin(), queued_needs_.end(), [&](const auto& n) {
    const auto& [cpus, gpus, mem] = n.first;
    return Resources{cpus, gpus, mem}.fits(room);
  });
}
void TaskQueues::requeue_all(Machine& m) {
  for (const QueuedTask& i : m.queue.tasks) {
    count_queued(m, i, false);
    context_.requeue(i.job, i.task);
  }
  m.queue.tasks.clear();
}

void TaskQueues::drop_job(Machine& m, const JobPtr& j) {
  std::erase_if(m.queue.tasks, [&](const QueuedTask& i) {
    if (i.job == j) count_queued(m, i, false);
    return i.job == j;
  });
}
void TaskQueues::requeue_job(Machine& m, const JobPtr& j) {
  std::erase_if(m.queue.tasks, [&](const QueuedTask& i) {
    if (i.job != j) return false;
    count_queued(m, i, false);
    context_.requeue(i.job, i.task);
    return true;
  });
}
void TaskQueues::drop_task(const JobPtr& j, std::uint32_t task) {
  if (!j->queued) return;
  for (auto& [n, m] : machines_.all())
    std::erase_if(m->queue.tasks, [&, at = m.get()](const QueuedTask& i) {
      if (i.job != j || i.task != task) return false;
      count_queued(*at, i, false);
      return true;
    });
}

void TaskQueues::enqueue(Machine& m, QueuedTask item) {
  count_queued(m, item, true);
  m.queue.tasks.insert(
      std::upper_bound(m.queue.tasks.begin(), m.queue.tasks.end(), item, QueuedTask::before),
      std::move(item));
  machines_.note_idle(m, 0);
}

std::vector<QueuedTask>::iterator TaskQueues::find_queued(Machine& m, const ServiceOrder& key) {
  return std::find_if(m.queue.tasks.begin(), m.queue.tasks.end(),
                      [&](const QueuedTask& i) { return i.service_order() == key; });
}
QueuedTask TaskQueues::dequeue(Machine& m, std::vector<QueuedTask>::iterator item) {
  QueuedTask out = std::move(*item);
  m.queue.tasks.erase(item);
  count_queued(m, out, false);
  return out;
}

// ---- the chain

// Where the task may go: at machines with room only, or at every machine.
std::vector<chain::Tier> TaskQueues::candidate_tiers(const QueuedTask& item, bool room_only,
                                                     double now) {
  const Job& j = *item.job;
  std::vector<chain::Tier> tiers;
  for (int id : context_.catalogue.tier_order) {
    if (!machines_.type_ok(j, id / 2, id % 2)) continue;
    chain::Tier t;
    t.id = id;
    const auto& all = machines_.all();
    // The machines of a tier share what they have learned: a machine lives for minutes, and left
    // to itself would spend them trying each arm in each context.
    TierScan look{j, item.priority_band, room_only, now, context_.catalogue.types[id / 2].room};
    look.learner = &learners_.try_emplace(id, context_.tuning.ring).first->second;
    look.size = chain::size_bucket(share_of(j.need, look.machine_capacity));
    for (std::size_t z = 0; z < context_.settings.zones.size(); ++z)
      look.zone_ok.push_back(machines_.zone_ok(j, static_cast<int>(z)));
    chain::Kinds seen;
    for (const auto& [n, m] : all) {
      if (m->tier() != id) continue;
      if (m->state == Machine::up) {
        if (auto s = candidate(*m, look, &seen)) t.candidates.push_back(std::move(*s));
      } else if (!room_only && t.end.kind == chain::TierEnd::none && machines_.usable(*m, j, now)) {
        // A pending rent takes what fits its whole room.
        Resources taken = m->tasks.used;
        for (const QueuedTask& i : m->queue.tasks) taken += i.job->need;
        if (j.need.fits(look.machine_capacity - taken)) t.end = {chain::TierEnd::join, n};
      }
    }
    if (!room_only && t.end.kind == chain::TierEnd::none && machines_.pick_zone(j, id, now) >= 0)
      t.end = {chain::TierEnd::rent, 0};
    if (t.end.kind == chain::TierEnd::none && !t.candidates.empty()) add_tier_end(t, look);
    if (!t.candidates.empty() || t.end.kind != chain::TierEnd::none) tiers.push_back(std::move(t));
  }
  return tiers;
}

// Nothing to pass to lies behind the last seat, so it stands for itself; so does the last warm one,
// should cold ones be barred.
void TaskQueues::add_tier_end(chain::Tier& t, const TierScan& look) const {
  bool warm =
      look.room_only && std::any_of(t.candidates.begin(), t.candidates.end(),
                                    [](const chain::Candidate& s) { return s.context.warm; });
  bool last = true;
  const auto& all = machines_.all();
  for (auto it = all.rbegin(); it != all.rend() && (last || warm); ++it) {
    const Machine& m = *it->second;
    if (m.tier() != t.id || m.state != Machine::up) continue;
    auto s = candidate(m, look, nullptr);
    if (!s || !(last || s->context.warm)) continue;
    last = false;
    warm &= !s->context.warm;
    auto at = std::lower_bound(
        t.candidates.begin(), t.candidates.end(), s->machine,
        [](const chain::Candidate& x, int machine) { return x.machine < machine; });
    if (at == t.candidates.end() || at->machine != s->machine)
      t.candidates.insert(at, std::move(*s));
  }
}

// A machine that is up, as the task finds it. None: the task cannot go there, or would find there
// what it has `seen`.
std::optional<chain::Candidate> TaskQueues::candidate(const Machine& m, const TierScan& look,
                                                      chain::Kinds* seen) const {
  if (is_reserved(m)) return std::nullopt;
  // Accept is split by band (paper 3.1, query scheduling): a task joins the list of its job's band,
  // and only what is ahead of it there counts.
  const bool has_room = look.job.need.fits(machines_.room(m, look.band));
  if (look.room_only && !has_room) return std::nullopt;
  std::size_t ahead = 0;
  for (int k = 0; k <= look.band; ++k) ahead += m.queue.tasks_by_band[static_cast<std::size_t>(k)];
  if (look.room_only && ahead) return std::nullopt;
  chain::Candidate s;
  s.context.waiting = chain::waiting_bucket(has_room, ahead);
  s.may_accept = static_cast<int>(ahead) <= context_.tuning.waiting_bar;
  s.empty = m.tasks.placements.empty() && m.queue.tasks.empty();
  if (seen && seen->both(s)) return std::nullopt;
  if (m.leaving || m.draining || m.avoid_until > look.now || m.zone < 0 ||
      !look.zone_ok[static_cast<std::size_t>(m.zone)])
    return std::nullopt;
  s.context.warm = Machines::warm(m, look.job.image);
  if (seen && !seen->add(s)) return std::nullopt;
  s.machine = m.number;
  s.learner = look.learner;
  s.context.job_class = static_cast<std::uint16_t>(look.job.job_class);
  s.context.size = look.size;
  return s;
}

// While some machine of the chain has room for the task, it neither waits nor rents (the strategy
// space is bounded, paper 3.3): arms that only lead there are barred, the others stay learned.
bool TaskQueues::enter_chain(QueuedTask item, double now, bool full, bool* found_none) {
  const Job& j = *item.job;
  std::vector<chain::Tier> tiers;
  // Two looks: at machines with room first, since they bar all else; then at every machine.
  for (bool room_only : {true, false}) {
    if (room_only && full) continue;
    tiers = candidate_tiers(item, room_only, now);
    if (room_only && tiers.empty() && found_none) *found_none = true;
    if (tiers.empty()) continue;
    // Where a machine with room has the image, those that would have to fetch it are barred too: an
    // urgent task on a cold machine waits for a second or two, and learners that are told the cost
    // of a whole run hardly see that.
    auto cold = [](const chain::Candidate& s) { return !s.context.warm; };
    bool any = false;
    for (const auto& t : tiers) any |= !std::all_of(t.candidates.begin(), t.candidates.end(), cold);
    if (room_only && any) {
      for (auto& t : tiers) std::erase_if(t.candidates, cold);
      std::erase_if(tiers, [](const chain::Tier& t) { return t.candidates.empty(); });
    }
    break;
  }
  chain::Outcome o = chain::walk(tiers, rng_);
  item.chain_steps = std::move(o.steps);
  switch (o.kind) {
    case chain::Outcome::stalled:
      return false;
    case chain::Outcome::rented: {
      const int zone = machines_.pick_zone(j, o.tier, now);
      item.rented = true;
      enqueue(machines_.order(o.tier, zone, now), std::move(item));
      return true;
    }
    default: {
      Machine& m = *machines_.at(o.machine);
      machines_.reused(m, now);
      const auto key = item.service_order();
      enqueue(m, std::move(item));
      // No further than this task: what waits behind it must not take the room that other urgent
      // tasks are just being pulled to.
      if (m.state == Machine::up) place_queued(m, now, key);
      preempt(m, now);
      return true;
    }
  }
}

// Which jobs are within their team's guarantee, together with the team's earlier unfinished ones.
void TaskQueues::update_guarantees() {
  std::vector<std::vector<Job*>> by_team(context_.settings.teams.size());
  for (auto& [id, j] : context_.jobs) by_team[static_cast<std::size_t>(j->team)].push_back(j.get());
  for (std::size_t t = 0; t < by_team.size(); ++t) {
    std::sort(by_team[t].begin(), by_team[t].end(),
              [](const Job* a, const Job* b) { return a->since < b->since; });
    const Resources guarantee =
        Resources::of(context_.settings.teams[t].cpus, context_.settings.teams[t].gpus, 0);
    Resources sum;
    for (Job* j : by_team[t]) {
      std::int64_t left = j->spec.tasks - (j->spec.service ? 0 : j->done_count());
      sum += {j->need.cpus * left, j->need.gpus * left, 0};
      j->within_guarantee = sum.cpus <= guarantee.cpus && sum.gpus <= guarantee.gpus;
    }
  }
}

bool TaskQueues::is_empty() const {
  return queued_tasks_.empty() &&
         std::all_of(context_.jobs.begin(), context_.jobs.end(),
                     [](const auto& j) { return j.second->pending.empty(); });
}

// Jobs with tasks that are yet to enter the chain, in the order in which they do: the more urgent
// first, then the older one, or the one that should start first.
std::vector<JobPtr> TaskQueues::pending_jobs(double now) const {
  std::vector<JobPtr> order;
  for (auto& [id, j] : context_.jobs)
    if (!j->pending.empty() && j->not_before <= now) order.push_back(j);
  std::sort(order.begin(), order.end(), [](const JobPtr& a, const JobPtr& b) {
    if (a->priority_band() != b->priority_band()) return a->priority_band() < b->priority_band();
    return is_ranked(a->priority_band()) ? a->latest_start() < b->latest_start()
                                         : a->since < b->since;
  });
  return order;
}
// The first of its pending tasks, as it enters the chain.
QueuedTask TaskQueues::next_pending_task(const JobPtr& j, double now) {
  QueuedTask i;
  i.job = j;
  i.task = *j->pending.begin();
  i.since = now;
  i.priority_band = j->priority_band();
  i.order = rank_of(*j, i.priority_band);
  j->pending.erase(j->pending.begin());
  return i;
}

// New and returning tasks enter the chain.
void TaskQueues::admit_pending(double now) {
  // A job that has come, or some work done, moves who is within a guarantee; not every turn does.
  if (context_.jobs.size() != guarantee_job_count_ || now - guarantees_updated_at_ > kNoteGap) {
    guarantee_job_count_ = context_.jobs.size();
    guarantees_updated_at_ = now;
    update_guarantees();
  }
  std::size_t walks = 0;
  // What found no place this turn: another job of the same shape finds none either.
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, int, bool, int>;
  std::set<Shape> stalled;
  // What found no room: the next one need not look for it. Room only shrinks while tasks enter; a
  // list may get shorter, when something is placed.
  std::set<Shape> crowded;
  for (const JobPtr& j : pending_jobs(now)) {
    bool plain = !j->spec.types && !j->spec.zone && !j->spec.same_zone && !j->spec.anti_affinity;
    Shape shape{j->need.cpus, j->need.gpus, j->need.mem,
                j->job_class, j->spec.spot, j->priority_band()};
    if (plain && stalled.contains(shape)) continue;
    while (!j->pending.empty() && walks < kWalksPerTurn) {
      // A team at its limit gets no Accept and no rent.
      if (!within_quota(*j, true)) break;
      ++walks;
      QueuedTask i = next_pending_task(j, now);
      const std::uint32_t task = i.task;
      const ServiceOrder key = i.service_order();
      bool none = false;
      const bool entered = enter_chain(std::move(i), now, plain && crowded.contains(shape), &none);
      if (entered && !queued_tasks_.contains(key)) crowded.clear();
      if (plain && none) crowded.insert(shape);
      if (!entered) {
        j->pending.insert(task);
        if (plain) stalled.insert(shape);
        break;
      }
    }
  }
  // More than one turn's worth: the rest has the next one.
  if (walks >= kWalksPerTurn) context_.scheduling_due = true;
}

// Whatever else ends there, its room is not enough.
bool TaskQueues::blocked_by_replicas(const Machine& m, const QueuedTask& i) const {
  Resources room = machines_.room(m, i.priority_band);
  for (const Placement& p : m.tasks.placements)
    if (!p.released && !p.job->spec.service) room += p.job->need;
  return !i.job->need.fits(room);
}

// A task is accepted by a full machine when the cloud has nothing to give. Where replicas have
// filled it, no report would ever show room, and the task stood there for good though machines
// could be had again (docs/design.md, X12). Nor does a task wait for longer than its patience on
// any list while a machine can be had: the room that others' ends would give it may go to others.
void TaskQueues::requeue_blocked(double now) {
  std::vector<std::pair<ServiceOrder, int>> found;
  for (const auto& [n, m] : machines_.all()) {
    if (m->state != Machine::up || m->type < 0) continue;
    for (const QueuedTask& i : m->queue.tasks)
      if (found.size() < kMovesPerLook && m->queue.reserved_for != i.service_order() &&
          (now - i.since > kPatience || blocked_by_replicas(*m, i)))
        found.emplace_back(i.service_order(), n);
  }
  std::sort(found.begin(), found.end());
  for (const auto& [key, n] : found) {
    Machine& from = *machines_.at(n);
    auto it = find_queued(from, key);
    if (!within_quota(*it->job, false)) continue;
    for (const chain::Tier& t : candidate_tiers(*it, false, now)) {
      if (t.end.kind == chain::TierEnd::none) continue;
      QueuedTask item = dequeue(from, it);
      item.chain_steps.clear();  // what it passed through is not what it costs now
      item.rented = t.end.kind == chain::TierEnd::rent;
      const int zone = item.rented ? machines_.pick_zone(*item.job, t.id, now) : -1;
      Machine& to = item.rented ? machines_.order(t.id, zone, now) : *machines_.at(t.end.machine);
      enqueue(to, std::move(item));
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
void TaskQueues::backfill_idle_capacity(double now) {
  std::set<Need> wanted;
  for (const auto& [id, j] : context_.jobs)
    if ((j->queued || (!j->pending.empty() && j->not_before <= now)) && within_quota(*j, false))
      wanted.insert({j->need.cpus, j->need.gpus, j->need.mem});
  if (wanted.empty()) return;
  std::size_t fills = 0;
  for (const auto& [n, m] : machines_.all()) {
    auto fits = [&, at = m.get()](const Need& need) {
      const auto& [cpus, gpus, mem] = need;
      return Resources{cpus, gpus, mem}.fits(machines_.room(*at));
    };
    double& since = m->queue.idle_capacity_since;
    if (m->type < 0 || !m->accepts_work(now) || !m->in_inventory ||
        std::none_of(wanted.begin(), wanted.end(), fits)) {
      since = -1;
    } else if (since < 0) {
      since = now;
    } else if (now - since >= kLeftOver && fills < kFillsPerLook && !is_reserved(*m)) {
      since = now;
      ++fills;
      backfill(*m, now);
    }
  }
}
void TaskQueues::backfill(Machine& m, double now) {
  auto takes = [&](const Job& j, std::uint32_t task, int band) {
    return j.need.fits(machines_.room(m, band)) && machines_.usable(m, j, now) &&
           within_quota(j, false) && !(j.spec.gang && j.in_round.contains(task));
  };
  auto put = [&](QueuedTask item) {
    item.chain_steps.clear();  // it has not come this way by the chain
    item.rented = false;
    machines_.reused(m, now);
    placements_.place(m, std::move(item));
  };
  for (auto next = queued_tasks_.begin();
       next != queued_tasks_.end() && any_fits(machines_.room(m));) {
    const auto [key, number] = *next++;
    Machine& from = *machines_.at(number);
    auto it = find_queued(from, key);
    if (!takes(*it->job, it->task, key.first)) continue;
    put(dequeue(from, it));
    machines_.note_idle(from, now);
  }
  for (const JobPtr& j : pending_jobs(now))
    while (!j->pending.empty() && takes(*j, *j->pending.begin(), j->priority_band()))
      put(next_pending_task(j, now));
}

// ---- machines with room

void TaskQueues::serve_machine(Machine& m, double now) {
  pull_urgent(m, now);
  place_queued(m, now);
  preempt(m, now);
  pull_urgent(m, now);
}

// First come, first served within a priority, as far as the machine has room.
void TaskQueues::place_queued(Machine& m, double now, std::optional<ServiceOrder> up_to) {
  if (!m.accepts_work(now) || !m.in_inventory) return;
  for (std::size_t i = 0; i < m.queue.tasks.size();) {
    QueuedTask& it = m.queue.tasks[i];
    Job& j = *it.job;
    if (up_to && it.service_order() > *up_to) break;
    if (is_reserved_for_other(m, it)) {
      ++i;
      continue;
    }
    if (!machines_.usable(m, j, now)) {
      // Its job's other tasks have bound it to another zone since it joined.
      QueuedTask back = dequeue(m, m.queue.tasks.begin() + static_cast<long>(i));
      context_.requeue(back.job, back.task);
      continue;
    }
    // Counted again at the last moment, over every recorded placement: the limit is a rule.
    // The list is first come, first served to the letter: small tasks that slipped past a large
    // one would keep it waiting for as long as they keep coming.
    if (!j.need.fits(is_reserved(m) ? machines_.room(m) : machines_.room(m, it.priority_band)))
      break;
    if (!within_quota(j, false) || (j.spec.gang && j.in_round.contains(it.task))) {
      ++i;
      continue;
    }
    placements_.place(m, dequeue(m, m.queue.tasks.begin() + static_cast<long>(i)));
  }
  machines_.note_idle(m, now);
}

// Tasks that would wait here make room, as PROTOCOL's Preemption allows: urgent ones stop work of
// lower priority; those that their team is guaranteed stop what another team runs beyond its own
// guarantee. Only what can save its progress or has hardly begun is stopped.
void TaskQueues::preempt(Machine& m, double now) {
  if (!m.accepts_work(now)) return;
  Resources room_soon = machines_.room(m);
  for (const Placement& p : m.tasks.placements)
    if (p.preempted && !p.released) room_soon += p.job->need;
  auto beyond = [&](int team) {
    if (team < 0) return false;
    const auto& t = context_.settings.teams[static_cast<std::size_t>(team)];
    return placements_.used(team).cpus > Resources::of(t.cpus, 0, 0).cpus;
  };
  for (const QueuedTask& i : m.queue.tasks) {
    if (i.priority_band > Job::kGuaranteed) break;
    if (!within_quota(*i.job, false) || is_reserved_for_other(m, i)) continue;
    const bool guaranteed = i.priority_band == Job::kGuaranteed;
    std::vector<Placement*> victims;
    for (Placement& p : m.tasks.placements) {
      if (!p.seen || p.released || p.preempted || p.state == TaskState::exited || p.job->spec.gang)
        continue;
      if (p.job->spec.checkpoint_s <= 0 && p.started != 0 && now - p.started >= kLittleWork)
        continue;
      if (guaranteed ? p.job->team != i.job->team && !p.job->within_guarantee && beyond(p.job->team)
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
    Resources gained = room_soon;
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
void TaskQueues::pull_urgent(Machine& m, double now) {
  if (!m.accepts_work(now) || !m.in_inventory || is_reserved(m) || !any_fits(machines_.room(m)))
    return;
  std::size_t walks = 0;
  const Job* misfit = nullptr;  // the same job's next task would not fit either
  auto next = queued_tasks_.begin();
  while (next != queued_tasks_.end() && walks < kPullsPerReport) {
    if (!any_fits(machines_.room(m))) return;
    auto [key, number] = *next++;
    if (!m.queue.tasks.empty()) {
      const ServiceOrder own = m.queue.tasks.front().service_order();
      if (is_ranked(key.first) ? key >= own : key.first >= own.first) return;
    }
    Machine* from = machines_.at(number);
    if (!from || from == &m) continue;
    auto it = find_queued(*from, key);
    if (it == from->queue.tasks.end() || it->job.get() == misfit) continue;
    if (!it->job->need.fits(machines_.room(m, key.first)) || !machines_.usable(m, *it->job, now)) {
      misfit = it->job.get();
      continue;
    }
    ++walks;
    QueuedTask item = dequeue(*from, it);
    item.chain_steps.clear();
    item.rented = false;
    JobPtr j = item.job;
    std::uint32_t task = item.task;
    if (!enter_chain(std::move(item), now)) context_.requeue(j, task);
    machines_.note_idle(*from, now);
    next = queued_tasks_.upper_bound(key);
  }
}

}  // namespace shunttrail::scheduler

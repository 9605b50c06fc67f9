// Placements and their proofs: reports, and what follows from what they show or do not show.
#include "scheduler/placements.h"

#include <algorithm>

namespace shunt::fleet {

using jobs::Job;
using jobs::JobPtr;
using wire::RunState;
using wire::Why;

namespace {
const double kPriorityWeight[wire::kPriorities] = {8, 4, 1, 0.5};
constexpr std::size_t kFailedEverywhere = 3;  // machines: then the job itself is at fault
constexpr double kBackoff = 5, kBackoffMost = 60;
constexpr double kUnknownPause = 3;  // its description may still be on its way
constexpr double kFullPause = 1;
// The run time that a replica's cost counts: as long as it keeps others from its room at least.
constexpr double kReplicaRun = 60;
}  // namespace

Placements::Placements(Common& common, Machines& machines, std::uint64_t token, double now)
    : common_(common),
      machines_(machines),
      token_(token),
      next_attempt_(token << 20),
      taken_at_(now),
      used_(common.settings.teams.size()) {}

Placement* Placements::find(const Held& h) {
  Machine* m = machines_.at(h.machine);
  if (!m) return nullptr;
  for (Placement& p : m->placed.list)
    if (p.attempt == h.attempt && p.task == h.task && p.job == h.job) return &p;
  return nullptr;
}

void Placements::hold(Machine& m, const Placement& p) {
  m.placed.used += p.job->need;
  if (p.job->team >= 0) used_[p.job->team] += p.job->need;
  if (p.task < p.job->places.size()) ++p.job->places[p.task];
  if (m.zone >= 0) ++p.job->in_zone[m.zone];
  ++p.job->placed;
  p.job->pending.erase(p.task);
}
// The placement is proven not to run, now or later: what it held is free again.
void Placements::release(Machine& m, Placement& p, double now, bool again) {
  if (p.released) return;
  p.released = true;
  m.placed.used -= p.job->need;
  if (p.job->team >= 0) used_[p.job->team] -= p.job->need;
  if (p.task < p.job->places.size()) --p.job->places[p.task];
  if (m.zone >= 0) --p.job->in_zone[m.zone];
  if (--p.job->placed == 0) {
    p.job->round = 0;
    p.job->in_round.clear();
  }
  if (again) common_.requeue(p.job, p.task);
  machines_.note_idle(m, now);
  common_.stirred = true;
}

// Every learner that the task passed through records its finish cost (DESIGN point 6).
void Placements::record_cost(const Placement& p, const Machine& m, double now) {
  const Job& j = *p.job;
  const auto& type = common_.catalogue.types[m.type];
  double rate = common_.catalogue.rate(m.tier());
  double share = 0;
  auto part = [&](std::int64_t need, std::int64_t all) {
    if (all > 0) share = std::max(share, static_cast<double>(need) / static_cast<double>(all));
  };
  part(j.need.cpus, type.room.cpus);
  part(j.need.gpus, type.room.gpus);
  part(j.need.mem, type.room.mem);
  double weight = kPriorityWeight[static_cast<int>(j.priority)] * common_.catalogue.base_rate;
  double started = p.started > 0 ? p.started : now;
  double cost = rate * share * (j.spec.service ? kReplicaRun : now - started);
  if (p.item.rented) cost += rate * type.spec.boot_s;
  cost += common_.tuning.wait_weight * weight * std::max(0.0, started - p.item.since);
  if (now > j.due) cost += common_.tuning.late_weight * weight;
  for (const auto& s : p.item.trail) s.learner->record(s.context, s.arm, cost);
}

// ---- what comes to be placed

void Placements::place(Machine& m, Item item) {
  Job& j = *item.job;
  Placement p;
  p.job = item.job;
  p.task = item.task;
  p.attempt = j.spec.gang && j.round ? j.round : ++next_attempt_;
  if (j.spec.gang) {
    j.round = p.attempt;
    j.in_round.insert(p.task);
  }
  p.item = std::move(item);
  hold(m, p);
  m.placed.list.push_back(std::move(p));
}

void Placements::stop(Machine& m, Placement& p) {
  p.stopping = true;
  note_due(m);
  ++common_.count.preempted;
}

void Placements::inherit(Machine& m, const Held& h, double now) {
  Placement p;
  p.job = h.job;
  p.task = h.task;
  p.attempt = h.attempt;
  p.phase = Phase::committed;
  p.inherited = true;
  p.item.job = p.job;
  p.item.task = p.task;
  p.item.since = now;
  hold(m, p);
  if (p.job->spec.gang) {
    p.job->round = p.attempt;
    for (std::uint32_t i = 0; i < p.job->spec.tasks; ++i) p.job->in_round.insert(i);
  }
  m.placed.greet = true;
  note_due(m);
  m.placed.list.push_back(std::move(p));
}

// ---- what is given up

void Placements::drop_planned(Machine& m, const JobPtr& j, double now) {
  auto planned = [&](const Placement& p) { return p.job == j && p.phase == Phase::planned; };
  for (Placement& p : m.placed.list)
    if (planned(p)) release(m, p, now, false);
  std::erase_if(m.placed.list, planned);
}
void Placements::stop_directly(Machine& m, const JobPtr& j) {
  if (std::any_of(m.placed.list.begin(), m.placed.list.end(),
                  [&](const Placement& p) { return p.job == j && p.seen && !p.released; }))
    note_due(m);
}
void Placements::undo(Machine& m, Placement& p, double now) {
  p.phase = Phase::planned;
  if (!p.job->gone) return;
  release(m, p, now, false);
  std::erase_if(m.placed.list,
                [](const Placement& q) { return q.phase == Phase::planned && q.released; });
}
void Placements::lose_all(Machine& m, double now) {
  for (Placement& p : m.placed.list) {
    if (!p.released) ++common_.count.lost;
    release(m, p, now, true);
  }
}

// Its tasks are over once no answer of ours, and none of an earlier owner's, can have kept its
// lease alive.
void Placements::silent(Machine& m, double now) {
  const auto& s = common_.settings;
  double proof =
      std::max(m.last_answer + s.lease_s + 2, m.placed.token_seen ? 0.0 : taken_at_ + s.fence_s());
  if (now <= proof) return;
  for (Placement& p : m.placed.list) {
    if (p.phase == Phase::committing) continue;
    if (!p.released) ++common_.count.lost;
    release(m, p, now, true);
  }
  std::erase_if(m.placed.list, [](const Placement& p) { return p.phase != Phase::committing; });
}

void Placements::task_done(const JobPtr& j, std::uint32_t task, double now) {
  if (j->gone || j->done(task)) return;
  if (j->dirty_chunks.empty()) j->dirty_since = now;
  if (!j->mark_done(task)) return;
  ++common_.count.dones;
  if (j->listed) finished_.emplace_back(j, task);
}

void Placements::exited(Machine& m, Placement& p, double now) {
  switch (p.why) {
    case Why::done:
      if (p.task < p.job->spec.tasks) task_done(p.job, p.task, now);
      if (p.job->gone || m.type < 0) break;
      record_cost(p, m, now);
      machines_.task_done(m);
      p.job->failed_on.clear();
      p.job->backoff_s = 0;
      break;
    case Why::error:
      ++common_.count.errors;
      if (p.job->gone) break;
      // One job that fails on several machines is at fault itself and waits longer each time.
      machines_.task_failed(m, p.job->spec.id, now);
      p.job->failed_on.insert(m.name);
      if (p.job->failed_on.size() >= kFailedEverywhere) {
        p.job->backoff_s = std::clamp(p.job->backoff_s * 2, kBackoff, kBackoffMost);
        p.job->not_before = now + p.job->backoff_s;
      }
      break;
    case Why::unknown:
      p.job->not_before = std::max(p.job->not_before, now + kUnknownPause);
      break;
    case Why::no_room:
    case Why::busy:
      Machines::avoid(m, now + kFullPause);
      break;
    default:
      break;
  }
  release(m, p, now, true);
}

// ---- reports

void Placements::heard(Machine& m, const wire::Report& r, bool to_direct, double now) {
  Placed& here = m.placed;
  here.session = r.session;
  here.seq = r.seq;
  here.token = r.token;
  if (r.token == token_) {
    here.token_seen = true;
    here.greet = false;
  }
  here.strangers.clear();
  std::vector<bool> shown(here.list.size(), false);
  for (const auto& t : r.tasks) {
    std::size_t i = 0;
    while (i < here.list.size() &&
           !(here.list[i].attempt == t.attempt && here.list[i].task == t.task.index &&
             here.list[i].job->spec.id == t.task.job))
      ++i;
    if (i == here.list.size()) {
      here.strangers.push_back(t);
      // A result is a result, whoever started it: an earlier owner may have gone before it
      // could persist this.
      if (t.state == RunState::exited && t.why == Why::done)
        if (auto j = common_.jobs.find(t.task.job); j != common_.jobs.end())
          task_done(j->second, t.task.index, now);
      continue;
    }
    shown[i] = true;
    Placement& p = here.list[i];
    p.seen = true;
    // Proven not to run, and it does: whatever started it again, it is stopped like a stranger's.
    if (p.released && t.state != RunState::exited) here.strangers.push_back(t);
    if (p.state != RunState::exited || !p.released) {
      p.state = t.state;
      p.why = t.why;
      if (t.state == RunState::running && p.started == 0) {
        p.started = now;
        // A replica has no end to record its cost at.
        if (p.job->spec.service && !p.inherited && m.type >= 0) record_cost(p, m, now);
      }
      if (t.state == RunState::exited && !p.released) exited(m, p, now);
    }
    if (t.state != RunState::exited && !p.job->gone) machines_.note_image(m, p.job->image);
  }
  absent(m, shown, r, to_direct, now);
}

// What the report does not show. A start sent in answer to report w is settled by any later
// report: the worker has carried it out or dropped it before it reports again. Nothing is
// concluded about an earlier owner's placement until the worker has shown our token: before
// that, the earlier owner's start could still be on its way.
void Placements::absent(Machine& m, const std::vector<bool>& shown, const wire::Report& r,
                        bool to_direct, double now) {
  const bool under_us = r.token == token_;
  std::vector<bool> erase(m.placed.list.size(), false);
  for (std::size_t i = 0; i < shown.size(); ++i) {
    if (shown[i]) continue;
    Placement& p = m.placed.list[i];
    if (to_direct && !(p.inherited && !p.sent)) continue;
    // What has been seen was carried out, though its direct order was taken for lost and is not
    // counted as sent any more. (An earlier owner's may be on its way a second time.)
    if (p.sent || (p.seen && !p.inherited)) {
      bool later = r.session > p.sent_session;
      if (later || p.seen || p.reaping) {
        if (!p.released) ++common_.count.lost;
        release(m, p, now, true);
        erase[i] = true;
      } else if (!p.direct) {
        p.sent = false;  // the answer did not get there: sent once more, same attempt
        m.start_lost = true;
      }
    } else if (p.inherited && (under_us || p.released)) {
      release(m, p, now, true);
      erase[i] = true;
    } else if (p.job->gone && !p.inherited && p.phase == Phase::committed && settled(m, p)) {
      release(m, p, now, false);  // not there, nothing on its way, and none will be sent
      erase[i] = true;
    }
  }
  for (std::size_t i = erase.size(); i-- > 0;)
    if (erase[i]) m.placed.list.erase(m.placed.list.begin() + static_cast<long>(i));
  machines_.note_idle(m, now);
}

}  // namespace shunt::fleet

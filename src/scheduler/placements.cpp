// Placements and their proofs: reports, and what follows from what they show or do not show.
#include "scheduler/placements.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using wire::ExitReason;
using wire::TaskState;

namespace {
const double kPriorityWeight[wire::kPriorities] = {8, 4, 1, 0.5};
constexpr std::size_t kFailedEverywhere = 3;  // machines: then the job itself is at fault
constexpr double kBackoff = 5, kBackoffMost = 60;
constexpr double kUnknownPause = 3;  // its description may still be on its way
constexpr double kFullPause = 1;
// The run time that a replica's cost counts: as long as it keeps others from its room at least.
constexpr double kReplicaRun = 60;
}  // namespace

Placements::Placements(ShardContext& common, Machines& machines, std::uint64_t token, double now)
    : context_(common),
      machines_(machines),
      token_(token),
      // A million attempts under one token. Tokens are revisions of the state service: whoever
      // comes next has a higher one by every commit since, and a commit starts a few hundred tasks.
      next_attempt_(token << 20),
      opened_at_(now),
      used_(common.settings.teams.size()) {}

Placement* Placements::find(const PersistedPlacement& h) {
  Machine* m = machines_.at(h.machine);
  if (!m) return nullptr;
  for (Placement& p : m->tasks.placements)
    if (p.attempt == h.attempt && p.task == h.task && p.job == h.job) return &p;
  return nullptr;
}

void Placements::reserve_room(Machine& m, const Placement& p) {
  m.tasks.used += p.job->need;
  if (p.job->team >= 0) used_[p.job->team] += p.job->need;
  if (p.task < p.job->placements.size()) ++p.job->placements[p.task];
  if (m.zone >= 0) ++p.job->in_zone[m.zone];
  ++p.job->placed;
  p.job->pending.erase(p.task);
}
// The placement is proven not to run, now or later: what it held is free again.
void Placements::release(Machine& m, Placement& p, double now, bool again) {
  if (p.released) return;
  p.released = true;
  m.tasks.used -= p.job->need;
  if (p.job->team >= 0) used_[p.job->team] -= p.job->need;
  if (p.task < p.job->placements.size()) --p.job->placements[p.task];
  if (m.zone >= 0) --p.job->in_zone[m.zone];
  if (--p.job->placed == 0) {
    p.job->round = 0;
    p.job->in_round.clear();
  }
  if (again) context_.requeue(p.job, p.task);
  machines_.note_idle(m, now);
  context_.scheduling_due = true;
}

// Every learner that the task passed through records its finish cost (DESIGN point 6).
void Placements::record_cost(const Placement& p, const Machine& m, double now) {
  const Job& j = *p.job;
  const auto& type = context_.catalogue.types[m.type];
  double rate = context_.catalogue.rate(m.tier());
  double share = 0;
  auto part = [&](std::int64_t need, std::int64_t all) {
    if (all > 0) share = std::max(share, static_cast<double>(need) / static_cast<double>(all));
  };
  part(j.need.cpus, type.room.cpus);
  part(j.need.gpus, type.room.gpus);
  part(j.need.mem, type.room.mem);
  double weight = kPriorityWeight[static_cast<int>(j.priority)] * context_.catalogue.base_rate;
  double started = p.started > 0 ? p.started : now;
  double cost = rate * share * (j.spec.service ? kReplicaRun : now - started);
  if (p.queued_task.rented) cost += rate * type.spec.boot_s;
  cost += context_.tuning.wait_weight * weight * std::max(0.0, started - p.queued_task.since);
  if (now > j.due) cost += context_.tuning.late_weight * weight;
  for (const auto& s : p.queued_task.chain_steps) s.learner->record(s.context, s.arm, cost);
}

// ---- what comes to be placed

void Placements::place(Machine& m, QueuedTask item) {
  Job& j = *item.job;
  Placement p;
  p.job = item.job;
  p.task = item.task;
  p.attempt = j.spec.gang && j.round ? j.round : ++next_attempt_;
  if (j.spec.gang) {
    j.round = p.attempt;
    j.in_round.insert(p.task);
  }
  p.queued_task = std::move(item);
  reserve_room(m, p);
  m.tasks.placements.push_back(std::move(p));
}

void Placements::stop(Machine& m, Placement& p) {
  p.preempted = true;
  note_direct_due(m);
  ++context_.counters.preempted;
}

void Placements::recover_placement(Machine& m, const PersistedPlacement& h, double now) {
  Placement p;
  p.job = h.job;
  p.task = h.task;
  p.attempt = h.attempt;
  p.phase = Phase::committed;
  p.recovered = true;
  p.queued_task.job = p.job;
  p.queued_task.task = p.task;
  p.queued_task.since = now;
  reserve_room(m, p);
  if (p.job->spec.gang) {
    p.job->round = p.attempt;
    for (std::uint32_t i = 0; i < p.job->spec.tasks; ++i) p.job->in_round.insert(i);
  }
  m.tasks.needs_resync = true;
  note_direct_due(m);
  m.tasks.placements.push_back(std::move(p));
}

// ---- what is given up

void Placements::drop_planned(Machine& m, const JobPtr& j, double now) {
  auto planned = [&](const Placement& p) { return p.job == j && p.phase == Phase::planned; };
  for (Placement& p : m.tasks.placements)
    if (planned(p)) release(m, p, now, false);
  std::erase_if(m.tasks.placements, planned);
}
void Placements::stop_directly(Machine& m, const JobPtr& j) {
  if (std::any_of(m.tasks.placements.begin(), m.tasks.placements.end(),
                  [&](const Placement& p) { return p.job == j && p.seen && !p.released; }))
    note_direct_due(m);
}
void Placements::undo(Machine& m, Placement& p, double now) {
  p.phase = Phase::planned;
  if (!p.job->over) return;
  release(m, p, now, false);
  std::erase_if(m.tasks.placements,
                [](const Placement& q) { return q.phase == Phase::planned && q.released; });
}
void Placements::machine_gone(Machine& m, double now) {
  for (Placement& p : m.tasks.placements) {
    if (!p.released) ++context_.counters.lost;
    release(m, p, now, true);
  }
}

// Its tasks are over once no answer of ours, and none of an earlier owner's, can have kept its
// lease alive.
void Placements::lease_expired(Machine& m, double now) {
  const auto& s = context_.settings;
  double proof = std::max(m.last_answer + s.lease_s + 2,
                          m.tasks.token_seen ? 0.0 : opened_at_ + s.fencing_wait_s());
  if (now <= proof) return;
  for (Placement& p : m.tasks.placements) {
    if (p.phase == Phase::committing) continue;
    if (!p.released) ++context_.counters.lost;
    release(m, p, now, true);
  }
  std::erase_if(m.tasks.placements,
                [](const Placement& p) { return p.phase != Phase::committing; });
}

void Placements::task_done(const JobPtr& j, std::uint32_t task, double now) {
  if (j->over || j->done(task)) return;
  if (j->dirty_chunks.empty()) j->dirty_since = now;
  if (!j->mark_done(task)) return;
  ++context_.counters.dones;
  if (j->queued) finished_tasks_.emplace_back(j, task);
}

void Placements::exited(Machine& m, Placement& p, double now) {
  switch (p.exit_reason) {
    case ExitReason::done:
      if (p.task < p.job->spec.tasks) task_done(p.job, p.task, now);
      if (p.job->over || m.type < 0) break;
      record_cost(p, m, now);
      machines_.task_done(m);
      p.job->failed_on.clear();
      p.job->backoff_s = 0;
      break;
    case ExitReason::error:
      ++context_.counters.errors;
      if (p.job->over) break;
      // One job that fails on several machines is at fault itself and waits longer each time.
      machines_.task_failed(m, p.job->spec.id, now);
      p.job->failed_on.insert(m.name);
      if (p.job->failed_on.size() >= kFailedEverywhere) {
        p.job->backoff_s = std::clamp(p.job->backoff_s * 2, kBackoff, kBackoffMost);
        p.job->not_before = now + p.job->backoff_s;
      }
      break;
    case ExitReason::unknown:
      p.job->not_before = std::max(p.job->not_before, now + kUnknownPause);
      break;
    case ExitReason::no_room:
    case ExitReason::busy:
      Machines::avoid(m, now + kFullPause);
      break;
    default:
      break;
  }
  release(m, p, now, true);
}

// ---- reports

void Placements::heartbeat_received(Machine& m, const wire::Heartbeat& r, bool to_direct,
                                    double now) {
  MachineTasks& here = m.tasks;
  here.incarnation = r.incarnation;
  here.sequence = r.sequence;
  here.token = r.token;
  if (r.token == token_) {
    here.token_seen = true;
    here.needs_resync = false;
  }
  here.unknown_tasks.clear();
  std::vector<bool> shown(here.placements.size(), false);
  for (const auto& t : r.tasks) {
    std::size_t i = 0;
    while (i < here.placements.size() &&
           !(here.placements[i].attempt == t.attempt && here.placements[i].task == t.task.index &&
             here.placements[i].job->spec.id == t.task.job))
      ++i;
    if (i == here.placements.size()) {
      here.unknown_tasks.push_back(t);
      // A result is a result, whoever started it: an earlier owner may have gone before it
      // could persist this.
      if (t.state == TaskState::exited && t.exit_reason == ExitReason::done)
        if (auto j = context_.jobs.find(t.task.job); j != context_.jobs.end())
          task_done(j->second, t.task.index, now);
      continue;
    }
    shown[i] = true;
    Placement& p = here.placements[i];
    p.seen = true;
    // Proven not to run, and it does: whatever started it again, it is stopped like a unknown
    // task's.
    if (p.released && t.state != TaskState::exited) here.unknown_tasks.push_back(t);
    if (p.state != TaskState::exited || !p.released) {
      p.state = t.state;
      p.exit_reason = t.exit_reason;
      if (t.state == TaskState::running && p.started == 0) {
        p.started = now;
        // A replica has no end to record its cost at.
        if (p.job->spec.service && !p.recovered && m.type >= 0) record_cost(p, m, now);
      }
      if (t.state == TaskState::exited && !p.released) exited(m, p, now);
    }
    if (t.state != TaskState::exited && !p.job->over) machines_.note_image(m, p.job->image);
  }
  absent(m, shown, r, to_direct, now);
}

// What the report does not show. A start sent in answer to report w is settled by any later
// report: the worker has carried it out or dropped it before it reports again. Nothing is
// concluded about an earlier owner's placement until the worker has shown our token: before
// that, the earlier owner's start could still be on its way.
void Placements::absent(Machine& m, const std::vector<bool>& shown, const wire::Heartbeat& r,
                        bool to_direct, double now) {
  const bool under_us = r.token == token_;
  std::vector<bool> erase(m.tasks.placements.size(), false);
  for (std::size_t i = 0; i < shown.size(); ++i) {
    if (shown[i]) continue;
    Placement& p = m.tasks.placements[i];
    if (to_direct && !(p.recovered && !p.sent)) continue;
    // What has been seen was carried out, though its direct order was taken for lost and is not
    // counted as sent any more. (An earlier owner's may be on its way a second time.)
    if (p.sent || (p.seen && !p.recovered)) {
      bool later = r.incarnation > p.sent_incarnation;
      if (later || p.seen || p.acknowledging) {
        if (!p.released) ++context_.counters.lost;
        release(m, p, now, true);
        erase[i] = true;
      } else if (!p.sent_directly) {
        p.sent = false;  // the answer did not get there: sent once more, same attempt
        m.start_lost = true;
      }
    } else if (p.recovered && (under_us || p.released)) {
      release(m, p, now, true);
      erase[i] = true;
    } else if (p.job->over && !p.recovered && p.phase == Phase::committed &&
               is_acknowledged(m, p)) {
      release(m, p, now, false);  // not there, nothing on its way, and none will be sent
      erase[i] = true;
    }
  }
  for (std::size_t i = erase.size(); i-- > 0;)
    if (erase[i]) m.tasks.placements.erase(m.tasks.placements.begin() + static_cast<long>(i));
  machines_.note_idle(m, now);
}

}  // namespace shunttrail::scheduler

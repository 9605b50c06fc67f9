// Reservations for large tasks that have waited for long (docs/design.md, X14).
#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

#include "scheduler/task_queues.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
constexpr double kOverdue = 75;  // a job has waited so long, and none of its tasks has begun
constexpr double kUrgent = 45;   // an urgent one
constexpr double kFirst = 150;   // from then on it goes before more urgent ones
constexpr double kLarge = 0.4;   // of a machine: what is smaller finds room without
constexpr double kHeldFor = 60;  // a reservation, and a team's limit that is kept free
// A machine that has had room beside what waits for longer gives it to that first: nothing waits
// beside room for as long as the two together take.
constexpr double kRoomBeside = 20;
constexpr double kPause = 30;       // of the same machine or team, after one that came to nothing
constexpr std::size_t kOneIn = 32;  // of a shard's machines is reserved at a time, but one at least
constexpr std::size_t kUrgentOneIn = 3;  // for urgent work
constexpr double kMovesReplica = 20;     // a machine with a replica, which has to move, comes later
constexpr double kLeastLeft = 5;         // of a task that runs for longer than was estimated
bool urgent(const Job& j) { return j.priority_band() < Job::kGuaranteed; }
}  // namespace

bool TaskQueues::is_reserved(const Machine& m) const {
  if (!m.queue.reserved_for) return false;
  auto at = queued_tasks_.find(*m.queue.reserved_for);
  return at != queued_tasks_.end() && at->second == m.number;
}

// The longest-waiting first once they have waited for very long, the more urgent before that.
std::vector<JobPtr> TaskQueues::overdue(double now) const {
  std::vector<JobPtr> out;
  auto large = [&](const Job& j) {
    const auto& types = context_.catalogue.types;
    return std::any_of(types.begin(), types.end(), [&](const auto& t) {
      return j.need.fits(t.room) && share_of(j.need, t.room) >= kLarge;
    });
  };
  for (const auto& [id, j] : context_.jobs)
    if (!j->placed && !j->done_count() && j->not_before <= now &&
        now - j->since > (urgent(*j) ? kUrgent : kOverdue) && (j->queued || !j->pending.empty()) &&
        large(*j))
      out.push_back(j);
  auto rank = [&](const JobPtr& j) {
    const bool first = now - j->since > kFirst;
    return std::tuple(!first, first ? 0 : j->priority_band(), j->since);
  };
  std::sort(out.begin(), out.end(),
            [&](const JobPtr& a, const JobPtr& b) { return rank(a) < rank(b); });
  return out;
}

// Small tasks of its team would take what ends, one by one, and it would never have enough.
void TaskQueues::reserve_quota(const JobPtr& j, double now) {
  QuotaReservation& s = quota_reservations_[j->team];
  if (!s.job && now - s.at > kHeldFor + kPause) s = {j, now};
}

// Seconds until the machine has room for one task, if nothing more begins there. Infinite: never.
double TaskQueues::time_until_room(const Machine& m, const Job& j, double now) const {
  Resources room = machines_.room(m);
  if (j.need.fits(room)) return 0;
  std::vector<std::pair<double, Resources>> ends;
  for (const Placement& p : m.tasks.placements) {
    if (p.released) continue;
    const double run = p.job->spec.estimate_s;
    const double left = p.job->spec.service ? kMovesReplica
                        : p.started > 0     ? std::max(kLeastLeft, run - (now - p.started))
                                            : run;
    ends.emplace_back(left, p.job->need);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [left, need] : ends) {
    room += need;
    if (j.need.fits(room)) return left;
  }
  return std::numeric_limits<double>::infinity();
}

void TaskQueues::make_reservations(Machine& m, const JobPtr& j, double now) {
  QueuedTask item;
  if (j->pending.empty()) {
    const auto at = std::find_if(queued_tasks_.begin(), queued_tasks_.end(), [&](const auto& e) {
      return find_queued(*machines_.at(e.second), e.first)->job == j;
    });
    if (at == queued_tasks_.end()) return;
    Machine& from = *machines_.at(at->second);
    item = dequeue(from, find_queued(from, at->first));
    machines_.note_idle(from, now);
  } else {
    item = next_pending_task(j, now);
  }
  item.chain_steps.clear();  // it has not come this way by the chain
  item.rented = false;
  machines_.reused(m, now);
  requeue_all(m);
  m.queue.reserved_for = item.service_order();
  m.queue.reserved_at = now;
  enqueue(m, std::move(item));
  // Replicas have no end: they move, as for a machine that is drained.
  Resources room = machines_.room(m);
  for (const Placement& p : m.tasks.placements)
    if (!p.released && (!p.job->spec.service || p.preempted)) room += p.job->need;
  for (Placement& p : m.tasks.placements) {
    if (j->need.fits(room)) break;
    if (p.released || !p.job->spec.service || p.preempted) continue;
    room += p.job->need;
    placements_.stop(m, p);
  }
  place_queued(m, now);
  preempt(m, now);
}

void TaskQueues::make_reservations(double now) {
  for (QuotaReservation& s : quota_reservations_)
    if (s.job && (s.job->over || s.job->placed || now - s.at > kHeldFor)) s.job = nullptr;
  std::size_t up = 0;
  std::set<JobPtr> held;  // of whose tasks one has a machine reserved
  for (const auto& [n, m] : machines_.all()) {
    up += m->state == Machine::up;
    if (!is_reserved(*m) || now - m->queue.reserved_at > kHeldFor || !m->accepts_work(now))
      m->queue.reserved_for.reset();
    else
      held.insert(find_queued(*m, *m->queue.reserved_for)->job);
  }
  const std::size_t most = std::max<std::size_t>(1, up / kOneIn);
  const std::size_t urgent_most = std::max<std::size_t>(1, up / kUrgentOneIn);
  for (const JobPtr& j : overdue(now)) {
    if (held.size() >= (urgent(*j) ? urgent_most : most) || held.contains(j)) continue;
    Machine* best = nullptr;
    double soonest = kHeldFor;
    for (const auto& [n, m] : machines_.all()) {
      if (!m->accepts_work(now) || !m->in_inventory || !machines_.usable(*m, *j, now) ||
          is_reserved(*m) || now - m->queue.reserved_at < kHeldFor + kPause ||
          (m->queue.idle_capacity_since >= 0 && now - m->queue.idle_capacity_since > kRoomBeside) ||
          share_of(j->need, context_.catalogue.types[m->type].room) < kLarge)
        continue;
      const double in = time_until_room(*m, *j, now);
      if (in < soonest) soonest = in, best = m.get();
    }
    if (!best) continue;
    if (!within_quota(*j, false)) {
      reserve_quota(j, now);
      continue;
    }
    make_reservations(*best, j, now);
    held.insert(j);
  }
}

}  // namespace shunttrail::scheduler

#include "scheduler/replica_consolidation.h"

#include <algorithm>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;
using wire::TaskState;

namespace {
constexpr double kGap = 1;  // between two looks
// A move costs a replica less than half a second; each is moved once in so many seconds on average
// at the most, so that moving takes about a thousandth of their time.
constexpr double kMovedEvery = 300;
// Moves that may be made at once after a quiet time, of the whole shard; a machine with more
// replicas than that is not emptied.
constexpr double kMovesKept = 30;
constexpr double kSettled = 40;    // a replica that has just started is not moved again
constexpr double kMostUsed = 0.5;  // of its vcpus, for a machine to be emptied
}  // namespace

double ReplicaConsolidation::saving(const Machine& m, double now) const {
  if (!m.accepts_work(now) || !m.in_inventory || m.type < 0 || m.tasks.placements.empty() ||
      !m.queue.tasks.empty())
    return 0;
  const auto full = context_.catalogue.types[static_cast<std::size_t>(m.type)].room.cpus;
  if (static_cast<double>(m.tasks.used.cpus) > kMostUsed * static_cast<double>(full)) return 0;
  for (const Placement& p : m.tasks.placements)
    if (!p.job->spec.service || p.job->over || p.released || p.preempted || !p.seen ||
        p.state != TaskState::running || now - p.started < kSettled)
      return 0;
  return context_.catalogue.rate(m.tier()) / static_cast<double>(m.tasks.placements.size());
}

// To fuller or cheaper machines only, so that no replica comes back to where it was.
bool ReplicaConsolidation::room_elsewhere(const Machine& m, Taken& taken, double now) const {
  const double rate = context_.catalogue.rate(m.tier());
  for (const Placement& p : m.tasks.placements) {
    const Job& j = *p.job;
    bool found = false;
    for (const auto& [n, to] : machines_.all()) {
      if (to.get() == &m || !to->accepts_work(now) || !to->in_inventory ||
          to->tasks.placements.empty() || !to->queue.tasks.empty() ||
          !machines_.type_ok(j, to->type, to->spot) || !Machines::warm(*to, j.image))
        continue;
      if (to->tasks.used.cpus <= m.tasks.used.cpus && context_.catalogue.rate(to->tier()) >= rate)
        continue;
      Resources& room = taken.room[n];
      if (!j.need.fits(machines_.room(*to) - room)) continue;
      int& more = taken.in_zone[{&j, to->zone}];
      if (to->zone != m.zone && (more || !machines_.zone_ok(j, to->zone))) continue;
      ++more;
      room += j.need;
      found = true;
      break;
    }
    if (!found) return false;
  }
  return true;
}

void ReplicaConsolidation::run(double now) {
  if (now < last_run_at_ + kGap) return;
  const double past = std::min(now - last_run_at_, 10 * kGap);
  last_run_at_ = now;
  double replicas = 0;
  std::vector<std::pair<double, Machine*>> order;
  for (const auto& [n, m] : machines_.all()) {
    for (const Placement& p : m->tasks.placements) replicas += p.job->spec.service && !p.released;
    if (const double s = saving(*m, now); s > 0) order.emplace_back(s, m.get());
  }
  moves_ = std::min(moves_ + past * replicas / kMovedEvery, kMovesKept);
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  Taken taken;
  for (const auto& [s, m] : order) {
    const auto moves = static_cast<double>(m->tasks.placements.size());
    const auto here = taken.room.find(m->number);
    if (moves > moves_ || (here != taken.room.end() && here->second.cpus > 0)) continue;
    Taken with = taken;
    if (!room_elsewhere(*m, with, now)) continue;
    taken = std::move(with);
    moves_ -= moves;
    m->leaving = true;
    for (Placement& p : m->tasks.placements) placements_.stop(*m, p);
    ++context_.counters.consolidated;
  }
}

}  // namespace shunttrail::scheduler

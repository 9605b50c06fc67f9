#include "scheduler/reservations.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "scheduler/reservation_limits.h"

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Time, in seconds, that a job must have waited without starting any task to be overdue.
constexpr double kOverdueAfterS = 75;
constexpr double kUrgentOverdueAfterS = 45;
/// Time, in seconds, that a job must have waited to take precedence over more urgent ones.
constexpr double kTopPriorityAfterS = 150;
/// Minimum share of a machine for a task to count as large. Smaller tasks find free capacity
/// without a reservation.
constexpr double kLargeShare = 0.4;
/// A machine that has had idle capacity for longer than this, in seconds, is not reserved, so that
/// backfill can use it first: no task must wait next to free capacity for as long as backfill and a
/// reservation take together.
constexpr double kMaxIdleCapacityS = 20;
/// Number of a shard's machines for each reservation at a time; at least one reservation is always
/// allowed.
constexpr std::size_t kMachinesPerReservation = 32;
constexpr std::size_t kMachinesPerUrgentReservation = 3;
/// Time, in seconds, that is assumed for moving a replica, so that a machine without replicas is
/// preferred.
constexpr double kReplicaMoveS = 20;
/// Minimum time, in seconds, assumed to be left of a running task, which applies if it exceeds its
/// estimate.
constexpr double kMinTimeLeftS = 5;

bool is_urgent(const Job& job) { return job.priority_band() < Job::kGuaranteed; }

double estimated_time_left(const Placement& placement, double now) {
  if (placement.job->spec.service) return kReplicaMoveS;
  const double estimate_s = placement.job->spec.estimate_s;
  if (placement.started <= 0) return estimate_s;
  return std::max(kMinTimeLeftS, estimate_s - (now - placement.started));
}

bool is_overdue(const Job& job, double now) {
  // A foreign job does not get a reservation: its tasks go back to their own shard instead of
  // taking capacity from this shard's jobs.
  if (job.is_foreign || job.placed || job.done_count() || job.not_before > now) return false;
  const bool waits = job.queued || !job.pending.empty();
  return waits && now - job.since > (is_urgent(job) ? kUrgentOverdueAfterS : kOverdueAfterS);
}

/// Resources that a task frees when it ends.
struct Release {
  double time_left_s = 0;
  Resources resources;
};
}  // namespace

// ---- overdue jobs

bool Reservations::is_large(const Job& job) const {
  const auto& types = context_.catalogue.types;
  return std::any_of(types.begin(), types.end(), [&](const MachineCatalogue::Type& type) {
    return job.need.fits(type.capacity) && share_of(job.need, type.capacity) >= kLargeShare;
  });
}

// Returns overdue jobs with large tasks: first those that have waited longer than
// kTopPriorityAfterS, the oldest first, then the others, the more urgent first.
std::vector<JobPtr> Reservations::overdue_jobs(double now) const {
  std::vector<JobPtr> overdue;
  for (const auto& [id, job] : context_.jobs)
    if (is_overdue(*job, now) && is_large(*job)) overdue.push_back(job);
  const auto rank = [&](const JobPtr& job) {
    const bool top_priority = now - job->since > kTopPriorityAfterS;
    return std::tuple(!top_priority, top_priority ? 0 : job->priority_band(), job->since);
  };
  std::sort(overdue.begin(), overdue.end(),
            [&](const JobPtr& a, const JobPtr& b) { return rank(a) < rank(b); });
  return overdue;
}

// ---- choice of a machine

bool Reservations::can_be_reserved(const Machine& machine, const Job& job, double now) const {
  if (!machine.accepts_work(now) || !machine.in_inventory) return false;
  if (!machines_.usable(machine, job, now) || queues_.is_reserved(machine)) return false;
  const MachineQueue& queue = machine.queue;
  if (now - queue.reserved_at < kReservationDurationS + kReservationPauseS) return false;
  if (queue.idle_capacity_since >= 0 && now - queue.idle_capacity_since > kMaxIdleCapacityS)
    return false;
  const auto& type = context_.catalogue.types[static_cast<std::size_t>(machine.type)];
  return share_of(job.need, type.capacity) >= kLargeShare;
}

// Returns the seconds until the machine has free capacity for one task if nothing else starts
// there, or infinity if that never happens.
double Reservations::time_until_room(const Machine& machine, const Job& job, double now) const {
  Resources room = machines_.free_capacity(machine);
  if (job.need.fits(room)) return 0;
  std::vector<Release> releases;
  for (const Placement& placement : machine.tasks.placements)
    if (!placement.released)
      releases.push_back({estimated_time_left(placement, now), placement.job->need});
  std::sort(releases.begin(), releases.end(),
            [](const Release& a, const Release& b) { return a.time_left_s < b.time_left_s; });
  for (const Release& release : releases) {
    room += release.resources;
    if (job.need.fits(room)) return release.time_left_s;
  }
  return std::numeric_limits<double>::infinity();
}

// Returns the machine that has free capacity for the job soonest, or null if none has it within the
// duration of a reservation.
Machine* Reservations::soonest_free_machine(const Job& job, double now) const {
  Machine* best = nullptr;
  double soonest_s = kReservationDurationS;
  for (const auto& [number, machine] : machines_.all()) {
    if (!can_be_reserved(*machine, job, now)) continue;
    const double time_left_s = time_until_room(*machine, job, now);
    if (time_left_s >= soonest_s) continue;
    soonest_s = time_left_s;
    best = machine.get();
  }
  return best;
}

// ---- reserving

// Takes a pending task of the job, or else the first of its queued tasks. Returns nullopt if there
// is neither.
std::optional<QueuedTask> Reservations::take_task(const JobPtr& job, double now) {
  if (!job->pending.empty()) return queues_.take_pending(job, now);
  const auto& tasks = queues_.tasks();
  const auto queued = std::find_if(tasks.begin(), tasks.end(), [&](const auto& entry) {
    return TaskQueues::find(*machines_.at(entry.second), entry.first)->job == job;
  });
  if (queued == tasks.end()) return std::nullopt;
  Machine& from = *machines_.at(queued->second);
  QueuedTask task = queues_.dequeue(from, TaskQueues::find(from, queued->first));
  from.note_idle(now);
  return task;
}

void Reservations::reserve(Machine& machine, const JobPtr& job, double now) {
  std::optional<QueuedTask> task = take_task(job, now);
  if (!task) return;
  task->clear_chain();
  machines_.reused(machine, now);
  queues_.requeue_all(machine);
  machine.queue.reserved_for = task->service_order();
  machine.queue.reserved_at = now;
  queues_.enqueue(machine, std::move(*task));
  move_replicas(machine, *job);
  service_.place_queued(machine, now);
  preemption_.make_room(machine, now);
}

// Stops replicas, which do not end on their own: as many as the task needs in addition to the
// capacity that ending tasks free.
void Reservations::move_replicas(Machine& machine, const Job& job) {
  Resources room = machines_.free_capacity(machine);
  for (const Placement& placement : machine.tasks.placements)
    if (!placement.released && (!placement.job->spec.service || placement.preempted))
      room += placement.job->need;
  for (Placement& placement : machine.tasks.placements) {
    if (job.need.fits(room)) break;
    if (placement.released || !placement.job->spec.service || placement.preempted) continue;
    room += placement.job->need;
    placements_.stop(machine, placement);
  }
}

Reservations::Active Reservations::expire(double now) {
  quota_.expire_reservations(now);
  Active active;
  std::size_t machines_up = 0;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state == Machine::up) ++machines_up;
    MachineQueue& queue = machine->queue;
    if (!queues_.is_reserved(*machine) || now - queue.reserved_at > kReservationDurationS ||
        !machine->accepts_work(now))
      queue.reserved_for.reset();
    else
      active.jobs.insert(TaskQueues::find(*machine, *queue.reserved_for)->job);
  }
  active.limit = std::max<std::size_t>(1, machines_up / kMachinesPerReservation);
  active.urgent_limit = std::max<std::size_t>(1, machines_up / kMachinesPerUrgentReservation);
  return active;
}

void Reservations::run(double now) {
  Active active = expire(now);
  for (const JobPtr& job : overdue_jobs(now)) {
    const std::size_t limit = is_urgent(*job) ? active.urgent_limit : active.limit;
    if (active.jobs.size() >= limit || active.jobs.contains(job)) continue;
    Machine* machine = soonest_free_machine(*job, now);
    if (!machine) continue;
    if (!quota_.allows(*job, TeamQuota::Counted::placed)) {
      quota_.reserve(job, now);
      continue;
    }
    reserve(*machine, job, now);
    active.jobs.insert(job);
  }
}

}  // namespace shunttrail::scheduler

#include "scheduler/admission.h"

#include <algorithm>
#include <utility>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
// These bound how long one pass keeps all else waiting, since each walk looks at every machine;
// what is left goes on with the next pass, heartbeat or check. 256,000 tasks are 640 passes.

/// Walks through the chain in one pass.
constexpr std::size_t kMaxWalksPerPass = 400;
/// Tasks from other queues that enter the chain when one machine reports room.
constexpr std::size_t kMaxPullsPerHeartbeat = 32;
/// Tasks that change queues in one call of requeue_blocked.
constexpr std::size_t kMaxMovesPerCall = 32;
/// A task waits in a queue for so long at the most while a machine can be rented for it.
constexpr double kMaxQueueWaitS = 60;
}  // namespace

// ---- into the chain

Admission::EntryResult Admission::enter_chain(QueuedTask task, ChainWalk::KnownCapacity capacity,
                                              double now) {
  ChainWalk::Result result = walk_.walk(task, capacity, now);
  chain::Outcome& outcome = result.outcome;
  if (outcome.kind == chain::Outcome::stalled) return {false, result.found_no_room};
  task.chain_steps = std::move(outcome.steps);
  if (outcome.kind == chain::Outcome::rented) {
    const int zone = rentals_.pick_zone(*task.job, outcome.tier, now);
    task.rented = true;
    queues_.enqueue(rentals_.order(outcome.tier, zone, now), std::move(task));
    return {true, result.found_no_room};
  }
  Machine& machine = *machines_.at(outcome.machine);
  machines_.reused(machine, now);
  const ServiceOrder order = task.service_order();
  queues_.enqueue(machine, std::move(task));
  // No further than this task: what waits behind it must not take the room that other urgent tasks
  // are just being pulled to.
  if (machine.state == Machine::up) service_.place_queued(machine, now, order);
  preemption_.make_room(machine, now);
  return {true, result.found_no_room};
}

void Admission::admit_pending(double now) {
  quota_.update_guarantees(now);
  PassState pass;
  for (const JobPtr& job : queues_.pending_jobs(now)) admit_job(job, pass, now);
  if (pass.walks >= kMaxWalksPerPass) context_.scheduling_due = true;
}

void Admission::admit_job(const JobPtr& job, PassState& pass, double now) {
  const wire::JobSpec& spec = job->spec;
  const bool unconstrained = !spec.types && !spec.zone && !spec.same_zone && !spec.anti_affinity;
  const Shape shape{job->need.cpus, job->need.gpus, job->need.mem,
                    job->job_class, spec.spot,      job->priority_band()};
  if (unconstrained && pass.shapes_without_machine.contains(shape)) return;
  while (!job->pending.empty() && pass.walks < kMaxWalksPerPass) {
    // A team at its limit gets no Accept and no rent.
    if (!quota_.allows(*job, TeamQuota::Counted::placed_and_queued)) return;
    ++pass.walks;
    QueuedTask task = queues_.take_pending(job, now);
    const std::uint32_t index = task.task;
    const ServiceOrder order = task.service_order();
    const bool known_full = unconstrained && pass.shapes_without_room.contains(shape);
    const EntryResult entry = enter_chain(
        std::move(task),
        known_full ? ChainWalk::KnownCapacity::none : ChainWalk::KnownCapacity::unknown, now);
    // The task was placed at once: a queue may have become shorter.
    if (entry.entered && !queues_.tasks().contains(order)) pass.shapes_without_room.clear();
    if (unconstrained && entry.found_no_room) pass.shapes_without_room.insert(shape);
    if (!entry.entered) {
      job->pending.insert(index);
      if (unconstrained) pass.shapes_without_machine.insert(shape);
      return;
    }
  }
}

// ---- machines with room

void Admission::serve_machine(Machine& machine, double now) {
  pull_urgent_tasks(machine, now);
  service_.place_queued(machine, now);
  preemption_.make_room(machine, now);
  pull_urgent_tasks(machine, now);
}

// Before the machine's own queue has been served, only more urgent tasks come: else room would go
// to low work here while urgent tasks wait for machines that are full.
bool Admission::is_served_before_queue(const ServiceOrder& order, const Machine& machine) {
  if (machine.queue.tasks.empty()) return true;
  const ServiceOrder head = machine.queue.tasks.front().service_order();
  return TaskQueues::is_ordered_by_start(order.first) ? order < head : order.first < head.first;
}

// A machine reports room: tasks that wait for others enter the chain again, the more urgent and
// longest-waiting first, each leaving its old queue first (DESIGN point 2; here from every tier).
void Admission::pull_urgent_tasks(Machine& machine, double now) {
  if (!machine.accepts_work(now) || !machine.in_inventory || queues_.is_reserved(machine)) return;
  std::size_t walks = 0;
  const Job* unfit_job = nullptr;  // the same job's next task would not fit either
  auto next = queues_.tasks().begin();
  while (next != queues_.tasks().end() && walks < kMaxPullsPerHeartbeat) {
    if (!queues_.any_fits(machines_.room(machine))) return;
    const auto [order, number] = *next++;
    if (!is_served_before_queue(order, machine)) return;
    Machine* from = machines_.at(number);
    if (!from || from == &machine) continue;
    const auto position = TaskQueues::find(*from, order);
    if (position == from->queue.tasks.end() || position->job.get() == unfit_job) continue;
    const Job& job = *position->job;
    if (!job.need.fits(machines_.room(machine, order.first)) ||
        !machines_.usable(machine, job, now)) {
      unfit_job = &job;
      continue;
    }
    ++walks;
    reenter_chain(*from, position, now);
    next = queues_.tasks().upper_bound(order);
  }
}

void Admission::reenter_chain(Machine& from, TaskQueues::Position position, double now) {
  QueuedTask task = queues_.dequeue(from, position);
  task.clear_chain();
  const JobPtr job = task.job;
  const std::uint32_t index = task.task;
  if (!enter_chain(std::move(task), ChainWalk::KnownCapacity::unknown, now).entered)
    context_.requeue(job, index);
  from.note_idle(now);
}

// ---- tasks that would wait too long

// The task does not fit even when everything but the replicas has ended.
bool Admission::is_blocked_by_replicas(const Machine& machine, const QueuedTask& task) const {
  Resources room = machines_.room(machine, task.priority_band);
  for (const Placement& placement : machine.tasks.placements)
    if (!placement.released && !placement.job->spec.service) room += placement.job->need;
  return !task.job->need.fits(room);
}

// In order of service, with the machines that they wait for.
std::vector<std::pair<ServiceOrder, int>> Admission::blocked_tasks(double now) const {
  std::vector<std::pair<ServiceOrder, int>> found;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state != Machine::up || machine->type < 0) continue;
    for (const QueuedTask& task : machine->queue.tasks) {
      if (found.size() >= kMaxMovesPerCall) break;
      if (machine->queue.reserved_for == task.service_order()) continue;
      if (now - task.since > kMaxQueueWaitS || is_blocked_by_replicas(*machine, task))
        found.emplace_back(task.service_order(), number);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

// A task is accepted by a full machine when the cloud has nothing to give. Where replicas have
// filled it, no report would ever show room, and the task would wait for good though machines could
// be had again (docs/design.md, X12). Nor does a task wait in any queue for longer than its
// patience while a machine can be had: the room that the ends of others would give it may go to
// others.
void Admission::requeue_blocked(double now) {
  for (const auto& [order, number] : blocked_tasks(now)) {
    Machine& from = *machines_.at(number);
    const auto position = TaskQueues::find(from, order);
    if (quota_.allows(*position->job, TeamQuota::Counted::placed))
      move_to_rented_machine(from, position, now);
  }
}

// To the cheapest tier with a pending rent to join, or where a machine can be rented.
void Admission::move_to_rented_machine(Machine& from, TaskQueues::Position position, double now) {
  const auto tiers = walk_.tiers(*position, ChainWalk::Scope::all_machines, now);
  const auto tier = std::find_if(tiers.begin(), tiers.end(), [](const chain::Tier& candidate) {
    return candidate.end.kind != chain::TierEnd::none;
  });
  if (tier == tiers.end()) return;
  QueuedTask task = queues_.dequeue(from, position);
  // What it passed through is not what it costs now.
  task.chain_steps.clear();
  task.rented = tier->end.kind == chain::TierEnd::rent;
  const int zone = task.rented ? rentals_.pick_zone(*task.job, tier->id, now) : -1;
  Machine& to =
      task.rented ? rentals_.order(tier->id, zone, now) : *machines_.at(tier->end.machine);
  queues_.enqueue(to, std::move(task));
  from.note_idle(now);
}

}  // namespace shunttrail::scheduler

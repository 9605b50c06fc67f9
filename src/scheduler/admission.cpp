#include "scheduler/admission.h"

#include <algorithm>
#include <utility>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
// Limits of one pass, heartbeat or check. Each walk looks at every machine of the shard while all
// other work of the controller waits, so the limits bound that delay. Remaining tasks are handled
// by the next pass, heartbeat or check; 256,000 pending tasks take 640 passes.

/// Maximum number of walks through the chain in one scheduling pass.
constexpr std::size_t kMaxWalksPerPass = 400;
/// Maximum number of tasks from other queues that enter the chain during one pull_urgent_tasks
/// call.
constexpr std::size_t kMaxPullsPerHeartbeat = 32;
/// Maximum number of tasks that requeue_blocked moves in one call.
constexpr std::size_t kMaxMovesPerCall = 32;
/// Maximum time, in seconds, that a task waits in a queue while a machine can be rented for it.
constexpr double kMaxQueueWaitS = 60;
}  // namespace

// ---- entering the chain

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
  // Serve the queue only up to this task: tasks behind it must not take the capacity for which
  // other urgent tasks are being pulled.
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
    // A team at its limit gets neither an Accept nor a rent.
    if (!quota_.allows(*job, TeamQuota::Counted::placed_and_queued)) return;
    ++pass.walks;
    QueuedTask task = queues_.take_pending(job, now);
    const std::uint32_t index = task.task;
    const ServiceOrder order = task.service_order();
    const bool known_full = unconstrained && pass.shapes_without_room.contains(shape);
    const EntryResult entry = enter_chain(
        std::move(task),
        known_full ? ChainWalk::KnownCapacity::none : ChainWalk::KnownCapacity::unknown, now);
    // The task was placed at once, so a queue may have become shorter and a machine may be able to
    // take the next task.
    if (entry.entered && !queues_.tasks().contains(order)) pass.shapes_without_room.clear();
    if (unconstrained && entry.found_no_room) pass.shapes_without_room.insert(shape);
    if (!entry.entered) {
      job->pending.insert(index);
      if (unconstrained) pass.shapes_without_machine.insert(shape);
      return;
    }
  }
}

// ---- machines with free capacity

void Admission::serve_machine(Machine& machine, double now) {
  pull_urgent_tasks(machine, now);
  service_.place_queued(machine, now);
  preemption_.make_room(machine, now);
  pull_urgent_tasks(machine, now);
}

// Returns true if a task of this order should be served before the machine's own queue. Less urgent
// tasks must not enter the chain first: they would take the free capacity here while more urgent
// tasks wait for full machines.
bool Admission::is_served_before_queue(const ServiceOrder& order, const Machine& machine) {
  if (machine.queue.tasks.empty()) return true;
  const ServiceOrder head = machine.queue.tasks.front().service_order();
  return TaskQueues::is_ordered_by_start(order.first) ? order < head : order.first < head.first;
}

// Sends tasks that wait for other machines into the chain again, in order of service: the more
// urgent and longest-waiting first. Each task leaves its old queue first (DESIGN point 2; extended
// here to all tiers).
void Admission::pull_urgent_tasks(Machine& machine, double now) {
  if (!machine.accepts_work(now) || !machine.in_inventory || queues_.is_reserved(machine)) return;
  std::size_t walks = 0;
  const Job* unfit_job = nullptr;  // the job's other tasks do not fit either
  auto next = queues_.tasks().begin();
  while (next != queues_.tasks().end() && walks < kMaxPullsPerHeartbeat) {
    if (!queues_.any_fits(machines_.free_capacity(machine))) return;
    const auto [order, number] = *next++;
    if (!is_served_before_queue(order, machine)) return;
    Machine* from = machines_.at(number);
    if (!from || from == &machine) continue;
    const auto position = TaskQueues::find(*from, order);
    if (position == from->queue.tasks.end() || position->job.get() == unfit_job) continue;
    const Job& job = *position->job;
    if (!job.need.fits(machines_.free_capacity(machine, order.first)) ||
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

// ---- tasks blocked in a queue

// Returns true if the task would not fit even after all tasks except replicas have ended.
bool Admission::is_blocked_by_replicas(const Machine& machine, const QueuedTask& task) const {
  Resources room = machines_.free_capacity(machine, task.priority_band);
  for (const Placement& placement : machine.tasks.placements)
    if (!placement.released && !placement.job->spec.service) room += placement.job->need;
  return !task.job->need.fits(room);
}

// Returns blocked tasks in order of service, each with the number of the machine that it waits for.
std::vector<std::pair<ServiceOrder, int>> Admission::blocked_tasks(double now) const {
  std::vector<std::pair<ServiceOrder, int>> blocked;
  for (const auto& [number, machine] : machines_.all()) {
    if (machine->state != Machine::up || machine->type < 0) continue;
    for (const QueuedTask& task : machine->queue.tasks) {
      if (blocked.size() >= kMaxMovesPerCall) break;
      if (machine->queue.reserved_for == task.service_order()) continue;
      if (now - task.since > kMaxQueueWaitS || is_blocked_by_replicas(*machine, task))
        blocked.emplace_back(task.service_order(), number);
    }
  }
  std::sort(blocked.begin(), blocked.end());
  return blocked;
}

// A full machine accepts a task while the cloud has no capacity. If replicas fill the machine, its
// free capacity never becomes large enough, and the task would wait forever even if machines can be
// rented again (docs/design.md, X12). Tasks that wait longer than kMaxQueueWaitS move as well: the
// capacity that other tasks will free may go to tasks ahead of them.
void Admission::requeue_blocked(double now) {
  for (const auto& [order, number] : blocked_tasks(now)) {
    Machine& from = *machines_.at(number);
    const auto position = TaskQueues::find(from, order);
    if (quota_.allows(*position->job, TeamQuota::Counted::placed))
      move_to_rented_machine(from, position, now);
  }
}

// Moves the task to the cheapest tier with a pending rent to join, or where a machine can be
// rented. Does nothing if there is no such tier.
void Admission::move_to_rented_machine(Machine& from, TaskQueues::Position position, double now) {
  const auto tiers = walk_.tiers(*position, ChainWalk::Scope::all_machines, now);
  const auto tier = std::find_if(tiers.begin(), tiers.end(), [](const chain::Tier& candidate) {
    return candidate.end.kind != chain::TierEnd::none;
  });
  if (tier == tiers.end()) return;
  QueuedTask task = queues_.dequeue(from, position);
  // The earlier decisions did not lead to this machine, so their learners must not record its cost.
  task.chain_steps.clear();
  task.rented = tier->end.kind == chain::TierEnd::rent;
  const int zone = task.rented ? rentals_.pick_zone(*task.job, tier->id, now) : -1;
  Machine& to =
      task.rented ? rentals_.order(tier->id, zone, now) : *machines_.at(tier->end.machine);
  queues_.enqueue(to, std::move(task));
  from.note_idle(now);
}

}  // namespace shunttrail::scheduler

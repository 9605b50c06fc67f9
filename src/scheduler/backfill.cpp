#include "scheduler/backfill.h"

#include <algorithm>
#include <utility>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Time, in seconds, that a machine must have idle capacity before it is backfilled.
constexpr double kIdleBeforeBackfillS = 75;
/// Maximum number of machines backfilled in one run. Runs are one second apart, and each machine
/// looks at all waiting tasks. This is a rate, not a bound: if more than 60 machines have idle
/// capacity at once (4 per second in the 15 s from 75 s to 90 s), tasks at the last of them wait
/// longer than 90 s.
constexpr std::size_t kMaxMachinesPerRun = 4;
}  // namespace

std::set<Backfill::Need> Backfill::waiting_needs(double now) const {
  std::set<Need> needs;
  for (const auto& [id, job] : context_.jobs) {
    const bool waits = job->queued || (!job->pending.empty() && job->not_before <= now);
    if (waits && quota_.allows(*job, TeamQuota::Counted::placed))
      needs.insert({job->need.cpus, job->need.gpus, job->need.mem});
  }
  return needs;
}

bool Backfill::has_idle_capacity(const Machine& machine, const std::set<Need>& needs,
                                 double now) const {
  if (machine.type < 0 || !machine.accepts_work(now) || !machine.in_inventory) return false;
  const Resources room = machines_.free_capacity(machine);
  return std::any_of(needs.begin(), needs.end(), [&](const Need& need) {
    const auto& [cpus, gpus, mem] = need;
    return Resources{cpus, gpus, mem}.fits(room);
  });
}

void Backfill::run(double now) {
  const std::set<Need> needs = waiting_needs(now);
  if (needs.empty()) return;
  std::size_t filled = 0;
  for (const auto& [number, machine] : machines_.all()) {
    double& idle_since = machine->queue.idle_capacity_since;
    if (!has_idle_capacity(*machine, needs, now)) {
      idle_since = -1;
      continue;
    }
    if (idle_since < 0) {
      idle_since = now;
      continue;
    }
    if (now - idle_since < kIdleBeforeBackfillS || filled >= kMaxMachinesPerRun) continue;
    if (queues_.is_reserved(*machine)) continue;
    idle_since = now;
    ++filled;
    fill(*machine, now);
  }
}

bool Backfill::can_start(const Machine& machine, const Job& job, std::uint32_t task,
                         int priority_band, double now) const {
  return job.need.fits(machines_.free_capacity(machine, priority_band)) &&
         machines_.usable(machine, job, now) && service_.may_be_placed(job, task);
}

// Starts tasks in order of service: first those in queues, then pending ones, which have not
// entered the chain.
void Backfill::fill(Machine& machine, double now) {
  fill_from_queues(machine, now);
  fill_from_pending(machine, now);
}

void Backfill::fill_from_queues(Machine& machine, double now) {
  auto next = queues_.tasks().begin();
  while (next != queues_.tasks().end() && queues_.any_fits(machines_.free_capacity(machine))) {
    const auto [order, number] = *next++;
    Machine& from = *machines_.at(number);
    const auto position = TaskQueues::find(from, order);
    if (!can_start(machine, *position->job, position->task, order.first, now)) continue;
    place(machine, queues_.dequeue(from, position), now);
    from.note_idle(now);
  }
}

void Backfill::fill_from_pending(Machine& machine, double now) {
  for (const JobPtr& job : queues_.pending_jobs(now))
    while (!job->pending.empty() &&
           can_start(machine, *job, *job->pending.begin(), job->priority_band(), now))
      place(machine, queues_.take_pending(job, now), now);
}

void Backfill::place(Machine& machine, QueuedTask task, double now) {
  task.clear_chain();
  machines_.reused(machine, now);
  placements_.place(machine, std::move(task));
}

}  // namespace shunttrail::scheduler

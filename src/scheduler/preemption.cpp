#include "scheduler/preemption.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::Resources;
using wire::TaskState;

namespace {
/// Longest time, in seconds, that a task which cannot save its progress may have run when it is
/// stopped.
constexpr double kMaxLostWorkS = 8;
}  // namespace

bool Preemption::can_be_stopped(const Placement& placement, double now) {
  if (!placement.seen || placement.released || placement.preempted) return false;
  if (placement.state == TaskState::exited || placement.job->spec.gang) return false;
  const bool saves_progress = placement.job->spec.checkpoint_s > 0;
  const bool hardly_begun = placement.started == 0 || now - placement.started < kMaxLostWorkS;
  return saves_progress || hardly_begun;
}

bool Preemption::may_be_preempted_for(const Placement& placement, const QueuedTask& task) const {
  const Job& running = *placement.job;
  if (task.priority_band != Job::kGuaranteed) return running.priority > task.job->priority;
  return running.team != task.job->team && !running.within_guarantee &&
         quota_.beyond_guarantee(running.team);
}

// Returns the tasks that may be stopped, in the order in which they are stopped: lowest priority
// first, then tasks that save their progress, then the most recently started.
std::vector<Placement*> Preemption::victims(Machine& machine, const QueuedTask& task,
                                            double now) const {
  std::vector<Placement*> found;
  for (Placement& placement : machine.tasks.placements)
    if (can_be_stopped(placement, now) && may_be_preempted_for(placement, task))
      found.push_back(&placement);
  const auto rank = [](const Placement* placement) {
    return std::tuple(-static_cast<int>(placement->job->priority),
                      placement->job->spec.checkpoint_s == 0, -placement->started);
  };
  std::sort(found.begin(), found.end(),
            [&](const Placement* a, const Placement* b) { return rank(a) < rank(b); });
  return found;
}

void Preemption::make_room(Machine& machine, double now) {
  if (!machine.accepts_work(now)) return;
  Resources expected_room = machines_.free_capacity(machine);
  for (const Placement& placement : machine.tasks.placements)
    if (placement.preempted && !placement.released) expected_room += placement.job->need;
  for (const QueuedTask& task : machine.queue.tasks) {
    if (task.priority_band > Job::kGuaranteed) break;
    if (!quota_.allows(*task.job, TeamQuota::Counted::placed)) continue;
    if (queues_.is_reserved_for_other(machine, task)) continue;
    const std::vector<Placement*> candidates = victims(machine, task, now);
    Resources gained = expected_room;
    std::size_t count = 0;
    while (count < candidates.size() && !task.job->need.fits(gained))
      gained += candidates[count++]->job->need;
    if (!task.job->need.fits(gained)) break;
    for (std::size_t i = 0; i < count; ++i) placements_.stop(machine, *candidates[i]);
    expected_room = gained - task.job->need;
  }
}

}  // namespace shunttrail::scheduler

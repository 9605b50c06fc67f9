#include "scheduler/queue_service.h"

namespace shunttrail::scheduler {

bool QueueService::may_be_placed(const jobs::Job& job, std::uint32_t task) const {
  // A task of a gang joins a round only once (Job::round).
  if (job.spec.gang && job.gang_members.contains(task)) return false;
  return quota_.allows(job, TeamQuota::Counted::placed);
}

// Returns true if the task fits the machine's free capacity. The task that has the machine reserved
// may also use the capacity kept free for urgent work.
bool QueueService::has_room(const Machine& machine, const QueuedTask& task) const {
  return task.job->need.fits(queues_.is_reserved(machine)
                                 ? machines_.free_capacity(machine)
                                 : machines_.free_capacity(machine, task.priority_band));
}

void QueueService::place_queued(Machine& machine, double now, std::optional<ServiceOrder> last) {
  if (!machine.accepts_work(now) || !machine.in_inventory) return;
  for (std::size_t i = 0; i < machine.queue.tasks.size();) {
    const QueuedTask& task = machine.queue.tasks[i];
    const auto position = machine.queue.tasks.begin() + static_cast<long>(i);
    if (last && task.service_order() > *last) break;
    if (queues_.is_reserved_for_other(machine, task)) {
      ++i;
      continue;
    }
    if (!machines_.usable(machine, *task.job, now)) {
      // After this task joined the queue, other tasks of its job bound the job to another zone.
      const QueuedTask removed = queues_.dequeue(machine, position);
      context_.requeue(removed.job, removed.task);
      continue;
    }
    // The queue is served strictly in order: if small tasks could overtake a large one, they would
    // keep it waiting for as long as they keep arriving.
    if (!has_room(machine, task)) break;
    // The limit must hold at all times, so check it again before placing, against every recorded
    // placement.
    if (!may_be_placed(*task.job, task.task)) {
      ++i;
      continue;
    }
    placements_.place(machine, queues_.dequeue(machine, position));
  }
  machine.note_idle(now);
}

}  // namespace shunttrail::scheduler

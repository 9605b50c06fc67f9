#include "scheduler/queue_service.h"

namespace shunttrail::scheduler {

bool QueueService::may_be_placed(const jobs::Job& job, std::uint32_t task) const {
  // A task of a gang joins its round once (Job::round).
  if (job.spec.gang && job.gang_members.contains(task)) return false;
  return quota_.allows(job, TeamQuota::Counted::placed);
}

// What is kept free for urgent work counts as room for the task that has the machine reserved.
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
      // Its job's other tasks have bound it to another zone since it joined.
      const QueuedTask removed = queues_.dequeue(machine, position);
      context_.requeue(removed.job, removed.task);
      continue;
    }
    // The queue is served strictly in order: small tasks that went before a large one would keep it
    // waiting for as long as they keep coming.
    if (!has_room(machine, task)) break;
    // Counted again at the last moment, over every recorded placement: the limit is a rule.
    if (!may_be_placed(*task.job, task.task)) {
      ++i;
      continue;
    }
    placements_.place(machine, queues_.dequeue(machine, position));
  }
  machine.note_idle(now);
}

}  // namespace shunttrail::scheduler

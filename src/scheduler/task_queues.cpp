#include "scheduler/task_queues.h"

#include <algorithm>
#include <utility>

namespace shunttrail::scheduler {

using jobs::Job;
using jobs::JobPtr;
using jobs::Resources;

namespace {
/// Offset in seconds that makes a latest start positive: it exceeds any negative start time, which
/// lies before the start of this process.
constexpr double kStartOffsetS = 1e6;
constexpr double kMillisecondsPerSecond = 1e3;
/// Number of low bits of an order by start that hold a sequence number, to distinguish tasks with
/// the same start. Two tasks of a job get the same order only if both wait while 16.7 million tasks
/// entered in between; the queues of 4,000 machines hold about ten thousand.
constexpr int kSequenceBits = 24;
constexpr std::uint64_t kSequenceMask = (std::uint64_t{1} << kSequenceBits) - 1;
}  // namespace

bool TaskQueues::is_empty() const {
  return tasks_.empty() &&
         std::all_of(context_.jobs.begin(), context_.jobs.end(),
                     [](const auto& entry) { return entry.second->pending.empty(); });
}

// ---- order of service

bool TaskQueues::is_ordered_by_start(int priority_band) { return priority_band > Job::kGuaranteed; }

std::uint64_t TaskQueues::next_order(const Job& job, int priority_band) {
  const std::uint64_t sequence = tasks_taken_++;
  if (!is_ordered_by_start(priority_band)) return sequence;
  const double start_s = std::max(job.latest_start(), -kStartOffsetS) + kStartOffsetS;
  const auto start_ms = static_cast<std::uint64_t>(start_s * kMillisecondsPerSecond);
  return start_ms << kSequenceBits | (sequence & kSequenceMask);
}

std::vector<JobPtr> TaskQueues::pending_jobs(double now) const {
  std::vector<JobPtr> jobs;
  for (const auto& [id, job] : context_.jobs)
    if (!job->pending.empty() && job->not_before <= now) jobs.push_back(job);
  std::sort(jobs.begin(), jobs.end(), [](const JobPtr& a, const JobPtr& b) {
    if (a->priority_band() != b->priority_band()) return a->priority_band() < b->priority_band();
    return is_ordered_by_start(a->priority_band()) ? a->latest_start() < b->latest_start()
                                                   : a->since < b->since;
  });
  return jobs;
}

QueuedTask TaskQueues::take_pending(const JobPtr& job, double now) {
  QueuedTask task;
  task.job = job;
  task.task = *job->pending.begin();
  task.since = now;
  task.priority_band = job->priority_band();
  task.order = next_order(*job, task.priority_band);
  job->pending.erase(job->pending.begin());
  return task;
}

// ---- queues

void TaskQueues::count_added(Machine& machine, const QueuedTask& task) {
  Job& job = *task.job;
  ++needs_[{job.need.cpus, job.need.gpus, job.need.mem}];
  quota_.task_queued(job);
  tasks_[task.service_order()] = machine.number;
  ++machine.queue.tasks_by_band[static_cast<std::size_t>(task.priority_band)];
  ++job.queued;
}

void TaskQueues::count_removed(Machine& machine, const QueuedTask& task) {
  Job& job = *task.job;
  const auto need = needs_.find({job.need.cpus, job.need.gpus, job.need.mem});
  if (--need->second == 0) needs_.erase(need);
  quota_.task_dequeued(job);
  tasks_.erase(task.service_order());
  --machine.queue.tasks_by_band[static_cast<std::size_t>(task.priority_band)];
  --job.queued;
}

void TaskQueues::enqueue(Machine& machine, QueuedTask task) {
  count_added(machine, task);
  std::vector<QueuedTask>& tasks = machine.queue.tasks;
  tasks.insert(std::upper_bound(tasks.begin(), tasks.end(), task, QueuedTask::before),
               std::move(task));
  machine.note_idle(0);
}

QueuedTask TaskQueues::dequeue(Machine& machine, Position position) {
  QueuedTask task = std::move(*position);
  machine.queue.tasks.erase(position);
  count_removed(machine, task);
  return task;
}

TaskQueues::Position TaskQueues::find(Machine& machine, const ServiceOrder& order) {
  return std::find_if(machine.queue.tasks.begin(), machine.queue.tasks.end(),
                      [&](const QueuedTask& task) { return task.service_order() == order; });
}

bool TaskQueues::any_fits(const Resources& room) const {
  return std::any_of(needs_.begin(), needs_.end(), [&](const auto& entry) {
    const auto& [cpus, gpus, mem] = entry.first;
    return Resources{cpus, gpus, mem}.fits(room);
  });
}

void TaskQueues::requeue_all(Machine& machine) {
  for (const QueuedTask& task : machine.queue.tasks) {
    count_removed(machine, task);
    context_.requeue(task.job, task.task);
  }
  machine.queue.tasks.clear();
}

void TaskQueues::requeue_job(Machine& machine, const JobPtr& job) {
  std::erase_if(machine.queue.tasks, [&](const QueuedTask& task) {
    if (task.job != job) return false;
    count_removed(machine, task);
    context_.requeue(task.job, task.task);
    return true;
  });
}

void TaskQueues::drop_if(Machine& machine,
                         const std::function<bool(const QueuedTask&)>& is_dropped) {
  std::erase_if(machine.queue.tasks, [&](const QueuedTask& task) {
    if (!is_dropped(task)) return false;
    count_removed(machine, task);
    return true;
  });
}

void TaskQueues::drop_job(Machine& machine, const JobPtr& job) {
  drop_if(machine, [&](const QueuedTask& task) { return task.job == job; });
}

void TaskQueues::drop_withheld(Machine& machine, const JobPtr& job) {
  drop_if(machine,
          [&](const QueuedTask& task) { return task.job == job && job->is_withheld(task.task); });
}

void TaskQueues::drop_task(const JobPtr& job, std::uint32_t task) {
  if (!job->queued) return;
  for (const auto& [number, machine] : machines_.all())
    drop_if(*machine,
            [&](const QueuedTask& queued) { return queued.job == job && queued.task == task; });
}

// ---- reservations

bool TaskQueues::is_reserved(const Machine& machine) const {
  if (!machine.queue.reserved_for) return false;
  const auto task = tasks_.find(*machine.queue.reserved_for);
  return task != tasks_.end() && task->second == machine.number;
}

bool TaskQueues::is_reserved_for_other(const Machine& machine, const QueuedTask& task) const {
  return is_reserved(machine) && *machine.queue.reserved_for != task.service_order();
}

}  // namespace shunttrail::scheduler

// The queues of a shard's machines: which task waits for which machine, and in which order the
// waiting tasks are served. Free of I/O.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/shard_context.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Adds tasks to machines' queues and takes them out, and keeps the counts over all queues.
class TaskQueues {
 public:
  /// Position of a task in a machine's queue.
  using Position = std::vector<QueuedTask>::iterator;

  TaskQueues(ShardContext& context, Machines& machines, TeamQuota& quota)
      : context_(context), machines_(machines), quota_(quota) {}

  /// No task of the shard waits, in a queue or before the chain.
  [[nodiscard]] bool is_empty() const;

  /// Jobs with tasks that have yet to enter the chain, in the order in which they do: the more
  /// urgent first, then the older, or the one that should start first.
  [[nodiscard]] std::vector<jobs::JobPtr> pending_jobs(double now) const;
  /// Takes the first pending task of the job, which must have one.
  [[nodiscard]] QueuedTask take_pending(const jobs::JobPtr& job, double now);

  /// Adds the task to the machine's queue by its order of service.
  void enqueue(Machine& machine, QueuedTask task);
  /// Takes the task at `position` out of the machine's queue.
  QueuedTask dequeue(Machine& machine, Position position);
  /// Position of a task in the machine's queue; the queue's end if it is not there.
  [[nodiscard]] static Position find(Machine& machine, const ServiceOrder& order);

  /// Every queued task in order of service, with the number of the machine that it waits for.
  [[nodiscard]] const std::map<ServiceOrder, int>& tasks() const { return tasks_; }
  /// Some queued task fits into the room.
  [[nodiscard]] bool any_fits(const jobs::Resources& room) const;

  /// All tasks in the machine's queue become pending again.
  void requeue_all(Machine& machine);
  /// The job's tasks in the machine's queue become pending again, to enter the chain in another
  /// band.
  void requeue_job(Machine& machine, const jobs::JobPtr& job);
  /// The job is over: its tasks leave the machine's queue.
  void drop_job(Machine& machine, const jobs::JobPtr& job);
  /// Tasks of the job that are withheld (Job::withhold) leave the machine's queue.
  void drop_withheld(Machine& machine, const jobs::JobPtr& job);
  /// A task of the job is done: it leaves the queue where it waits for another attempt, if any.
  void drop_task(const jobs::JobPtr& job, std::uint32_t task);

  /// The machine is kept for one task of its queue.
  [[nodiscard]] bool is_reserved(const Machine& machine) const;
  /// The machine is kept for a task other than this one.
  [[nodiscard]] bool is_reserved_for_other(const Machine& machine, const QueuedTask& task) const;

  /// Tasks of the band are served by when their jobs should start; those of the more urgent bands
  /// first come, first served.
  [[nodiscard]] static bool is_ordered_by_start(int priority_band);

 private:
  /// vcpus, GPUs and memory of a task.
  using Need = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

  void drop_if(Machine& machine, const std::function<bool(const QueuedTask&)>& is_dropped);
  std::uint64_t next_order(const jobs::Job& job, int priority_band);
  void count_added(Machine& machine, const QueuedTask& task);
  void count_removed(Machine& machine, const QueuedTask& task);

  ShardContext& context_;
  Machines& machines_;
  TeamQuota& quota_;
  std::uint64_t tasks_taken_ = 0;      // by take_pending, so far
  std::map<ServiceOrder, int> tasks_;  // to the machine's number
  // Number of queued tasks by what each needs: a machine whose room none of them fits need not
  // look through the queues.
  std::map<Need, std::size_t> needs_;
};

}  // namespace shunttrail::scheduler

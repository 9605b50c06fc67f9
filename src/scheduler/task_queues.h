// The queues of a shard's machines: which task waits for which machine, and the order in which
// waiting tasks are served. Performs no I/O.
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

/// Adds tasks to machines' queues, removes them, and counts the tasks of all queues.
class TaskQueues {
 public:
  /// Position of a task in a machine's queue.
  using Position = std::vector<QueuedTask>::iterator;

  TaskQueues(ShardContext& context, Machines& machines, TeamQuota& quota)
      : context_(context), machines_(machines), quota_(quota) {}

  /// Returns true if no task of the shard waits, neither in a queue nor as pending.
  [[nodiscard]] bool is_empty() const;

  /// Returns jobs with pending tasks, in the order in which they enter the chain: the more urgent
  /// first, then the older, or by latest start in the bands that are ordered by start.
  [[nodiscard]] std::vector<jobs::JobPtr> pending_jobs(double now) const;
  /// Removes and returns the first pending task of the job, which must have one.
  [[nodiscard]] QueuedTask take_pending(const jobs::JobPtr& job, double now);

  /// Inserts the task into the machine's queue by its order of service.
  void enqueue(Machine& machine, QueuedTask task);
  /// Removes the task at `position` from the machine's queue and returns it.
  QueuedTask dequeue(Machine& machine, Position position);
  /// Returns the position of the task in the machine's queue, or the queue's end if it is not
  /// there.
  [[nodiscard]] static Position find(Machine& machine, const ServiceOrder& order);

  /// Returns all queued tasks in order of service, with the number of the machine that each waits
  /// for.
  [[nodiscard]] const std::map<ServiceOrder, int>& tasks() const { return tasks_; }
  /// Returns true if some queued task fits the free capacity.
  [[nodiscard]] bool any_fits(const jobs::Resources& room) const;

  /// Makes all tasks in the machine's queue pending again.
  void requeue_all(Machine& machine);
  /// Makes the job's tasks in the machine's queue pending again, so that they enter the chain in
  /// another band.
  void requeue_job(Machine& machine, const jobs::JobPtr& job);
  /// Removes the tasks of an ended job from the machine's queue.
  void drop_job(Machine& machine, const jobs::JobPtr& job);
  /// Removes the job's withheld tasks (Job::withhold) from the machine's queue.
  void drop_withheld(Machine& machine, const jobs::JobPtr& job);
  /// Removes a completed task from the queue where another attempt of it waits, if any.
  void drop_task(const jobs::JobPtr& job, std::uint32_t task);

  /// Returns true if the machine is reserved for a task of its queue.
  [[nodiscard]] bool is_reserved(const Machine& machine) const;
  /// Returns true if the machine is reserved for a task other than this one.
  [[nodiscard]] bool is_reserved_for_other(const Machine& machine, const QueuedTask& task) const;

  /// Returns true if tasks of the band are served by the latest start of their jobs; the more
  /// urgent bands are served first come, first served.
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
  std::uint64_t tasks_taken_ = 0;      // number of tasks taken by take_pending so far
  std::map<ServiceOrder, int> tasks_;  // queued tasks, each with its machine's number
  // Number of queued tasks by resources needed: if none of these fits a machine's free capacity,
  // the machine need not look through the queues.
  std::map<Need, std::size_t> needs_;
};

}  // namespace shunttrail::scheduler

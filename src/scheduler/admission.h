// Admission: sends tasks into the chain, from their jobs or from another machine's queue. Performs
// no I/O.
#pragma once
#include <set>
#include <tuple>

#include "scheduler/chain_walk.h"
#include "scheduler/machines.h"
#include "scheduler/preemption.h"
#include "scheduler/queue_service.h"
#include "scheduler/rentals.h"
#include "scheduler/shard_context.h"
#include "scheduler/task_queues.h"
#include "scheduler/team_quota.h"

namespace shunttrail::scheduler {

/// Sends tasks through the chain and into the queue of the machine that the chain chooses.
class Admission {
 public:
  Admission(ShardContext& context, Machines& machines, Rentals& rentals, TaskQueues& queues,
            TeamQuota& quota, ChainWalk& walk, QueueService& service, Preemption& preemption)
      : context_(context),
        machines_(machines),
        rentals_(rentals),
        queues_(queues),
        quota_(quota),
        walk_(walk),
        service_(service),
        preemption_(preemption) {}

  /// Sends pending tasks into the chain, in the order of their jobs. Tasks beyond the limit of one
  /// scheduling pass stay pending, and another pass becomes due.
  void admit_pending(double now);

  /// Serves the queue of a machine that has sent a heartbeat or may have gained free capacity.
  /// Urgent tasks that wait for other machines enter the chain again before and after that.
  void serve_machine(Machine& machine, double now);

  /// Moves queued tasks to a machine that is being rented or can be rented, if they have waited
  /// longer than kMaxQueueWaitS, or if only the end of a replica would free enough capacity (the
  /// end of a service is unknown).
  void requeue_blocked(double now);

 private:
  /// The result of sending one task into the chain.
  struct EntryResult {
    bool entered = false;
    /// No machine has free capacity for the task.
    bool found_no_room = false;
  };
  /// The properties by which tasks of jobs without placement constraints fit the same machines:
  /// vcpus, GPUs, memory, job class, whether spot machines are allowed, and priority band.
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, int, bool, int>;
  /// The state of one scheduling pass.
  struct PassState {
    std::size_t walks = 0;
    /// Shapes for which the chain found no machine and no rent: other jobs of the shape are skipped
    /// for the rest of the pass.
    std::set<Shape> shapes_without_machine;
    /// Shapes for which no machine has free capacity: the next walk skips that search, since free
    /// capacity only shrinks while tasks enter the chain.
    std::set<Shape> shapes_without_room;
  };

  EntryResult enter_chain(QueuedTask task, ChainWalk::KnownCapacity capacity, double now);
  void reenter_chain(Machine& from, TaskQueues::Position position, double now);
  void admit_job(const jobs::JobPtr& job, PassState& pass, double now);
  void pull_urgent_tasks(Machine& machine, double now);
  static bool is_served_before_queue(const ServiceOrder& order, const Machine& machine);
  bool is_blocked_by_replicas(const Machine& machine, const QueuedTask& task) const;
  std::vector<std::pair<ServiceOrder, int>> blocked_tasks(double now) const;
  void move_to_rented_machine(Machine& from, TaskQueues::Position position, double now);

  ShardContext& context_;
  Machines& machines_;
  Rentals& rentals_;
  TaskQueues& queues_;
  TeamQuota& quota_;
  ChainWalk& walk_;
  QueueService& service_;
  Preemption& preemption_;
};

}  // namespace shunttrail::scheduler

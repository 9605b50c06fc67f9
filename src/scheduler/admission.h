// Admission: tasks enter the chain, from their jobs or from another machine's queue. Free of I/O.
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

/// Sends tasks through the chain and into the queue of the machine that it chooses.
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

  /// Pending tasks enter the chain, in the order of their jobs. What a pass has no time for is left
  /// to the next one.
  void admit_pending(double now);

  /// A machine reports, or has been given room: its queue is served, and urgent tasks that wait
  /// elsewhere enter the chain again.
  void serve_machine(Machine& machine, double now);

  /// Tasks that wait for longer than their patience, or where only the end of a replica would make
  /// room (nobody knows when a service ends), move to a machine that is being rented or can be.
  void requeue_blocked(double now);

 private:
  /// Whether a task has entered the chain.
  struct EntryResult {
    bool entered = false;
    /// No machine has room for it.
    bool found_no_room = false;
  };
  /// Jobs of the same shape, without constraints of their own, fit the same machines: need, class,
  /// spot and band.
  using Shape = std::tuple<std::int64_t, std::int64_t, std::int64_t, int, bool, int>;
  /// What a pass has found out about shapes.
  struct PassState {
    std::size_t walks = 0;
    /// Found no place: another job of the same shape finds none either.
    std::set<Shape> shapes_without_machine;
    /// Found no room: the next task need not search for it. Room only shrinks while tasks enter.
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

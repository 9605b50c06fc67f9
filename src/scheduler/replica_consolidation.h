// Replica consolidation: moves replicas from nearly empty machines to others, and returns the
// emptied machines (PROTOCOL, Preemption: a task may be stopped to drain a machine). Performs no
// I/O.
#pragma once
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Drains machines whose replicas fit on other machines.
class ReplicaConsolidation {
 public:
  ReplicaConsolidation(ShardContext& context, Machines& machines, Placements& placements)
      : context_(context), machines_(machines), placements_(placements) {}

  /// Drains machines whose replicas fit on fuller or cheaper machines that have their images. Must
  /// be called only while no task waits, since waiting tasks use the free capacity.
  void run(double now);

 private:
  struct DrainCandidate {
    double saving = 0;
    Machine* machine = nullptr;
  };
  /// Capacity that planned moves use on each machine, and number of replicas that they add, by job
  /// and zone.
  struct PlannedMoves {
    std::map<int, jobs::Resources> used_capacity;
    std::map<std::pair<const jobs::Job*, int>, int> replicas_by_zone;
  };

  static bool is_settled(const Placement& placement, double now);
  static std::ptrdiff_t replicas_on(const Machine& machine);
  /// Returns the price per second that draining the machine would save for each move; 0 if the
  /// machine must not be drained.
  double saving(const Machine& machine, double now) const;
  std::vector<DrainCandidate> drain_candidates(double now) const;
  void refill_budget(double now);
  bool is_better(const Machine& to, const Machine& from) const;
  bool plan_move(const Machine& to, const Machine& from, const jobs::Job& job, PlannedMoves& moves,
                 double now) const;
  bool plan_all_moves(const Machine& machine, PlannedMoves& moves, double now) const;
  void drain(Machine& machine);

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  double last_run_at_ = -1e9;  // steady time, seconds
  double move_budget_ = 0;     // number of moves that may be made now
};

}  // namespace shunttrail::scheduler

// Replica consolidation: replicas left on many machines that are nearly empty move together, and
// the emptied machines are given back (PROTOCOL, Preemption: a task may be stopped to drain a
// machine). Free of I/O.
#pragma once
#include <map>
#include <utility>
#include <vector>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

/// Drains machines whose replicas have room elsewhere.
class ReplicaConsolidation {
 public:
  ReplicaConsolidation(ShardContext& context, Machines& machines, Placements& placements)
      : context_(context), machines_(machines), placements_(placements) {}

  /// Drains machines whose replicas have room on others that are fuller or cheaper, with their
  /// images there. To be called while nothing waits: what waits uses the room.
  void run(double now);

 private:
  struct DrainCandidate {
    double saving = 0;
    Machine* machine = nullptr;
  };
  /// What moves that are under way have taken already, by machine, and added, by job and zone.
  struct PlannedMoves {
    std::map<int, jobs::Resources> used_capacity;
    std::map<std::pair<const jobs::Job*, int>, int> replicas_by_zone;
  };

  static bool is_settled(const Placement& placement, double now);
  /// What draining the machine would save a move, in price a second; 0: it is not to be drained.
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
  double move_budget_ = 0;     // moves that may be made now
};

}  // namespace shunttrail::scheduler

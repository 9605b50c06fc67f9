// Replicas left on many machines that stand nearly empty are moved together, and what is emptied is
// given back (PROTOCOL, Preemption: a task may be stopped to drain a machine). Free of I/O.
#pragma once
#include <map>
#include <utility>

#include "scheduler/machines.h"
#include "scheduler/placements.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

class ReplicaConsolidation {
 public:
  ReplicaConsolidation(ShardContext& common, Machines& machines, Placements& placements)
      : context_(common), machines_(machines), placements_(placements) {}

  // Empties machines whose replicas have room on others that are fuller or cheaper, with their
  // images there. To be called while nothing waits: what waits uses the room.
  void run(double now);

 private:
  // What emptying it would save a move, in price a second; 0: it is not to be emptied.
  double saving(const Machine& m, double now) const;
  // What moves that are under way have taken already, by machine, and added, by job and zone.
  struct Taken {
    std::map<int, jobs::Resources> room;
    std::map<std::pair<const jobs::Job*, int>, int> in_zone;
  };
  bool room_elsewhere(const Machine& m, Taken& taken, double now) const;

  ShardContext& context_;
  Machines& machines_;
  Placements& placements_;
  double last_run_at_ = -1e9;
  double moves_ = 0;  // that may be made now
};

}  // namespace shunttrail::scheduler

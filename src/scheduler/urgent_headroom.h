// Room kept free for urgent work: a little of the shard, on machines that urgent jobs may use, so
// that one can start at once while everything else is full. Free of I/O.
#pragma once
#include "scheduler/machines.h"
#include "scheduler/shard_context.h"

namespace shunttrail::scheduler {

class UrgentHeadroom {
 public:
  UrgentHeadroom(ShardContext& common, Machines& machines)
      : context_(common), machines_(machines) {}
  // Chooses anew which machines keep room (Machine::reserved).
  void update(double now);

 private:
  // The largest urgent job of late: what is kept free is for another one like it. None: nothing is.
  jobs::JobPtr largest_urgent_job(double now) const;

  ShardContext& context_;
  Machines& machines_;
  double updated_at_ = -1e9;
};

}  // namespace shunttrail::scheduler

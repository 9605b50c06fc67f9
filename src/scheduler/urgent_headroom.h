// Room kept free for urgent work: a little of the shard, on machines that urgent jobs may use, so
// that one can start at once while everything else is full. Pure.
#pragma once
#include "scheduler/shard_context.h"
#include "scheduler/machines.h"

namespace shunt::fleet {

class Reserve {
 public:
  Reserve(Common& common, Machines& machines) : common_(common), machines_(machines) {}
  // Chooses anew which machines keep room (Machine::reserved).
  void look(double now);

 private:
  // The largest urgent job of late: what is kept free is for another one like it. None: nothing is.
  jobs::JobPtr example(double now) const;

  Common& common_;
  Machines& machines_;
  double looked_at_ = -1e9;
};

}  // namespace shunt::fleet

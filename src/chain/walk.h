// A task's way through the chain (DESIGN points 1-5): tiers cheapest first, machines in order.
#pragma once
#include <vector>

#include "chain/bandit.h"

namespace shunt::chain {

// One decision on the way: what to record the finish cost against.
struct Step {
  Bandit* learner = nullptr;  // the caller's
  Context context;
  Arm arm = Arm::accept;
};

struct Seat {
  int machine = 0;  // the caller's own number
  Bandit* learner = nullptr;
  Context context;
  bool may_accept = true;  // false above b waiting tasks, or when the machine is leaving
  bool empty = false;      // empty machines cannot Pass
};

// What lies past a tier's last machine.
struct TierEnd {
  enum Kind { none, join, rent } kind = none;
  int machine = 0;  // join: the pending rent
};

struct Tier {
  int id = 0;
  std::vector<Seat> seats;
  TierEnd end;
};

struct Outcome {
  enum Kind { stalled, accepted, joined, rented } kind = stalled;
  int tier = 0;
  int machine = 0;
  std::vector<Step> trail;
};

// Each learner resamples its costs once a walk and context: machines that share a learner and a
// context cannot differ, and a tier may have hundreds of them.
Outcome walk(const std::vector<Tier>& tiers, Rng& rng);

}  // namespace shunt::chain

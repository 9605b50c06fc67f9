// A task's way through the chain (DESIGN points 1-5): tiers cheapest first, machines in order.
#pragma once
#include <vector>

#include "chain/bandit.h"

namespace shunttrail::chain {

// One decision on the way: what to record the finish cost against.
struct Step {
  Bandit* learner = nullptr;  // the caller's
  Context context;
  Arm arm = Arm::accept;
};

struct Candidate {
  int machine = 0;  // the caller's own number
  Bandit* learner = nullptr;
  Context context;
  bool may_accept = true;  // false above b waiting tasks, or when the machine is leaving
  bool empty = false;      // empty machines cannot Pass
};

// The seats of one tier that a learner cannot tell apart: a walk draws for them once, so the first
// of a kind stands for those that follow it, but for the last seat of the tier.
class Kinds {
 public:
  // False: one of its kind was there before.
  bool add(const Candidate& s) {
    const std::uint64_t bit = bits(s, s.context.warm);
    const bool fresh = !(seen_ & bit);
    seen_ |= bit;
    return fresh;
  }
  // Its kind was there, be it warm or cold.
  bool both(const Candidate& s) const {
    return (seen_ & bits(s, true)) && (seen_ & bits(s, false));
  }

 private:
  static std::uint64_t bits(const Candidate& s, bool warm) {
    return std::uint64_t{1} << (s.context.waiting % 8 * 8 + (warm ? 4 : 0) +
                                (s.may_accept ? 2 : 0) + (s.empty ? 1 : 0));
  }
  std::uint64_t seen_ = 0;
};

// What lies past a tier's last machine.
struct TierEnd {
  enum Kind { none, join, rent } kind = none;
  int machine = 0;  // join: the pending rent
};

struct Tier {
  int id = 0;
  std::vector<Candidate> candidates;
  TierEnd end;
};

struct Outcome {
  enum Kind { stalled, accepted, joined, rented } kind = stalled;
  int tier = 0;
  int machine = 0;
  std::vector<Step> steps;
};

// Each learner resamples its costs once a walk and context: machines that share a learner and a
// context cannot differ, and a tier may have hundreds of them.
Outcome walk(const std::vector<Tier>& tiers, Rng& rng);

}  // namespace shunttrail::chain

// A task's walk through the chain (DESIGN points 1-5): tiers in order of price, machines in order
// of number, until a machine accepts the task or a tier's end takes it.
#pragma once
#include <cstdint>
#include <vector>

#include "chain/bandit.h"

namespace shunttrail::chain {

/// One decision on the way: what the finish cost is recorded with.
struct Step {
  Bandit* learner = nullptr;  // the caller's
  Context context;
  Arm arm = Arm::accept;
};

/// A machine that a task may come to.
struct Candidate {
  /// The caller's own number.
  int machine = 0;
  /// The caller's.
  Bandit* learner = nullptr;
  Context context;
  /// False above b waiting tasks, or when the machine is leaving.
  bool may_accept = true;
  /// Empty machines cannot Pass.
  bool empty = false;
};

/// The kinds of a tier's candidates: a learner cannot tell those of a kind apart, and a walk draws
/// for them once. So the first of a kind stands for those that follow it, but for the last machine
/// of the tier. All candidates must be for the same task.
class CandidateKinds {
 public:
  /// False: one of its kind was there before.
  bool add(const Candidate& candidate) {
    const std::uint64_t bit = kind_bit(candidate, candidate.context.warm);
    const bool added = !(seen_ & bit);
    seen_ |= bit;
    return added;
  }
  /// Its kind was there, whether it is warm or cold.
  [[nodiscard]] bool has_warm_and_cold(const Candidate& candidate) const {
    return (seen_ & kind_bit(candidate, true)) && (seen_ & kind_bit(candidate, false));
  }

 private:
  static std::uint64_t kind_bit(const Candidate& candidate, bool warm) {
    const int bit = candidate.context.waiting % 8 * 8 + (warm ? 4 : 0) +
                    (candidate.may_accept ? 2 : 0) + (candidate.empty ? 1 : 0);
    return std::uint64_t{1} << bit;
  }
  std::uint64_t seen_ = 0;
};

/// What lies past a tier's last machine.
struct TierEnd {
  enum Kind {
    none,
    join,  // a pending rent
    rent,  // a new one
  } kind = none;
  /// join: the machine that is being rented.
  int machine = 0;
};

/// The machines of one type and kind (spot or ordinary), as one task finds them.
struct Tier {
  int id = 0;
  std::vector<Candidate> candidates;
  TierEnd end;
};

/// Where a walk has ended.
struct Outcome {
  enum Kind {
    stalled,   // nowhere
    accepted,  // in the queue of `machine`
    joined,    // in the queue of `machine`, which is being rented
    rented,    // a machine of the tier is to be rented
  } kind = stalled;
  int tier = 0;
  int machine = 0;
  std::vector<Step> steps;
};

/// Walks through the tiers. Each learner resamples its costs once a walk and context: machines that
/// share a learner and a context cannot differ, and a tier may have hundreds of them.
[[nodiscard]] Outcome walk(const std::vector<Tier>& tiers, Rng& rng);

}  // namespace shunttrail::chain

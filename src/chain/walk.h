// A task's walk through the chain (DESIGN points 1-5). The walk visits tiers in order of price and
// the machines of each tier in order of their number. It ends when a machine accepts the task, or
// at the end of a tier where the task joins a pending rent or causes a new one.
#pragma once
#include <cstdint>
#include <vector>

#include "chain/bandit.h"

namespace shunttrail::chain {

/// One decision of a walk. The task's finish cost is recorded for it later.
struct Step {
  Bandit* learner = nullptr;  // owned by the caller
  Context context;
  Arm arm = Arm::accept;
};

/// A machine that a walk may choose for a task.
struct Candidate {
  /// The number by which the caller identifies the machine.
  int machine = 0;
  /// Owned by the caller.
  Bandit* learner = nullptr;
  Context context;
  /// False if more than b tasks wait for the machine (the waiting bar), or it is leaving.
  bool may_accept = true;
  /// True if nothing runs on the machine or waits for it. An empty machine cannot Pass.
  bool empty = false;
};

/// The kinds of candidates found in a tier so far. Candidates are of one kind if a learner cannot
/// distinguish them; a walk draws one decision for each kind. The first candidate of a kind
/// therefore represents those that follow it, except the last machine of the tier, which may be
/// barred from Pass. All candidates must be for the same task.
class CandidateKinds {
 public:
  /// Adds the candidate's kind. Returns false if it was already present.
  bool add(const Candidate& candidate) {
    const std::uint64_t bit = kind_bit(candidate, candidate.context.warm);
    const bool added = !(seen_ & bit);
    seen_ |= bit;
    return added;
  }
  /// Returns true if the candidate's kind is present both with and without the image.
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

/// The continuation of a walk after a tier's last machine.
struct TierEnd {
  enum Kind {
    none,
    join,  // the task joins a pending rent
    rent,  // a machine is rented for the task
  } kind = none;
  /// For `join`, the machine that is being rented.
  int machine = 0;
};

/// The machines of one type and pricing (spot or on-demand), as one task finds them.
struct Tier {
  int id = 0;
  std::vector<Candidate> candidates;
  TierEnd end;
};

/// The result of a walk.
struct Outcome {
  enum Kind {
    stalled,   // no machine accepts the task and none can be rented
    accepted,  // the task joins the queue of `machine`
    joined,    // the task joins the queue of `machine`, which is being rented
    rented,    // a machine of the tier is to be rented for the task
  } kind = stalled;
  int tier = 0;
  int machine = 0;
  std::vector<Step> steps;
};

/// Walks through the tiers. Each learner resamples its costs once for each context and set of
/// allowed arms: a tier may have hundreds of machines that share a learner and a context, and the
/// learner cannot distinguish them.
[[nodiscard]] Outcome walk(const std::vector<Tier>& tiers, Rng& rng);

}  // namespace shunttrail::chain

#include "chain/walk.h"

#include <algorithm>
#include <optional>

namespace shunttrail::chain {

namespace {

/// A decision drawn in this walk. The same learner, context and allowed arms get the same decision.
struct Draw {
  Bandit* learner;
  std::uint64_t context_key;
  AllowedArms allowed;
  Arm arm;
};

/// The first candidate of the walk that could have accepted the task.
struct Fallback {
  const Candidate* candidate;
  int tier;
  std::size_t step;  // number of steps before this candidate
};

class Walker {
 public:
  Walker(const std::vector<Tier>& tiers, Rng& rng) : tiers_(tiers), rng_(rng) {}

  Outcome run() {
    for (std::size_t i = 0; i < tiers_.size(); ++i)
      if (walk_tier(tiers_[i], i + 1 < tiers_.size())) return std::move(outcome_);
    take_fallback();
    return std::move(outcome_);
  }

 private:
  // Returns true if the walk ends in this tier.
  bool walk_tier(const Tier& tier, bool has_next_tier) {
    for (std::size_t i = 0; i < tier.candidates.size(); ++i) {
      const Candidate& candidate = tier.candidates[i];
      const bool is_last = i + 1 == tier.candidates.size();
      // The last machine may Pass only if the tier has an end that joins or makes a rent.
      const bool may_pass = !candidate.empty && !(is_last && tier.end.kind == TierEnd::none);
      const AllowedArms allowed{candidate.may_accept, may_pass, has_next_tier};
      if (std::none_of(allowed.begin(), allowed.end(), [](bool arm) { return arm; })) continue;
      switch (decide(candidate, allowed, tier.id)) {
        case Arm::accept:
          set_outcome(Outcome::accepted, tier.id, candidate.machine);
          return true;
        case Arm::down:
          return false;
        case Arm::pass:
          break;
      }
    }
    if (tier.end.kind == TierEnd::none) return false;
    set_outcome(tier.end.kind == TierEnd::join ? Outcome::joined : Outcome::rented, tier.id,
                tier.end.machine);
    return true;
  }

  // Adds a step only for a new draw, so that each draw has its cost recorded once.
  Arm decide(const Candidate& candidate, const AllowedArms& allowed, int tier) {
    const std::uint64_t context_key = candidate.context.key();
    const auto earlier_draw = std::find_if(draws_.begin(), draws_.end(), [&](const Draw& draw) {
      return draw.learner == candidate.learner && draw.context_key == context_key &&
             draw.allowed == allowed;
    });
    const Arm arm = earlier_draw != draws_.end()
                        ? earlier_draw->arm
                        : candidate.learner->choose(candidate.context, allowed, rng_);
    if (candidate.may_accept && !fallback_)
      fallback_ = Fallback{&candidate, tier, outcome_.steps.size()};
    if (earlier_draw == draws_.end()) {
      draws_.push_back({candidate.learner, context_key, allowed, arm});
      outcome_.steps.push_back({candidate.learner, candidate.context, arm});
    }
    return arm;
  }

  // Called when the walk has run past the last tier without a rent. The first machine that could
  // have accepted takes the task, so that a walk still ends at an Accept (paper 3.1). The outcome
  // stays `stalled` if there is none.
  void take_fallback() {
    if (!fallback_) return;
    const Candidate& candidate = *fallback_->candidate;
    outcome_.steps.resize(fallback_->step);
    outcome_.steps.push_back({candidate.learner, candidate.context, Arm::accept});
    set_outcome(Outcome::accepted, fallback_->tier, candidate.machine);
  }

  void set_outcome(Outcome::Kind kind, int tier, int machine) {
    outcome_.kind = kind;
    outcome_.tier = tier;
    outcome_.machine = machine;
  }

  const std::vector<Tier>& tiers_;
  Rng& rng_;
  Outcome outcome_;
  std::vector<Draw> draws_;
  std::optional<Fallback> fallback_;
};

}  // namespace

Outcome walk(const std::vector<Tier>& tiers, Rng& rng) { return Walker(tiers, rng).run(); }

}  // namespace shunttrail::chain

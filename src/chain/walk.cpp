#include "chain/walk.h"

#include <algorithm>
#include <tuple>

namespace shunttrail::chain {

Outcome walk(const std::vector<Tier>& tiers, Rng& rng) {
  Outcome out;
  const Candidate* fallback = nullptr;
  int fallback_tier = 0;
  std::size_t fallback_step = 0;
  std::vector<std::pair<std::tuple<Bandit*, std::uint64_t, std::array<bool, kArms>>, Arm>> drawn;
  for (std::size_t t = 0; t < tiers.size(); ++t) {
    const Tier& tier = tiers[t];
    bool down_there = t + 1 < tiers.size();
    bool went_down = false;
    for (std::size_t i = 0; i < tier.candidates.size(); ++i) {
      const Candidate& s = tier.candidates[i];
      bool last = i + 1 == tier.candidates.size();
      std::array<bool, kArms> allowed{s.may_accept, !s.empty, down_there};
      // Past the last machine there must be something to pass to.
      if (last && tier.end.kind == TierEnd::none) allowed[1] = false;
      if (!allowed[0] && !allowed[1] && !allowed[2]) continue;
      const auto key = std::tuple(s.learner, s.context.key(), allowed);
      auto known = std::find_if(drawn.begin(), drawn.end(),
                                [&](const auto& d) { return std::get<0>(d) == key; });
      Arm a =
          known != drawn.end() ? std::get<1>(*known) : s.learner->choose(s.context, allowed, rng);
      if (s.may_accept && !fallback) {
        fallback = &s;
        fallback_tier = tier.id;
        fallback_step = out.steps.size();
      }
      // A decision drawn once is recorded once.
      if (known == drawn.end()) {
        drawn.emplace_back(key, a);
        out.steps.push_back({s.learner, s.context, a});
      }
      if (a == Arm::accept) {
        out.kind = Outcome::accepted;
        out.tier = tier.id;
        out.machine = s.machine;
        return out;
      }
      if (a == Arm::down) {
        went_down = true;
        break;
      }
    }
    if (went_down) continue;
    if (tier.end.kind != TierEnd::none) {
      out.kind = tier.end.kind == TierEnd::join ? Outcome::joined : Outcome::rented;
      out.tier = tier.id;
      out.machine = tier.end.machine;
      return out;
    }
  }
  // Every arm led to an end where nothing can be rented: the first machine that could have
  // accepted takes the task, so that a walk still ends at an Accept (paper 3.1).
  if (fallback) {
    out.steps.resize(fallback_step);
    out.steps.push_back({fallback->learner, fallback->context, Arm::accept});
    out.kind = Outcome::accepted;
    out.tier = fallback_tier;
    out.machine = fallback->machine;
  }
  return out;
}

}  // namespace shunttrail::chain

#include "scheduler/token_policy.h"

namespace shunttrail::scheduler {

namespace {
/// Shortest time, in seconds, between two advances of the token.
constexpr double kMinAdvanceIntervalS = 1;
/// The same where the only reason is an unacknowledged command that does not prevent the renewal of
/// a lease.
constexpr double kMinNonUrgentAdvanceIntervalS = 10;
}  // namespace

bool TokenPolicy::may_start_late(const Placement& placement) const {
  return placement.unacknowledged_token == token_ && placement.job->ended && !placement.seen &&
         !placement.released;
}

bool TokenPolicy::needs_new_token(double now) const {
  if (now - advanced_at_ <= kMinAdvanceIntervalS) return false;
  if (saw_higher_token_) return true;
  const bool non_urgent_allowed = now - advanced_at_ >= kMinNonUrgentAdvanceIntervalS;
  for (const auto& [number, machine] : machines_.all()) {
    // The response to the direct command that is in flight may still acknowledge the start.
    if (machine->tasks.direct_in_flight) continue;
    for (const Placement& placement : machine->tasks.placements) {
      if (may_start_late(placement)) return true;
      const bool unacknowledged = placement.unacknowledged_token == token_;
      const bool unwanted = placement.released || placement.job->ended;
      if (non_urgent_allowed && unacknowledged && unwanted) return true;
    }
  }
  return false;
}

void TokenPolicy::advance(std::uint64_t token, double now) {
  token_ = token;
  advanced_at_ = now;
  saw_higher_token_ = false;
}

}  // namespace shunttrail::scheduler

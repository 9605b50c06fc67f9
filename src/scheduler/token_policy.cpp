#include "scheduler/token_policy.h"

namespace shunttrail::scheduler {

namespace {
/// Shortest time, in seconds, between two advances of the token.
constexpr double kMinAdvanceIntervalS = 1;
/// The same where the only reason is an unacknowledged command that does not prevent the renewal of
/// a lease.
constexpr double kMinNonUrgentAdvanceIntervalS = 10;
/// The same where the only reason is that attempts wait to be acknowledged.
constexpr double kMinAcknowledgementIntervalS = 30;
/// Number of attempts that may wait on one machine for that long: each lengthens its heartbeats,
/// whose size is limited.
constexpr std::size_t kMaxUnfencedAttempts = 64;

bool has_exited(const wire::TaskStatus& status) { return status.state == wire::TaskState::exited; }
}  // namespace

bool TokenPolicy::may_start_late(const Placement& placement) const {
  return placement.unacknowledged_token == token_ && placement.job->ended && !placement.seen &&
         !placement.released;
}

bool TokenPolicy::needs_newest_token(const Machine& machine) const {
  const MachineTasks& tasks = machine.tasks;
  const std::uint64_t current = command_token(machine);
  if (tasks.token > current) return true;
  const bool unlisted_waits =
      tasks.unlisted_start_token >= current &&
      std::any_of(tasks.unknown_tasks.begin(), tasks.unknown_tasks.end(), has_exited);
  return unlisted_waits ||
         std::any_of(
             tasks.placements.begin(), tasks.placements.end(), [&](const Placement& placement) {
               // The response to a command that is in flight may still acknowledge it.
               if (placement.unacknowledged_token >= current)
                 return placement.job->ended || !tasks.direct_in_flight;
               return placement.direct_start_token >= current && placement.awaits_acknowledgement();
             });
}

void TokenPolicy::update_command_token(Machine& machine) const {
  if (command_token(machine) < token_ && needs_newest_token(machine))
    machine.tasks.command_token = token_;
}

// Returns the number of attempts on the machine that can be acknowledged only under a token that is
// higher than the newest.
std::size_t TokenPolicy::unfenced_attempts(const Machine& machine) const {
  const MachineTasks& tasks = machine.tasks;
  const auto count_if = [](const auto& items, const auto& matches) {
    return static_cast<std::size_t>(std::count_if(items.begin(), items.end(), matches));
  };
  std::size_t unfenced = count_if(tasks.placements, [&](const Placement& placement) {
    return placement.direct_start_token >= token_ && placement.awaits_acknowledgement();
  });
  if (tasks.unlisted_start_token >= token_) unfenced += count_if(tasks.unknown_tasks, has_exited);
  return unfenced;
}

bool TokenPolicy::needs_new_token(double now) const {
  const double since_advance_s = now - advanced_at_;
  if (since_advance_s <= kMinAdvanceIntervalS) return false;
  if (saw_higher_token_) return true;
  const bool non_urgent_allowed = since_advance_s >= kMinNonUrgentAdvanceIntervalS;
  const std::size_t allowed_unfenced =
      since_advance_s >= kMinAcknowledgementIntervalS ? 0 : kMaxUnfencedAttempts;
  for (const auto& [number, machine] : machines_.all()) {
    if (unfenced_attempts(*machine) > allowed_unfenced) return true;
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

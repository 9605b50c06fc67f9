// The fencing token under which a shard's leader sends its commands, and the conditions under which
// the leader needs a higher one (PROTOCOL, Tokens; docs/safety.md). Free of I/O.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "scheduler/machines.h"

namespace shunttrail::scheduler {

/// Returns the number above which the attempts under a token are numbered, so that a later leader's
/// attempts have higher numbers. Each token has a million of them. These suffice: a token is a
/// revision of the state service, every commit raises the next leader's token by at least one, and
/// a commit starts a few hundred tasks.
[[nodiscard]] constexpr std::uint64_t first_attempt(std::uint64_t token) {
  constexpr int kAttemptBits = 20;
  return token << kAttemptBits;
}

/// Holds the leader's tokens, and decides when to request a new one. A worker that has seen a
/// higher token carries out no command under a lower one. Each machine gets its commands under one
/// of the leader's tokens, and a newer one only once that is needed: a worker reports each higher
/// token that it sees.
class TokenPolicy {
 public:
  TokenPolicy(const Machines& machines, std::uint64_t token)
      : machines_(machines), opened_under_(token), token_(token) {}

  /// The newest token.
  [[nodiscard]] std::uint64_t token() const { return token_; }
  /// Returns the token under which the machine gets its commands.
  [[nodiscard]] std::uint64_t command_token(const Machine& machine) const {
    return std::max(opened_under_, machine.tasks.command_token);
  }
  /// Gives the machine's commands the newest token if its worker has seen a higher one than theirs,
  /// if a direct start may still arrive under theirs, or if an attempt can then be acknowledged.
  void update_command_token(Machine& machine) const;
  /// Returns whether a worker that has seen this token executes no command of an earlier leader.
  [[nodiscard]] bool excludes_earlier_leaders(std::uint64_t seen) const {
    return seen >= opened_under_;
  }

  /// Notes that a machine of this shard has seen a higher token, which another shard's leader had.
  void saw_higher_token() { saw_higher_token_ = true; }
  /// Returns whether the leader should obtain a higher token: to rule out that an unacknowledged
  /// direct start is carried out, to be accepted by a machine that has seen a higher one, or to
  /// acknowledge attempts that were started directly under the newest token.
  [[nodiscard]] bool needs_new_token(double now) const;
  /// Sets a higher token. Commands under the previous ones that are still in flight are not carried
  /// out by workers that have seen the new one.
  void advance(std::uint64_t token, double now);

  /// Returns whether a direct start for a job that has ended may still be carried out under the
  /// newest token.
  [[nodiscard]] bool may_start_late(const Placement& placement) const;
  /// Returns whether no direct command for the placement is unanswered and may still be carried
  /// out.
  [[nodiscard]] static bool is_answered(const Machine& machine, const Placement& placement) {
    return placement.unacknowledged_token == 0 ||
           machine.tasks.token > placement.unacknowledged_token;
  }
  /// Returns whether a worker that obeys the machine's next response executes no direct start under
  /// this token any more, and so no late copy of one.
  [[nodiscard]] bool is_fenced(const Machine& machine, std::uint64_t direct_start_token) const {
    return direct_start_token < command_token(machine);
  }

 private:
  [[nodiscard]] bool needs_newest_token(const Machine& machine) const;
  [[nodiscard]] std::size_t unfenced_attempts(const Machine& machine) const;

  const Machines& machines_;
  const std::uint64_t opened_under_;
  std::uint64_t token_;
  double advanced_at_ = -1e9;
  bool saw_higher_token_ = false;
};

}  // namespace shunttrail::scheduler

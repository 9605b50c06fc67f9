// The fencing token under which a shard's leader sends its commands, and the conditions under which
// the leader needs a higher one (PROTOCOL, Tokens; docs/safety.md). Free of I/O.
#pragma once
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

/// Holds the token, and decides when to request a new one. A worker that has seen a higher token
/// carries out no command under a lower one.
class TokenPolicy {
 public:
  TokenPolicy(const Machines& machines, std::uint64_t token) : machines_(machines), token_(token) {}

  [[nodiscard]] std::uint64_t token() const { return token_; }

  /// Notes that a machine of this shard has seen a higher token, which another shard's leader had.
  void saw_higher_token() { saw_higher_token_ = true; }
  /// Returns whether the leader should obtain a higher token: to rule out that an unacknowledged
  /// direct start is carried out, or to be accepted by a machine that has seen a higher one.
  [[nodiscard]] bool needs_new_token(double now) const;
  /// Sets a higher token. Commands under the previous ones that are still in flight are not carried
  /// out by workers that have seen the new one.
  void advance(std::uint64_t token, double now);

  /// Returns whether a direct start for a job that has ended may still be carried out under the
  /// current token.
  [[nodiscard]] bool may_start_late(const Placement& placement) const;
  /// Returns whether no direct command for the placement can be carried out any more.
  [[nodiscard]] static bool is_acknowledged(const Machine& machine, const Placement& placement) {
    return placement.unacknowledged_token == 0 ||
           machine.tasks.token > placement.unacknowledged_token;
  }

 private:
  const Machines& machines_;
  std::uint64_t token_;
  double advanced_at_ = -1e9;
  bool saw_higher_token_ = false;
};

}  // namespace shunttrail::scheduler

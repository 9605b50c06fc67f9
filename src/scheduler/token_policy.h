// The fencing token under which a shard's owner sends its commands, and when it needs a higher one
// (PROTOCOL, Tokens; docs/safety.md). Free of I/O.
#pragma once
#include <cstdint>

#include "scheduler/machines.h"

namespace shunttrail::scheduler {

/// Attempts under a token are numbered upwards from this one: a later owner's are higher. There are
/// a million under one token. Tokens are revisions of the state service: whoever comes next has a
/// higher one by every commit since, and a commit starts a few hundred tasks.
[[nodiscard]] constexpr std::uint64_t first_attempt(std::uint64_t token) {
  constexpr int kAttemptBits = 20;
  return token << kAttemptBits;
}

/// Holds the token, and decides when to ask for a new one. A worker that has seen a higher token
/// carries out no command under a lower one.
class TokenPolicy {
 public:
  TokenPolicy(const Machines& machines, std::uint64_t token) : machines_(machines), token_(token) {}

  [[nodiscard]] std::uint64_t token() const { return token_; }

  /// A machine of this shard has seen a higher token, under another shard.
  void saw_higher_token() { saw_higher_token_ = true; }
  /// A higher token would settle something that is unacknowledged, or let a machine in.
  [[nodiscard]] bool needs_new_token(double now) const;
  /// The shard's owner has got a higher token: what an older token left on the way can no longer be
  /// carried out by a worker that has seen the new one.
  void advance(std::uint64_t token, double now);

  /// A direct start of a job that is over may still be carried out under the present token.
  [[nodiscard]] bool may_start_late(const Placement& placement) const;
  /// No direct command for the placement can be carried out any more.
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

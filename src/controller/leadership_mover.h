/// Leadership of one shard at this node: acquiring, keeping, handing over and giving it up.
#pragma once
#include <cstdint>
#include <string>

#include "controller/shard_host.h"
#include "shard/leader_election.h"

namespace shunttrail::controller {

/// Carries out the decisions of shard::LeaderElection by commits on the shard's leader key. The
/// revision of that key is the shard's fencing token.
class LeadershipMover {
 public:
  explicit LeadershipMover(ShardHost& host) : host_(host) {}

  /// Opens or closes the scheduler and starts leadership commits, as the cached state requires.
  void decide();
  /// Returns whether a commit on the leader key has not been answered yet.
  [[nodiscard]] bool commit_in_flight() const { return commit_in_flight_; }

 private:
  [[nodiscard]] bool can_decide() const;
  void follow_leader_key();
  void lead(std::uint64_t token);
  void change_leader(const shard::LeadershipMove& move);
  void advance_token();
  void close_scheduler();
  void commit(wire::Transaction transaction);

  ShardHost& host_;
  /// The latest token whose scheduler was closed here. It must never be used again.
  std::uint64_t last_closed_token_ = 0;
  bool commit_in_flight_ = false;
  /// Tag of the latest commit that advances the active scheduler's token.
  std::string token_commit_tag_;
};

}  // namespace shunttrail::controller

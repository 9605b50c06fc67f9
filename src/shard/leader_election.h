/// @file
/// Decides which shards this node should lead, based on the stored state (docs/safety.md). Free of
/// I/O.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "state/state_cache.h"

namespace shunttrail::shard {

/// The action that this node should take for a shard.
struct LeadershipMove {
  enum Kind {
    none,      ///< do nothing: another node leads the shard or should lead it
    lead,      ///< lead the shard under `token`
    take,      ///< commit this node as the shard's leader
    hand_over  ///< commit the node `to` as the shard's leader
  } kind = none;
  int to = -1;              ///< hand_over: the node's index
  std::uint64_t token = 0;  ///< lead: the shard's token
  /// take, hand_over: the preconditions of the commit.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};

/// The election of shard leaders. Every node decides independently; the preconditions let at most
/// one commit succeed. Times are seconds of the steady clock.
class LeaderElection {
 public:
  /// `settings` has to outlive the election.
  explicit LeaderElection(const config::Settings& settings);

  /// Records that this process has registered its node at this revision. A leadership granted
  /// earlier belongs to a process that has ended. `process` is the prefix that all tags of this
  /// process, and of no other, have; empty: tags are not compared. A process uses only tokens from
  /// its own commits: an earlier process of this node that was suspended, or whose commits were
  /// delayed, has the same node name.
  void registered(std::uint64_t mod_revision, std::string process = {}) {
    if (!registered_at_) registered_at_ = mod_revision;
    process_ = std::move(process);
  }

  /// Records which nodes are alive. Must be called before `decide`.
  void observe(const state::StateCache& cache, double now);

  /// Returns the action for a shard. `closed_token` is the latest token whose scheduler this
  /// process has closed. The scheduler's attempts and its knowledge of messages in flight ended
  /// with it, so the token must not be used again: this node takes the shard again under a new
  /// token.
  [[nodiscard]] LeadershipMove decide(const state::StateCache& cache, int shard, double now,
                                      std::uint64_t closed_token) const;

 private:
  /// Returns the action for a shard whose stored leader is this node.
  [[nodiscard]] LeadershipMove decide_led_shard(const state::StateCache& cache, int shard,
                                                double now, std::uint64_t closed_token) const;
  /// Returns the node that should take a shard without a live leader; -1 if none should yet.
  [[nodiscard]] int successor(const state::StateCache& cache, int shard, double now) const;
  [[nodiscard]] bool is_absent_for(int node, double duration_s, double now) const;

  const config::Settings& settings_;
  std::uint64_t registered_at_ = 0;  ///< revision; 0: not yet
  std::string process_;
  std::vector<double> alive_since_;   ///< by node; negative: it is not alive
  std::vector<double> absent_since_;  ///< by node; negative: it is alive
};

}  // namespace shunttrail::shard

/// @file
/// Decides which shards this node should lead, from what the state service holds
/// (docs/safety.md). Free of I/O.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "state/state_cache.h"

namespace shunttrail::shard {

/// What this node should do about a shard.
struct LeadershipMove {
  enum Kind {
    none,      ///< another node leads it, or is to
    lead,      ///< this node leads it under `token`
    take,      ///< commit this node as its leader
    hand_over  ///< commit the node `to` as its leader
  } kind = none;
  int to = -1;              ///< hand_over: the node's index
  std::uint64_t token = 0;  ///< lead: the shard's token
  /// take, hand_over: of the commit.
  std::vector<std::pair<std::string, std::uint64_t>> preconditions;
};

/// The election of shard leaders. Every node decides by itself; the commit's preconditions let one
/// of them win. Times are seconds of the steady clock.
class LeaderElection {
 public:
  /// `settings` has to outlive the election.
  explicit LeaderElection(const config::Settings& settings);

  /// This process has registered its node at this revision. A leadership granted earlier belongs to
  /// a process that has ended.
  /// `process`: the prefix of all tags of this process and of no other; empty: tags are not
  /// compared. A token is used only by the process whose own commit gave it: an earlier process of
  /// this node that was suspended, or whose commits came late, has the same node name.
  void registered(std::uint64_t mod_revision, std::string process = {}) {
    if (!registered_at_) registered_at_ = mod_revision;
    process_ = std::move(process);
  }

  /// Notes which nodes are alive; to be called before `decide`.
  void observe(const state::StateCache& cache, double now);

  /// What to do about a shard. `closed_token`: the latest token whose scheduler this process has
  /// closed. The scheduler's attempts, and its knowledge of what is in flight, ended with it, so
  /// the token must not be used again: the shard is taken anew under another one.
  [[nodiscard]] LeadershipMove decide(const state::StateCache& cache, int shard, double now,
                                      std::uint64_t closed_token) const;

 private:
  /// The move of a shard that this node leads by the state service's word.
  [[nodiscard]] LeadershipMove decide_led_shard(const state::StateCache& cache, int shard,
                                                double now, std::uint64_t closed_token) const;
  /// The node that should take a shard without a living leader; -1: none yet.
  [[nodiscard]] int successor(const state::StateCache& cache, int shard, double now) const;
  [[nodiscard]] bool is_absent_for(int node, double duration_s, double now) const;

  const config::Settings& settings_;
  std::uint64_t registered_at_ = 0;  ///< revision; 0: not yet
  std::string process_;
  std::vector<double> alive_since_;   ///< by node; negative: it is not alive
  std::vector<double> absent_since_;  ///< by node; negative: it is alive
};

}  // namespace shunttrail::shard

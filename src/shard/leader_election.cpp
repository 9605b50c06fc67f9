#include "shard/leader_election.h"

namespace shunttrail::shard {
namespace {

/// How long a node's key must be absent before other nodes take its shards.
constexpr double kAbsenceBeforeTakeoverS = 0.3;
/// How long a shard that never had a leader waits for its home node.
constexpr double kHomeWaitS = 3.0;
/// How long a returning node must be alive before its shard is handed back.
constexpr double kAliveBeforeHandBackS = 4.0;
/// Marks a node in `alive_since_` or `absent_since_` that is not in that state.
constexpr double kNotObserved = -1;

LeadershipMove take(const std::string& key, std::uint64_t mod_revision) {
  LeadershipMove move;
  move.kind = LeadershipMove::take;
  move.preconditions.emplace_back(key, mod_revision);
  return move;
}

}  // namespace

LeaderElection::LeaderElection(const config::Settings& settings)
    : settings_(settings),
      alive_since_(settings.shards(), kNotObserved),
      absent_since_(settings.shards(), kNotObserved) {}

void LeaderElection::observe(const state::StateCache& cache, double now) {
  for (int node = 0; node < settings_.shards(); ++node) {
    const bool is_alive = cache.node_revision(node) != 0;
    double& current = is_alive ? alive_since_[node] : absent_since_[node];
    double& other = is_alive ? absent_since_[node] : alive_since_[node];
    other = kNotObserved;
    if (current < 0) current = now;
  }
}

bool LeaderElection::is_absent_for(int node, double duration_s, double now) const {
  return absent_since_[node] >= 0 && now - absent_since_[node] >= duration_s;
}

LeadershipMove LeaderElection::decide(const state::StateCache& cache, int shard, double now,
                                      std::uint64_t closed_token) const {
  const int self = settings_.self;
  if (!registered_at_ || !cache.node_revision(self)) return {};
  const int leader = cache.leader(shard).node;
  if (leader == self) return decide_led_shard(cache, shard, now, closed_token);
  const bool has_leader = leader >= 0;
  if (has_leader && !is_absent_for(leader, kAbsenceBeforeTakeoverS, now)) return {};
  if (successor(cache, shard, now) != self) return {};
  const std::string key = state::leader_key(shard);
  LeadershipMove move = take(key, cache.mod_revision(key));
  if (has_leader) move.preconditions.emplace_back(state::node_key(settings_.nodes[leader]), 0);
  return move;
}

LeadershipMove LeaderElection::decide_led_shard(const state::StateCache& cache, int shard,
                                                double now, std::uint64_t closed_token) const {
  const state::LeaderEntry& entry = cache.leader(shard);
  const std::string key = state::leader_key(shard);
  // The leadership was granted to an earlier process of this node, or its scheduler is closed, or
  // another node handed it over: this process first needs a token from a commit of its own.
  if (entry.mod_revision < registered_at_ || closed_token == entry.mod_revision ||
      !entry.tag.starts_with(process_))
    return take(key, cache.mod_revision(key));
  // This node's commit was answered before all earlier changes have been read, so the last
  // placements of an earlier leader may be missing. A scheduler opened without them would start
  // their tasks a second time.
  if (cache.revision() < entry.mod_revision) return {};
  LeadershipMove move;
  const int home = shard;
  const bool is_home_back =
      alive_since_[home] >= 0 && now - alive_since_[home] > kAliveBeforeHandBackS;
  if (home != settings_.self && is_home_back) {
    move.kind = LeadershipMove::hand_over;
    move.to = home;
    move.preconditions.emplace_back(key, cache.mod_revision(key));
    // The home node must still be registered when the shard is handed over to it.
    move.preconditions.emplace_back(state::node_key(settings_.nodes[home]),
                                    cache.node_revision(home));
    return move;
  }
  move.kind = LeadershipMove::lead;
  move.token = entry.mod_revision;
  return move;
}

int LeaderElection::successor(const state::StateCache& cache, int shard, double now) const {
  const int home = shard;
  if (cache.node_revision(home)) return home;
  const bool has_leader = cache.leader(shard).node >= 0;
  if (!is_absent_for(home, has_leader ? kAbsenceBeforeTakeoverS : kHomeWaitS, now)) return -1;
  // The next alive node in index order takes the shard.
  const int nodes = settings_.shards();
  for (int offset = 1; offset < nodes; ++offset) {
    const int node = (home + offset) % nodes;
    if (cache.node_revision(node)) return node;
  }
  return -1;
}

}  // namespace shunttrail::shard

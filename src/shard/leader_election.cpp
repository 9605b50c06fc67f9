#include "shard/leader_election.h"

namespace shunttrail::shard {
namespace {
constexpr double kGoneFor = 0.3;     // before a shard of a node whose key is gone is taken
constexpr double kHomeAbsent = 3.0;  // before an orphan shard's home is passed over
constexpr double kSettled = 4.0;     // a returning node gets its shard after this
}  // namespace

LeaderElection::LeaderElection(const config::Settings& s)
    : settings_(s), seen_since_(s.shards(), -1), absent_since_(s.shards(), -1) {}

void LeaderElection::observe(const state::StateCache& w, double now) {
  for (int n = 0; n < settings_.shards(); ++n) {
    bool alive = w.node_revision(n) != 0;
    if (alive) {
      absent_since_[n] = -1;
      if (seen_since_[n] < 0) seen_since_[n] = now;
    } else {
      seen_since_[n] = -1;
      if (absent_since_[n] < 0) absent_since_[n] = now;
    }
  }
}

LeadershipMove LeaderElection::decide(const state::StateCache& w, int shard, double now,
                                      std::uint64_t spent) const {
  LeadershipMove m;
  const int self = settings_.self, home = shard, size = settings_.shards();
  if (!registered_ || !w.node_revision(self)) return m;
  const state::LeaderEntry& o = w.leader(shard);
  const std::string key = state::leader_key(shard);
  const std::uint64_t mod_revision = w.mod_revision(key);
  auto take = [&] {
    m.kind = LeadershipMove::take;
    m.preconditions.emplace_back(key, mod_revision);
  };
  if (o.node == self) {
    if (o.mod_revision < registered_ || spent == o.mod_revision || !o.tag.starts_with(process_)) {
      // A former self's, one whose scheduler is closed, or handed over: ours by our own commit
      // first.
      take();
    } else if (w.revision() < o.mod_revision) {
      // Our own commit is known before what came just before it has been read: an earlier owner's
      // last placements may be missing. A scheduler opened without them would start their tasks
      // again.
    } else if (home != self && seen_since_[home] >= 0 && now - seen_since_[home] > kSettled) {
      m.kind = LeadershipMove::hand_over;
      m.to = home;
      m.preconditions.emplace_back(key, mod_revision);
      // A node that has just gone must not be given a shard.
      m.preconditions.emplace_back(state::node_key(settings_.nodes[home]), w.node_revision(home));
    } else {
      m.kind = LeadershipMove::lead;
      m.token = o.mod_revision;
    }
    return m;
  }
  auto gone = [&](int n, double for_s) {
    return absent_since_[n] >= 0 && now - absent_since_[n] >= for_s;
  };
  if (o.node >= 0 && !gone(o.node, kGoneFor)) return m;
  // Nobody, or a node that is gone: the home first, then the next one alive after it.
  int heir = -1;
  if (w.node_revision(home)) {
    heir = home;
  } else if (gone(home, o.node < 0 ? kHomeAbsent : kGoneFor)) {
    for (int i = 1; i < size && heir < 0; ++i)
      if (w.node_revision((home + i) % size)) heir = (home + i) % size;
  }
  if (heir != self) return m;
  take();
  if (o.node >= 0) m.preconditions.emplace_back(state::node_key(settings_.nodes[o.node]), 0);
  return m;
}

}  // namespace shunttrail::shard

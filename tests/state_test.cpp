// The state cache and the leader election, under random orders of events.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "shard/leader_election.h"

namespace shunttrail::test {
namespace {

// A node's own commits are applied when they are answered, before or after the watch delivers them.
// In any order, the cache ends as a copy of the store, and a deleted job never reappears.
RC_GTEST_PROP(StateCache, ConvergesToTheStoreForAnyOrderOfEvents, ()) {
  config::Settings settings = make_settings();
  Store store;
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  std::set<std::string> deleted;
  auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<bool>()));
  for (auto [action, apply_before_watch] : steps) {
    std::string id = "run-" + std::to_string(100000 + action % 4);
    wire::Transaction txn;
    if (action < 4 && !deleted.contains(id))
      txn.ops.push_back({state::job_key(id), wire::encode_record(make_job(action % 4, 2, 1)), 0});
    else if (action < 8 && store.mod_revision(state::job_key(id))) {
      txn.ops.push_back({state::job_key(id), std::nullopt, 0});
      deleted.insert(id);
    }
    if (action >= 10) {
      store.read(cache, changes);
      continue;
    }
    if (txn.ops.empty()) continue;
    auto revision = store.commit(txn);
    RC_ASSERT(revision.has_value());
    if (apply_before_watch)
      for (const auto& op : txn.ops) cache.apply({op.key, op.value, *revision}, changes);
  }
  // A job that the cache knew to be deleted is not restored by later events.
  std::set<std::string> known_deleted;
  for (const auto& id : deleted)
    if (!cache.job(id) && !store.mod_revision(state::job_key(id))) known_deleted.insert(id);
  store.read(cache, changes);
  for (const auto& id : deleted) RC_ASSERT(!cache.job(id));
  for (const auto& [key, entry] : store.keys)
    RC_ASSERT(cache.mod_revision(key) == entry.mod_revision);
  state::StateCache fresh(settings);
  std::vector<wire::Event> items;
  for (const auto& [key, entry] : store.keys)
    items.push_back({key, entry.value, entry.mod_revision});
  fresh.replace(store.revision, items, changes);
  RC_ASSERT(fresh.jobs().size() == cache.jobs().size());
}

TEST(StateCache, AnOlderSetDoesNotReviveADroppedJob) {
  config::Settings settings = make_settings();
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  std::string key = state::job_key("run-100000"), value = wire::encode_record(make_job(0, 1, 1));
  cache.apply({key, std::nullopt, 9}, changes);  // the node's own commit, answered first
  cache.apply({key, value, 8}, changes);         // an older event of the watch
  EXPECT_EQ(cache.job("run-100000"), nullptr);
  cache.advance(9);
  cache.apply({key, value, 8}, changes);
  EXPECT_EQ(cache.job("run-100000"), nullptr);
}

// All keys are read page by page, at different revisions, while this node's own commits are
// answered and before the watch continues from the first page's revision. The cache must still end
// as a copy of the store, and a job known to be deleted must not reappear. (A job whose
// cancellation was answered during the read used to reappear for good, since the watch's deletion
// was ignored as outdated.)
RC_GTEST_PROP(StateCache, ConvergesToTheStoreDuringAFullRead, ()) {
  config::Settings settings = make_settings();
  Store store;
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  auto key = [](int n) { return state::job_key("run-" + std::to_string(100000 + n)); };
  std::set<int> used;
  auto step = [&](int action, bool own) {
    const int n = action % 6;
    wire::Transaction txn;
    if (store.mod_revision(key(n)))
      txn.ops.push_back({key(n), std::nullopt, 0});
    else if (used.insert(n).second)  // a job's key is set once
      txn.ops.push_back({key(n), wire::encode_record(make_job(n, 2, 1)), 0});
    if (txn.ops.empty()) return;
    auto revision = store.commit(txn);
    if (!own) return;
    for (const auto& op : txn.ops) cache.apply({op.key, op.value, *revision}, changes);
  };
  using Steps = std::vector<std::pair<int, bool>>;
  auto steps = [] {
    return *rc::gen::container<Steps>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<bool>()));
  };
  for (auto [action, own] : steps()) step(action, own);
  store.read(cache, changes);
  for (auto [action, own] : steps()) step(action, own);
  // Reads three pages, with random commits between them.
  std::vector<wire::Event> items;
  const std::uint64_t first = store.revision;
  for (int page = 0; page < 3; ++page) {
    for (int n = 2 * page; n < 2 * page + 2; ++n)
      if (store.mod_revision(key(n)))
        items.push_back({key(n), store.keys[key(n)].value, store.mod_revision(key(n))});
    for (auto [action, own] : steps()) step(action, own);
  }
  std::set<std::string> deleted;
  for (int n : used)
    if (std::string id = "run-" + std::to_string(100000 + n);
        !cache.job(id) && !store.mod_revision(key(n)))
      deleted.insert(id);
  const bool had_read_all = cache.revision() >= first;
  cache.replace(first, items, changes);
  if (had_read_all)
    for (const auto& id : deleted) RC_ASSERT(!cache.job(id));
  store.read(cache, changes);
  for (int n = 0; n < 6; ++n) {
    RC_ASSERT(cache.mod_revision(key(n)) == store.mod_revision(key(n)));
    RC_ASSERT((cache.job("run-" + std::to_string(100000 + n)) != nullptr) ==
              (store.mod_revision(key(n)) != 0));
  }
}
TEST(StateCache, AJobDeletedDuringAFullReadStaysDeleted) {
  config::Settings settings = make_settings();
  state::StateCache cache(settings);
  std::vector<state::Change> changes;
  const std::string key = state::job_key("run-100000"),
                    value = wire::encode_record(make_job(0, 1, 1));
  cache.apply({key, value, 5}, changes);
  cache.advance(6);
  cache.apply({key, std::nullopt, 9}, changes);  // answered while the pages are read
  cache.replace(7, {{key, value, 5}}, changes);
  EXPECT_EQ(cache.job("run-100000"), nullptr);
  cache.apply({key, std::nullopt, 9}, changes);
  cache.advance(9);
  EXPECT_EQ(cache.job("run-100000"), nullptr);
  EXPECT_EQ(cache.mod_revision(key), 0u);
}

struct Cluster {
  config::Settings base = make_settings(3);
  Store store;
  void set_alive(int n, bool is_alive) {
    wire::Transaction txn;
    std::string key = state::node_key(base.nodes[n]);
    txn.ops.push_back({key, is_alive ? std::optional<std::string>("{}") : std::nullopt, 0});
    store.commit(txn);
  }
};

// Nodes join, leave and decide in any order, on caches of any age. Every commit that succeeds gives
// a higher token, and a node uses only a token granted to it, while it has read of no higher one.
RC_GTEST_PROP(LeaderElection, TokensIncreaseAndOneNodeHoldsEach, ()) {
  Cluster cluster;
  std::vector<config::Settings> settings;
  for (int n = 0; n < 3; ++n) {
    settings.push_back(cluster.base);
    settings.back().self = n;
    settings.back().node = cluster.base.nodes[n];
  }
  std::vector<state::StateCache> caches;
  std::vector<shard::LeaderElection> elections;
  for (int n = 0; n < 3; ++n) {
    caches.emplace_back(settings[n]);
    elections.emplace_back(settings[n]);
  }
  std::map<std::uint64_t, int> granted;  // token -> node
  auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      120, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)));
  double now = 0;
  for (auto [n, action] : steps) {
    now += 1.5;
    std::vector<state::Change> changes;
    if (action == 0) {
      cluster.set_alive(n, false);
    } else if (action == 1) {
      cluster.set_alive(n, true);
      elections[n].registered(cluster.store.revision);
    } else if (action < 6) {
      cluster.store.read(caches[n], changes);
    }
    elections[n].observe(caches[n], now);
    for (int shard_index = 0; shard_index < 3; ++shard_index) {
      shard::LeadershipMove move = elections[n].decide(caches[n], shard_index, now, 0);
      if (move.kind == shard::LeadershipMove::lead) {
        auto grant = granted.find(move.token);
        bool is_own = grant != granted.end() && grant->second == n;
        RC_ASSERT(is_own);
      }
      if (move.kind != shard::LeadershipMove::take && move.kind != shard::LeadershipMove::hand_over)
        continue;
      int to = move.kind == shard::LeadershipMove::take ? n : move.to;
      wire::Transaction txn;
      txn.preconditions = move.preconditions;
      txn.ops.push_back({state::leader_key(shard_index),
                         wire::encode_record(wire::LeaderRecord{cluster.base.nodes[to], ""}), 0});
      bool is_leader_absent =
          caches[n].leader(shard_index).node < 0 || caches[n].leader(shard_index).node == n ||
          !cluster.store.mod_revision(
              state::node_key(cluster.base.nodes[caches[n].leader(shard_index).node]));
      if (auto revision = cluster.store.commit(txn)) {
        RC_ASSERT(is_leader_absent);  // a shard is never taken from a node whose key exists
        bool is_increasing = granted.empty() || granted.rbegin()->first < *revision;
        RC_ASSERT(is_increasing);
        granted[*revision] = to;
      }
    }
  }
}

// One node that is registered and takes part in the election.
struct OneNode {
  config::Settings settings = make_settings(1);
  state::StateCache cache{settings};
  Store store;
  shard::LeaderElection election{settings};
  std::vector<state::Change> changes;

  OneNode() {
    wire::Transaction node;
    node.ops.push_back({state::node_key("node-0"), "{}", 0});
    store.commit(node);
    election.registered(store.revision);
  }
  void read() { store.read(cache, changes); }
  static wire::Transaction take_leadership() {
    wire::Transaction own;
    own.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", ""}), 0});
    return own;
  }
};

// In a simulated day of a larger cluster, a task was started twice: the new leader used its token
// before it had read the old leader's last placements, which were committed just before its own.
TEST(LeaderElection, ATokenIsUsedOnlyAfterAllEarlierCommitsAreRead) {
  OneNode fixture;
  fixture.read();
  fixture.election.observe(fixture.cache, 1);
  EXPECT_EQ(fixture.election.decide(fixture.cache, 0, 100, 0).kind, shard::LeadershipMove::take);
  fixture.store.commit(
      {{}, {{state::job_key("run-100000"), wire::encode_record(make_job(0, 1, 1)), 0}}});
  const wire::Transaction own = OneNode::take_leadership();
  auto revision = fixture.store.commit(own);
  fixture.cache.apply({own.ops[0].key, own.ops[0].value, *revision},
                      fixture.changes);  // answered, not yet read
  EXPECT_EQ(fixture.election.decide(fixture.cache, 0, 101, 0).kind, shard::LeadershipMove::none);
  fixture.read();
  EXPECT_EQ(fixture.election.decide(fixture.cache, 0, 101, 0).kind, shard::LeadershipMove::lead);
  EXPECT_NE(fixture.cache.job("run-100000"), nullptr);
}

TEST(LeaderElection, ATokenWhoseSchedulerWasClosedIsReclaimed) {
  OneNode fixture;
  fixture.store.commit(OneNode::take_leadership());
  fixture.read();
  fixture.election.observe(fixture.cache, 1);
  EXPECT_EQ(fixture.election.decide(fixture.cache, 0, 1, 0).kind, shard::LeadershipMove::lead);
  EXPECT_EQ(fixture.election.decide(fixture.cache, 0, 1, fixture.cache.leader(0).mod_revision).kind,
            shard::LeadershipMove::take);
}

}  // namespace
}  // namespace shunttrail::test

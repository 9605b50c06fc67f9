// The cache and the ownership, by generated orders of events.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "shard/leader_election.h"

namespace shunttrail::test {
namespace {

// Own writes are applied when answered, before or after the watch brings them; whatever the
// order, the cache ends as the store is, and a job that has gone does not come back on the way.
RC_GTEST_PROP(StateCache, ConvergesToTheStoreWhateverTheOrder, ()) {
  config::Settings s = make_settings();
  Store store;
  state::StateCache w(s);
  std::vector<state::Change> changes;
  std::set<std::string> gone;
  auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<bool>()));
  for (auto [what, early] : steps) {
    std::string id = "run-" + std::to_string(100000 + what % 4);
    wire::Transaction t;
    if (what < 4 && !gone.contains(id))
      t.ops.push_back({state::job_key(id), wire::encode_record(make_job(what % 4, 2, 1)), 0});
    else if (what < 8 && store.mod_revision(state::job_key(id))) {
      t.ops.push_back({state::job_key(id), std::nullopt, 0});
      gone.insert(id);
    }
    if (what >= 10) {
      store.read(w, changes);
      continue;
    }
    if (t.ops.empty()) continue;
    auto rev = store.commit(t);
    RC_ASSERT(rev.has_value());
    if (early)
      for (const auto& op : t.ops) w.apply({op.key, op.value, *rev}, changes);
  }
  // Seen one event at a time, no job that was known to be gone is live again.
  std::set<std::string> known_gone;
  for (const auto& id : gone)
    if (!w.job(id) && !store.mod_revision(state::job_key(id))) known_gone.insert(id);
  store.read(w, changes);
  for (const auto& id : gone) RC_ASSERT(!w.job(id));
  for (const auto& [k, e] : store.keys) RC_ASSERT(w.mod_revision(k) == e.mod_revision);
  state::StateCache fresh(s);
  std::vector<wire::Event> items;
  for (const auto& [k, e] : store.keys) items.push_back({k, e.value, e.mod_revision});
  fresh.replace(store.revision, items, changes);
  RC_ASSERT(fresh.jobs().size() == w.jobs().size());
}

TEST(StateCache, AnOlderSetDoesNotReviveADroppedJob) {
  config::Settings s = make_settings();
  state::StateCache w(s);
  std::vector<state::Change> ch;
  std::string key = state::job_key("run-100000"), value = wire::encode_record(make_job(0, 1, 1));
  w.apply({key, std::nullopt, 9}, ch);  // our own commit, answered first
  w.apply({key, value, 8}, ch);         // the watch, still catching up
  EXPECT_EQ(w.job("run-100000"), nullptr);
  w.advance(9);
  w.apply({key, value, 8}, ch);
  EXPECT_EQ(w.job("run-100000"), nullptr);
}

// All keys are read page by page, at different revisions, while this node's own commits are
// answered and before the watch goes on from the first page's: the cache still ends as the store,
// and a job that was known to be gone is not live in between. (A job whose cancellation was
// answered during the reading came back for good: the watch's drop was taken for old news.)
RC_GTEST_PROP(StateCache, ConvergesToTheStoreWhenAllIsReadAgainMeanwhile, ()) {
  config::Settings s = make_settings();
  Store store;
  state::StateCache w(s);
  std::vector<state::Change> changes;
  auto key = [](int n) { return state::job_key("run-" + std::to_string(100000 + n)); };
  std::set<int> used;
  auto step = [&](int what, bool own) {
    const int n = what % 6;
    wire::Transaction t;
    if (store.mod_revision(key(n)))
      t.ops.push_back({key(n), std::nullopt, 0});
    else if (used.insert(n).second)  // a job's key is set once
      t.ops.push_back({key(n), wire::encode_record(make_job(n, 2, 1)), 0});
    if (t.ops.empty()) return;
    auto rev = store.commit(t);
    if (!own) return;
    for (const auto& op : t.ops) w.apply({op.key, op.value, *rev}, changes);
  };
  using Steps = std::vector<std::pair<int, bool>>;
  auto steps = [] {
    return *rc::gen::container<Steps>(
        rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::arbitrary<bool>()));
  };
  for (auto [what, own] : steps()) step(what, own);
  store.read(w, changes);
  for (auto [what, own] : steps()) step(what, own);
  // Three pages, and what happens between them.
  std::vector<wire::Event> items;
  const std::uint64_t first = store.revision;
  for (int page = 0; page < 3; ++page) {
    for (int n = 2 * page; n < 2 * page + 2; ++n)
      if (store.mod_revision(key(n)))
        items.push_back({key(n), store.keys[key(n)].value, store.mod_revision(key(n))});
    for (auto [what, own] : steps()) step(what, own);
  }
  std::set<std::string> gone;
  for (int n : used)
    if (std::string id = "run-" + std::to_string(100000 + n);
        !w.job(id) && !store.mod_revision(key(n)))
      gone.insert(id);
  const bool knew_all = w.revision() >= first;
  w.replace(first, items, changes);
  if (knew_all)
    for (const auto& id : gone) RC_ASSERT(!w.job(id));
  store.read(w, changes);
  for (int n = 0; n < 6; ++n) {
    RC_ASSERT(w.mod_revision(key(n)) == store.mod_revision(key(n)));
    RC_ASSERT((w.job("run-" + std::to_string(100000 + n)) != nullptr) ==
              (store.mod_revision(key(n)) != 0));
  }
}
TEST(StateCache, AJobDeletedDuringAFullReadStaysDeleted) {
  config::Settings s = make_settings();
  state::StateCache w(s);
  std::vector<state::Change> ch;
  const std::string key = state::job_key("run-100000"),
                    value = wire::encode_record(make_job(0, 1, 1));
  w.apply({key, value, 5}, ch);
  w.advance(6);
  w.apply({key, std::nullopt, 9}, ch);  // answered while the pages are read
  w.replace(7, {{key, value, 5}}, ch);
  EXPECT_EQ(w.job("run-100000"), nullptr);
  w.apply({key, std::nullopt, 9}, ch);
  w.advance(9);
  EXPECT_EQ(w.job("run-100000"), nullptr);
  EXPECT_EQ(w.mod_revision(key), 0u);
}

struct Cluster {
  config::Settings base = make_settings(3);
  Store store;
  void alive(int n, bool yes) {
    wire::Transaction t;
    std::string k = state::node_key(base.nodes[n]);
    t.ops.push_back({k, yes ? std::optional<std::string>("{}") : std::nullopt, 0});
    store.commit(t);
  }
};

// Nodes come, go and decide in any order, on caches of any age. Every commit that is let through
// gives a higher token, and a node acts on a token only while no higher one was granted, as far
// as it has read.
RC_GTEST_PROP(LeaderElection, TokensIncreaseAndOneNodeHoldsEach, ()) {
  Cluster c;
  std::vector<config::Settings> settings;
  for (int n = 0; n < 3; ++n) {
    settings.push_back(c.base);
    settings.back().self = n;
    settings.back().node = c.base.nodes[n];
  }
  std::vector<state::StateCache> worlds;
  std::vector<shard::LeaderElection> owners;
  for (int n = 0; n < 3; ++n) {
    worlds.emplace_back(settings[n]);
    owners.emplace_back(settings[n]);
  }
  std::map<std::uint64_t, int> granted;  // token -> node
  auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      120, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 10)));
  double now = 0;
  for (auto [n, what] : steps) {
    now += 1.5;
    std::vector<state::Change> ch;
    if (what == 0) {
      c.alive(n, false);
    } else if (what == 1) {
      c.alive(n, true);
      owners[n].registered(c.store.revision);
    } else if (what < 6) {
      c.store.read(worlds[n], ch);
    }
    owners[n].observe(worlds[n], now);
    for (int k = 0; k < 3; ++k) {
      shard::LeadershipMove m = owners[n].decide(worlds[n], k, now, 0);
      if (m.kind == shard::LeadershipMove::lead) {
        auto grant = granted.find(m.token);
        bool mine = grant != granted.end() && grant->second == n;
        RC_ASSERT(mine);
      }
      if (m.kind != shard::LeadershipMove::take && m.kind != shard::LeadershipMove::hand_over)
        continue;
      int to = m.kind == shard::LeadershipMove::take ? n : m.to;
      wire::Transaction t;
      t.preconditions = m.preconditions;
      t.ops.push_back(
          {state::leader_key(k), wire::encode_record(wire::LeaderRecord{c.base.nodes[to], ""}), 0});
      bool owner_gone =
          worlds[n].leader(k).node < 0 || worlds[n].leader(k).node == n ||
          !c.store.mod_revision(state::node_key(c.base.nodes[worlds[n].leader(k).node]));
      if (auto rev = c.store.commit(t)) {
        RC_ASSERT(owner_gone);  // never from a node whose key was there
        bool rises = granted.empty() || granted.rbegin()->first < *rev;
        RC_ASSERT(rises);
        granted[*rev] = to;
      }
    }
  }
}

// One node that is registered with the state service, and takes part in elections.
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

// A grown day saw a task started twice: the new leader knew of its own commit before it had read
// the old leader's last placements, which were committed just before.
TEST(LeaderElection, ATokenIsActedOnOnlyOnceAllBeforeItHasBeenRead) {
  OneNode n;
  n.read();
  n.election.observe(n.cache, 1);
  EXPECT_EQ(n.election.decide(n.cache, 0, 100, 0).kind, shard::LeadershipMove::take);
  n.store.commit({{}, {{state::job_key("run-100000"), wire::encode_record(make_job(0, 1, 1)), 0}}});
  const wire::Transaction own = OneNode::take_leadership();
  auto rev = n.store.commit(own);
  n.cache.apply({own.ops[0].key, own.ops[0].value, *rev}, n.changes);  // answered, not yet read
  EXPECT_EQ(n.election.decide(n.cache, 0, 101, 0).kind, shard::LeadershipMove::none);
  n.read();
  EXPECT_EQ(n.election.decide(n.cache, 0, 101, 0).kind, shard::LeadershipMove::lead);
  EXPECT_NE(n.cache.job("run-100000"), nullptr);
}

TEST(LeaderElection, ATokenWhoseSchedulerWasClosedIsReclaimed) {
  OneNode n;
  n.store.commit(OneNode::take_leadership());
  n.read();
  n.election.observe(n.cache, 1);
  EXPECT_EQ(n.election.decide(n.cache, 0, 1, 0).kind, shard::LeadershipMove::lead);
  EXPECT_EQ(n.election.decide(n.cache, 0, 1, n.cache.leader(0).mod_revision).kind,
            shard::LeadershipMove::take);
}

}  // namespace
}  // namespace shunttrail::test

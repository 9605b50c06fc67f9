// Job dependencies, compared with a brute-force model that walks all jobs for each question.
#include "jobs/dependency_graph.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"
#include "jobs/state_transitions.h"

namespace shunttrail::test {
namespace {

using jobs::DependencyGraph;

// One node's cache and graph over a store in which jobs are submitted, done and cancelled.
struct GraphFixture {
  config::Settings settings = make_settings(1);
  Store store;
  state::StateCache cache{settings};
  DependencyGraph graph{cache};
  std::map<std::string, wire::JobRecord> jobs;

  static std::string id(int n) { return make_job(n, 1, 1).spec.id; }
  void read() {
    std::vector<state::Change> changes;
    store.read(cache, changes);
    for (const auto& change : changes) graph.key_changed(change.name);
  }
  std::optional<wire::JobResultRecord> result_of(const std::string& job) const {
    auto it = store.keys.find(state::job_result_key(job));
    if (it == store.keys.end()) return std::nullopt;
    return wire::decode_job_result(it->second.value);
  }
  // Passes a job's result to the graph, as a read at some later time would.
  void read_result(const std::string& job) {
    if (auto result = result_of(job)) graph.job_ended(job, result->cancelled);
  }
  void read_all_results() {
    while (!graph.unread().empty()) {
      auto before = graph.unread();
      for (const auto& job : before) read_result(job);
      if (graph.unread() == before) return;
    }
  }
  void submit(int n, std::vector<int> dependencies, wire::Priority priority = wire::Priority::idle,
              std::optional<double> due = std::nullopt) {
    wire::JobRecord record = make_job(n, 1, 1);
    record.spec.priority = priority;
    record.spec.deadline_s = due;
    record.spec.estimate_s = 10;
    for (int dependency : dependencies) record.spec.dependencies.push_back(id(dependency));
    jobs[record.spec.id] = record;
    const auto& key =
        dependencies.empty() ? state::job_key(record.spec.id) : state::waiting_key(record.spec.id);
    store.commit({{}, {{key, wire::encode_record(record), 0}}});
  }
  void end(const std::string& job, bool cancelled) {
    wire::JobResultRecord result;
    result.cancelled = cancelled;
    const std::string key =
        store.mod_revision(state::job_key(job)) ? state::job_key(job) : state::waiting_key(job);
    if (!store.mod_revision(key)) return;
    store.commit(
        {{},
         {{key, std::nullopt, 0}, {state::job_result_key(job), wire::encode_record(result), 0}}});
  }
  bool apply_transitions(bool ready) {
    auto transitions = jobs::state_transitions(cache, graph, ready, {2048, 4, 16}, 100, "t",
                                               [](const std::string&) { return true; });
    if (transitions.txn.ops.empty()) return false;
    EXPECT_LE(transitions.txn.ops.size(), 4u);
    EXPECT_LE(transitions.txn.preconditions.size(), 16u);
    bool is_committed = store.commit(transitions.txn).has_value();
    if (is_committed)
      for (const auto& [job, result] : transitions.results) graph.job_ended(job, result.cancelled);
    read();
    return is_committed;
  }
  // The brute-force model.
  bool doomed(const std::string& job) const {
    if (auto result = result_of(job)) return result->cancelled;
    for (const auto& dependency : jobs.at(job).spec.dependencies)
      if (doomed(dependency)) return true;
    return false;
  }
  bool all_done(const std::string& job) const {
    for (const auto& dependency : jobs.at(job).spec.dependencies) {
      auto result = result_of(dependency);
      if (!result || result->cancelled) return false;
    }
    return true;
  }
  jobs::EffectivePriority expected_priority(const std::string& job) const {
    const auto& record = jobs.at(job);
    jobs::EffectivePriority effective{record.spec.priority,
                                      std::numeric_limits<double>::infinity()};
    if (record.spec.deadline_s) effective.due = *record.spec.deadline_s;
    for (const auto& [other, entry] : cache.waiting()) {
      const auto& dependencies = entry.record.spec.dependencies;
      if (std::find(dependencies.begin(), dependencies.end(), job) == dependencies.end() ||
          doomed(other))
        continue;
      auto inherited = expected_priority(other);
      effective.priority = std::min(effective.priority, inherited.priority);
      effective.due = std::min(effective.due, inherited.due - entry.record.spec.estimate_s);
    }
    return effective;
  }
};

RC_GTEST_PROP(DependencyGraph, MatchesABruteForceModelUnderRandomOperations, ()) {
  GraphFixture fixture;
  int next = 0;
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
      rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000)));
  for (auto [operation, a, b] : steps) {
    if (operation < 4) {
      std::set<int> dependencies;
      if (next && operation) dependencies.insert(a % next);
      if (next && operation > 1) dependencies.insert(b % next);
      std::vector<int> unfinished;
      bool cancelled = false;
      for (int n : dependencies) {
        // As on submission: done dependencies are dropped, and a job with a cancelled one is
        // rejected.
        auto result = fixture.result_of(GraphFixture::id(n));
        cancelled |= result && result->cancelled;
        if (!result) unfinished.push_back(n);
      }
      if (cancelled) continue;
      fixture.submit(next++, unfinished, static_cast<wire::Priority>(b % 4),
                     a % 3 ? std::nullopt : std::optional<double>(100 + a));
    } else if (operation < 7 && next) {
      const std::string job = GraphFixture::id(a % next);
      // Only jobs that may run can be done; any unfinished job can be cancelled.
      if (fixture.store.mod_revision(state::job_key(job)))
        fixture.end(job, operation == 4);
      else if (operation == 4)
        fixture.end(job, true);
    } else if (operation == 7) {
      if (!fixture.graph.unread().empty()) fixture.read_result(*fixture.graph.unread().begin());
    } else {
      fixture.apply_transitions(operation == 8);
    }
    if (b % 3) fixture.read();
    // Ready and doomed jobs are proven to be so, even if some results have not been read yet.
    for (const auto& job : fixture.graph.ready())
      RC_ASSERT(fixture.all_done(job) || !fixture.cache.waiting(job));
    for (const auto& job : fixture.graph.doomed()) RC_ASSERT(fixture.doomed(job));
  }
  fixture.read();
  fixture.read_all_results();
  for (const auto& [job, entry] : fixture.cache.waiting()) {
    bool doomed = fixture.doomed(job);
    RC_ASSERT(fixture.graph.state_of(job) == (doomed ? DependencyGraph::DependencyState::cancelled
                                                     : DependencyGraph::DependencyState::queued));
    RC_ASSERT(fixture.graph.doomed().contains(job) == doomed);
    RC_ASSERT(fixture.graph.ready().contains(job) == (!doomed && fixture.all_done(job)));
  }
  for (const auto* live : {&fixture.cache.jobs(), &fixture.cache.waiting()})
    for (const auto& [job, entry] : *live)
      if (!fixture.doomed(job))
        RC_ASSERT(fixture.graph.effective_priority(job, entry.record) ==
                  fixture.expected_priority(job));
  // All transitions are committed in the end, and the graph keeps no nodes that nothing needs.
  while (fixture.apply_transitions(true) || fixture.apply_transitions(false))
    fixture.read_all_results();
  for (const auto& [job, entry] : fixture.cache.waiting())
    RC_ASSERT(!fixture.doomed(job) && !fixture.all_done(job));
}

// A deleted key alone proves nothing: the job may have been cancelled.
TEST(DependencyGraph, OnlyAResultRecordProvesThatAJobIsDone) {
  GraphFixture fixture;
  fixture.submit(0, {});
  fixture.submit(1, {0});
  fixture.read();
  fixture.end(GraphFixture::id(0), false);
  fixture.read();
  EXPECT_TRUE(fixture.graph.ready().empty());
  std::vector<std::string> missing;
  EXPECT_EQ(fixture.graph.state_of(GraphFixture::id(1), &missing),
            DependencyGraph::DependencyState::unread);
  EXPECT_EQ(missing, std::vector<std::string>{GraphFixture::id(0)});
  fixture.read_result(GraphFixture::id(0));
  EXPECT_TRUE(fixture.graph.ready().contains(GraphFixture::id(1)));
}

// A delayed copy of a transition, applied after another node moved the job and the job ended, or
// after the job was cancelled, must change nothing. Two preconditions fail in each case.
TEST(DependencyGraph, ALateTransitionIsRejectedByEachOfItsPreconditions) {
  for (bool is_cancelled : {true, false}) {
    GraphFixture fixture;
    fixture.submit(0, {});
    fixture.submit(1, {0});
    fixture.read();
    fixture.end(GraphFixture::id(0), false);
    fixture.read();
    fixture.read_result(GraphFixture::id(0));
    auto transitions = jobs::state_transitions(fixture.cache, fixture.graph, true, {2048, 4, 16},
                                               100, "t", [](const std::string&) { return true; });
    ASSERT_EQ(transitions.txn.ops.size(), 2u);
    ASSERT_EQ(transitions.txn.preconditions.size(), 3u);
    if (!is_cancelled) fixture.apply_transitions(true);
    fixture.end(GraphFixture::id(1), is_cancelled);
    std::size_t failing = 0;
    for (const auto& precondition : transitions.txn.preconditions)
      failing += fixture.store.mod_revision(precondition.first) != precondition.second;
    EXPECT_EQ(failing, 2u);  // the waiting key, and the result
    EXPECT_FALSE(fixture.store.commit(transitions.txn));
  }
}

// The graph is both deep and wide: updates must not recurse, and transactions hold four operations.
TEST(DependencyGraph, CancellingARootCancelsThousandsOfDependents) {
  GraphFixture fixture;
  fixture.submit(0, {});
  constexpr int kDeep = 3000;
  for (int i = 1; i <= kDeep; ++i) fixture.submit(i, {i - 1});
  for (int i = 1; i <= kDeep; ++i) fixture.submit(kDeep + i, {0}, wire::Priority::high, 500);
  fixture.read();
  EXPECT_EQ(
      fixture.graph.effective_priority(GraphFixture::id(0), fixture.jobs.at(GraphFixture::id(0)))
          .priority,
      wire::Priority::high);
  fixture.end(GraphFixture::id(0), true);
  fixture.read();
  fixture.read_result(GraphFixture::id(0));
  EXPECT_EQ(fixture.graph.doomed().size(), 2u * kDeep);
  EXPECT_EQ(fixture.graph.state_of(GraphFixture::id(kDeep)),
            DependencyGraph::DependencyState::cancelled);
  int transactions = 0;
  while (fixture.apply_transitions(false)) ++transactions;
  EXPECT_EQ(transactions, kDeep);
  EXPECT_TRUE(fixture.cache.waiting().empty());
  EXPECT_FALSE(fixture.graph.contains(GraphFixture::id(0)));
}

// A dependent's deadline, less the run times on the path, applies to its dependencies until the
// dependent is cancelled.
TEST(DependencyGraph, EffectivePriorityFollowsDependents) {
  GraphFixture fixture;
  fixture.submit(0, {});
  fixture.submit(1, {0});
  fixture.read();
  auto effective = [&](int n) {
    return fixture.graph.effective_priority(GraphFixture::id(n),
                                            fixture.jobs.at(GraphFixture::id(n)));
  };
  EXPECT_EQ(effective(0).priority, wire::Priority::idle);
  fixture.submit(2, {1}, wire::Priority::high, 300);  // submitted last, with the highest priority
  fixture.read();
  EXPECT_EQ(effective(0).priority, wire::Priority::high);
  EXPECT_EQ(effective(1).due, 290);
  EXPECT_EQ(effective(0).due, 280);
  auto changed = fixture.graph.take_changed();
  EXPECT_NE(std::find(changed.begin(), changed.end(), GraphFixture::id(0)), changed.end());
  fixture.end(GraphFixture::id(2), true);
  fixture.read();
  EXPECT_EQ(effective(0).priority, wire::Priority::idle);
  changed = fixture.graph.take_changed();
  EXPECT_NE(std::find(changed.begin(), changed.end(), GraphFixture::id(0)), changed.end());
}

}  // namespace
}  // namespace shunttrail::test

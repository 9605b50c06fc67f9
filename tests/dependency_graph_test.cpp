// Jobs that await others, against a model that is worked out anew each time by walking everything.
#include "jobs/dependency_graph.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "emulators.h"

namespace shunttrail::test {
namespace {

using jobs::DependencyGraph;

// One node's view of a store in which jobs come, end and are cancelled.
struct View {
  config::Settings s = make_settings(1);
  Store store;
  state::StateCache w{s};
  DependencyGraph p{w};
  std::map<std::string, wire::JobRecord> jobs;

  static std::string id(int n) { return make_job(n, 1, 1).spec.id; }
  void read() {
    std::vector<state::Change> changes;
    store.read(w, changes);
    for (const auto& c : changes) p.key_changed(c.name);
  }
  std::optional<wire::JobResultRecord> final_of(const std::string& job) const {
    auto it = store.keys.find(state::job_result_key(job));
    if (it == store.keys.end()) return std::nullopt;
    return wire::decode_job_result(it->second.value);
  }
  // As a final record is read: at some later time, from what is there then.
  void look(const std::string& job) {
    if (auto f = final_of(job)) p.job_ended(job, f->cancelled);
  }
  void look_all() {
    while (!p.unread().empty()) {
      auto before = p.unread();
      for (const auto& job : before) look(job);
      if (p.unread() == before) return;
    }
  }
  void submit(int n, std::vector<int> awaits, wire::Priority priority = wire::Priority::idle,
              std::optional<double> due = std::nullopt) {
    wire::JobRecord r = make_job(n, 1, 1);
    r.spec.priority = priority;
    r.spec.deadline_s = due;
    r.spec.estimate_s = 10;
    for (int a : awaits) r.spec.dependencies.push_back(id(a));
    jobs[r.spec.id] = r;
    const auto& key = awaits.empty() ? state::job_key(r.spec.id) : state::waiting_key(r.spec.id);
    store.commit({{}, {{key, wire::encode_record(r), 0}}});
  }
  void end(const std::string& job, bool cancelled) {
    wire::JobResultRecord f;
    f.cancelled = cancelled;
    const std::string key =
        store.mod_revision(state::job_key(job)) ? state::job_key(job) : state::waiting_key(job);
    if (!store.mod_revision(key)) return;
    store.commit(
        {{}, {{key, std::nullopt, 0}, {state::job_result_key(job), wire::encode_record(f), 0}}});
  }
  bool move(bool ready) {
    auto m = jobs::state_transitions(w, p, ready, {2048, 4, 16}, 100, "t",
                                     [](const std::string&) { return true; });
    if (m.txn.ops.empty()) return false;
    EXPECT_LE(m.txn.ops.size(), 4u);
    EXPECT_LE(m.txn.preconditions.size(), 16u);
    bool ok = store.commit(m.txn).has_value();
    if (ok)
      for (const auto& [job, f] : m.results) p.job_ended(job, f.cancelled);
    read();
    return ok;
  }
  // The model.
  bool doomed(const std::string& job) const {
    if (auto f = final_of(job)) return f->cancelled;
    for (const auto& a : jobs.at(job).spec.dependencies)
      if (doomed(a)) return true;
    return false;
  }
  bool all_done(const std::string& job) const {
    for (const auto& a : jobs.at(job).spec.dependencies) {
      auto f = final_of(a);
      if (!f || f->cancelled) return false;
    }
    return true;
  }
  jobs::EffectivePriority urgency(const std::string& job) const {
    const auto& r = jobs.at(job);
    jobs::EffectivePriority u{r.spec.priority, std::numeric_limits<double>::infinity()};
    if (r.spec.deadline_s) u.due = *r.spec.deadline_s;
    for (const auto& [other, e] : w.waiting()) {
      const auto& needs = e.record.spec.dependencies;
      if (std::find(needs.begin(), needs.end(), job) == needs.end() || doomed(other)) continue;
      auto up = urgency(other);
      u.priority = std::min(u.priority, up.priority);
      u.due = std::min(u.due, up.due - e.record.spec.estimate_s);
    }
    return u;
  }
};

RC_GTEST_PROP(DependencyGraph, FollowTheModel, ()) {
  View v;
  int next = 0;
  auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
      rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000)));
  for (auto [what, a, b] : steps) {
    if (what < 4) {
      std::set<int> awaits;
      if (next && what) awaits.insert(a % next);
      if (next && what > 1) awaits.insert(b % next);
      std::vector<int> open;
      bool cancelled = false;
      for (int n : awaits) {
        // The door: what is done need not be awaited, below what is cancelled nothing waits.
        auto f = v.final_of(View::id(n));
        cancelled |= f && f->cancelled;
        if (!f) open.push_back(n);
      }
      if (cancelled) continue;
      v.submit(next++, open, static_cast<wire::Priority>(b % 4),
               a % 3 ? std::nullopt : std::optional<double>(100 + a));
    } else if (what < 7 && next) {
      const std::string job = View::id(a % next);
      // Only what may run can be done; anything that is not over can be cancelled.
      if (v.store.mod_revision(state::job_key(job)))
        v.end(job, what == 4);
      else if (what == 4)
        v.end(job, true);
    } else if (what == 7) {
      if (!v.p.unread().empty()) v.look(*v.p.unread().begin());
    } else {
      v.move(what == 8);
    }
    if (b % 3) v.read();
    // What may be moved is proven, whatever has not been read yet.
    for (const auto& job : v.p.ready()) RC_ASSERT(v.all_done(job) || !v.w.waiting(job));
    for (const auto& job : v.p.doomed()) RC_ASSERT(v.doomed(job));
  }
  v.read();
  v.look_all();
  for (const auto& [job, e] : v.w.waiting()) {
    bool doomed = v.doomed(job);
    RC_ASSERT(v.p.state_of(job) == (doomed ? DependencyGraph::DependencyState::cancelled
                                           : DependencyGraph::DependencyState::queued));
    RC_ASSERT(v.p.doomed().contains(job) == doomed);
    RC_ASSERT(v.p.ready().contains(job) == (!doomed && v.all_done(job)));
  }
  for (const auto* live : {&v.w.jobs(), &v.w.waiting()})
    for (const auto& [job, e] : *live)
      if (!v.doomed(job)) RC_ASSERT(v.p.effective_priority(job, e.record) == v.urgency(job));
  // In the end all that waits is moved, and nothing is remembered that nothing needs.
  while (v.move(true) || v.move(false)) v.look_all();
  for (const auto& [job, e] : v.w.waiting()) RC_ASSERT(!v.doomed(job) && !v.all_done(job));
}

// A key that is gone proves nothing: the job may have been cancelled.
TEST(DependencyGraph, OnlyAResultRecordProvesThatAJobIsDone) {
  View v;
  v.submit(0, {});
  v.submit(1, {0});
  v.read();
  v.end(View::id(0), false);
  v.read();
  EXPECT_TRUE(v.p.ready().empty());
  std::vector<std::string> missing;
  EXPECT_EQ(v.p.state_of(View::id(1), &missing), DependencyGraph::DependencyState::unread);
  EXPECT_EQ(missing, std::vector<std::string>{View::id(0)});
  v.look(View::id(0));
  EXPECT_TRUE(v.p.ready().contains(View::id(1)));
}

// A copy of a move that comes late, after the job was moved by another node and is over, or was
// withdrawn, changes nothing: each of its preconditions is enough for that.
TEST(DependencyGraph, ALateTransitionIsRefusedByEachOfItsPreconditions) {
  for (bool withdrawn : {true, false}) {
    View v;
    v.submit(0, {});
    v.submit(1, {0});
    v.read();
    v.end(View::id(0), false);
    v.read();
    v.look(View::id(0));
    auto m = jobs::state_transitions(v.w, v.p, true, {2048, 4, 16}, 100, "t",
                                     [](const std::string&) { return true; });
    ASSERT_EQ(m.txn.ops.size(), 2u);
    ASSERT_EQ(m.txn.preconditions.size(), 3u);
    if (!withdrawn) v.move(true);
    v.end(View::id(1), withdrawn);
    std::size_t refusing = 0;
    for (const auto& g : m.txn.preconditions) refusing += v.store.mod_revision(g.first) != g.second;
    EXPECT_EQ(refusing, 2u);  // the waiting key, and the final record
    EXPECT_FALSE(v.store.commit(m.txn));
  }
}

// Deep and wide at once, without recursion, and in transactions of four changes.
TEST(DependencyGraph, ACancelledRootTakesThousandsWithIt) {
  View v;
  v.submit(0, {});
  constexpr int kDeep = 3000;
  for (int i = 1; i <= kDeep; ++i) v.submit(i, {i - 1});
  for (int i = 1; i <= kDeep; ++i) v.submit(kDeep + i, {0}, wire::Priority::high, 500);
  v.read();
  EXPECT_EQ(v.p.effective_priority(View::id(0), v.jobs.at(View::id(0))).priority,
            wire::Priority::high);
  v.end(View::id(0), true);
  v.read();
  v.look(View::id(0));
  EXPECT_EQ(v.p.doomed().size(), 2u * kDeep);
  EXPECT_EQ(v.p.state_of(View::id(kDeep)), DependencyGraph::DependencyState::cancelled);
  int moved = 0;
  while (v.move(false)) ++moved;
  EXPECT_EQ(moved, kDeep);
  EXPECT_TRUE(v.w.waiting().empty());
  EXPECT_FALSE(v.p.contains(View::id(0)));
}

// The deadline of the last job leaves room for the path to it, and goes when that job goes.
TEST(DependencyGraph, EffectivePriorityFollowsDependents) {
  View v;
  v.submit(0, {});
  v.submit(1, {0});
  v.read();
  auto of = [&](int n) { return v.p.effective_priority(View::id(n), v.jobs.at(View::id(n))); };
  EXPECT_EQ(of(0).priority, wire::Priority::idle);
  v.submit(2, {1}, wire::Priority::high, 300);  // the last one, late
  v.read();
  EXPECT_EQ(of(0).priority, wire::Priority::high);
  EXPECT_EQ(of(1).due, 290);
  EXPECT_EQ(of(0).due, 280);
  auto changed = v.p.take_changed();
  EXPECT_NE(std::find(changed.begin(), changed.end(), View::id(0)), changed.end());
  v.end(View::id(2), true);
  v.read();
  EXPECT_EQ(of(0).priority, wire::Priority::idle);
  changed = v.p.take_changed();
  EXPECT_NE(std::find(changed.begin(), changed.end(), View::id(0)), changed.end());
}

}  // namespace
}  // namespace shunttrail::test

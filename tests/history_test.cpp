// Generated histories over the scheduler, the placements and the takeover: two controllers that may
// both believe they own the shard, commits that are lost, unanswered or applied late, reports and
// answers that are lost, repeated or held back, cancellations, expired leases, lost machines. The
// protocol's rules are checked after every step.
#include <gtest/gtest.h>

#include <functional>

#include "emulators.h"
#include "jobs/dependency_graph.h"

namespace shunttrail::test {
namespace {

struct Node {
  explicit Node(const config::Settings& s) : world(s) {}
  state::StateCache world;
  jobs::DependencyGraph pipelines{world};
  // The version that knows no jobs that await others: it reads past their keys and moves none.
  bool old = false;
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  double fresh = 0;
  bool cut = false;  // from the state service alone
  std::optional<wire::Transaction> txn;
  std::string tag;
};

class History {
 public:
  explicit History(unsigned seed) : rng_(seed), s_(make_settings()), c_(make_catalogue(s_)) {
    for (int i = 0; i < 2; ++i) nodes_.push_back(std::make_unique<Node>(s_));
  }

  void run() {
    for (int i = 0; i < 4; ++i) add_machine(i % 2 ? "b" : "a");
    for (now_ = 1; now_ < 400 && !::testing::Test::HasFatalFailure(); now_ += 0.5) step();
  }
  std::size_t finished() const { return done_truly_.size(); }
  std::size_t raises() const { return raises_; }
  std::size_t made_ready() const { return made_ready_; }

 private:
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng_) < p; }

  void add_machine(const std::string& zone) {
    Worker w;
    w.name = "m-" + std::to_string(100000 + machines_++);
    w.zone = zone;
    w.last_answered_sent_at = now_;
    state::StateCache now_there(s_);
    std::vector<state::Change> changes;
    store_.read(now_there, changes);
    // While builds of several state levels write, pages stand in either form.
    store_.commit(inventory_transaction(now_there,
                                        {{w.name, "t4", zone, true, 0, 0, 1733000000 + now_}},
                                        static_cast<int>(rng_() % 2)));
    workers_.push_back(w);
  }

  // What was deleted leaves the inventory sooner or later.
  void leave_roster() {
    state::StateCache w(s_);
    std::vector<state::Change> changes;
    store_.read(w, changes);
    std::map<int, std::vector<wire::MachineRecord>> pages;
    for (const auto& name : deleted_) pages[state::inventory_page(name)] = {};
    wire::Transaction t;
    for (auto& [page, left] : pages) {
      for (const auto& m : w.inventory(page))
        if (!deleted_.contains(m.name)) left.push_back(m);
      t.ops.push_back(
          {state::inventory_key(page),
           wire::encode_record(wire::InventoryPageRecord{"t", left, static_cast<int>(rng_() % 2)}),
           0});
    }
    store_.commit(t);
    deleted_.clear();
  }

  void sync(Node& n) {
    if (n.cut) return;
    std::vector<state::Change> changes;
    store_.read(n.world, changes);
    n.fresh = now_;
    if (n.scheduler && n.world.leader(0).mod_revision != n.scheduler->token()) close(n);
    for (const auto& ch : changes) {
      if (ch.kind <= state::Change::waiting_gone) n.pipelines.key_changed(ch.name);
      if (!n.scheduler) continue;
      if (ch.kind == state::Change::job_set && n.world.job(ch.name))
        n.scheduler->job_added(n.world.job(ch.name)->record, 0, n.world.done(ch.name), now_, now_);
      if (ch.kind == state::Change::job_gone) n.scheduler->job_gone(ch.name, now_);
      if (ch.kind == state::Change::machine_set && n.world.machine(ch.name))
        n.scheduler->machine_known(*n.world.machine(ch.name), now_);
      if (ch.kind == state::Change::machine_gone && !n.world.machine(ch.name))
        n.scheduler->machine_moved(ch.name, now_);
    }
    for (const auto& id : n.pipelines.take_changed())
      if (n.scheduler && !n.old && n.world.job(id)) {
        auto u = n.pipelines.effective_priority(id, n.world.job(id)->record);
        n.scheduler->set_effective_priority(id, u.priority, u.due);
      }
    // What has been read in full: no job below one that is cancelled is called queued.
    if (n.old) return;
    for (const auto& [id, e] : n.world.waiting())
      if (doomed(id)) {
        ASSERT_NE(n.pipelines.state_of(id), jobs::DependencyGraph::DependencyState::queued)
            << "orphaned: " << id;
      }
  }
  std::optional<bool> ended(const std::string& id) const {  // true: cancelled
    auto it = store_.keys.find(state::job_result_key(id));
    if (it == store_.keys.end()) return std::nullopt;
    return wire::decode_job_result(it->second.value).cancelled;
  }
  bool doomed(const std::string& id) const {
    if (auto f = ended(id)) return *f;
    const auto& awaits = specs_.at(id).dependencies;
    return std::any_of(awaits.begin(), awaits.end(),
                       [&](const std::string& a) { return doomed(a); });
  }
  // Any node of the new version may move what waits, at any time; its commit may be lost, or come
  // late, or go unanswered.
  void move_waiting(Node& n) {
    if (n.old || n.cut) return;
    auto unread = n.pipelines.unread();
    for (const auto& id : unread)
      if (auto f = ended(id); f && chance(0.7)) n.pipelines.job_ended(id, *f);
    for (bool ready : {true, false}) {
      auto m = jobs::state_transitions(n.world, n.pipelines, ready, size_, now_,
                                       "t" + std::to_string(++tags_),
                                       [](const std::string&) { return true; });
      if (m.txn.ops.empty() || chance(0.1)) continue;
      if (chance(0.1)) {
        late_.emplace_back(now_ + static_cast<double>(rng_() % 60), m.txn);
        continue;
      }
      if (!store_.commit(m.txn)) continue;
      if (ready) ++made_ready_;
      for (const auto& [id, f] : m.results) cancelled_.try_emplace(id, now_);
    }
  }
  void close(Node& n) {
    n.scheduler.reset();
    n.txn.reset();
  }
  void take(int i) {
    Node& n = *nodes_[i];
    if (n.cut) return;
    sync(n);
    // The upgrade: a process comes back new, or, if it dies before its turn, old.
    n.old = now_ < 150 && chance(0.5);
    wire::Transaction t;
    t.preconditions.emplace_back(state::leader_key(0), n.world.mod_revision(state::leader_key(0)));
    t.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{s_.nodes[i], "x"}), 0});
    if (!store_.commit(t)) return;
    close(n);
    std::vector<state::Change> changes;
    store_.read(n.world, changes);
    n.scheduler = std::make_unique<scheduler::ShardScheduler>(
        s_, tuning_, c_, 0, n.world.leader(0).mod_revision, now_, rng_());
    for (const auto& [id, j] : n.world.jobs())
      n.scheduler->job_added(j.record, 0, n.world.done(id), now_, now_);
    for (const auto& [name, m] : n.world.machines()) n.scheduler->machine_known(m, now_);
    for (const auto& [k, page] : n.world.placement_pages(0))
      n.scheduler->recover_page(k, page, now_);
  }
  // As the controller does it: the same transaction is repeated until its fate is known.
  void pump(Node& n) {
    if (!n.scheduler || n.cut) return;
    if (!n.txn) {
      n.tag = "t" + std::to_string(++tags_);
      n.scheduler->run_scheduling_pass(now_);
      n.txn = n.scheduler->next_transaction(n.world, size_, n.tag, now_);
      if (!n.txn) return;
    }
    if (chance(0.1)) return;  // lost on the way, or refused
    if (chance(0.05)) {
      late_.emplace_back(now_ + static_cast<double>(rng_() % 60), *n.txn);  // held back
      return;
    }
    auto rev = store_.commit(*n.txn);
    if (chance(0.1)) return;  // carried out, no answer
    bool applied = rev.has_value();
    std::uint64_t mod_revision = rev.value_or(0);
    if (!applied)
      for (const auto& op : n.txn->ops)
        if (op.value && store_.mod_revision(op.key) &&
            store_.keys[op.key].value.find("\"" + n.tag + "\"") != std::string::npos) {
          applied = true;
          mod_revision = store_.mod_revision(op.key);
        }
    if (applied) {
      wire::Transaction t = *n.txn;
      n.txn.reset();
      n.scheduler->transaction_applied(now_);
      std::vector<state::Change> changes;
      for (const auto& op : t.ops) n.world.apply({op.key, op.value, mod_revision}, changes);
      sync(n);
    } else {
      sync(n);
      if (!n.scheduler) return;
      n.txn.reset();
      n.scheduler->transaction_failed(now_);
    }
  }

  // Direct orders: carried out at once, lost, or held back and carried out much later if token
  // and incarnation still match; and their answers may be lost.
  void direct(Node& n) {
    for (auto& d : n.scheduler->direct_commands(
             now_ - n.fresh < 5, [](const std::string&) { return false; }, now_)) {
      if (chance(0.15)) {
        if (chance(0.7))
          loose_.push_back({now_ + static_cast<double>(rng_() % 90), n.scheduler->token(), d});
        n.scheduler->direct_commands_done(d, 0);
        continue;
      }
      auto body = order(n.scheduler->token(), d);
      if (!body || chance(0.1)) {
        n.scheduler->direct_commands_done(d, 0);
        continue;
      }
      n.scheduler->direct_commands_done(d, body->first);
      n.scheduler->take_heartbeat(body->second, now_, true);
    }
  }
  std::optional<std::pair<int, wire::Heartbeat>> order(std::uint64_t token,
                                                       const scheduler::DirectCommands& d) {
    auto it = std::find_if(workers_.begin(), workers_.end(),
                           [&](const Worker& w) { return w.name == d.machine; });
    if (it == workers_.end()) return std::nullopt;
    int status = 409;
    if (token >= it->token && d.incarnation == it->incarnation) {
      it->execute(token, d.commands, d.incarnation, -1e9, now_, rng_);
      status = 200;
    }
    return std::pair(status, it->heartbeat());
  }
  void raise(Node& n) {
    wire::Transaction t;
    t.preconditions.emplace_back(state::leader_key(0), n.scheduler->token());
    t.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "raise"}), 0});
    auto rev = store_.commit(t);
    if (!rev) return;
    n.scheduler->advance_token(*rev, now_);
    ++raises_;
    sync(n);
  }

  void deliver(int target, const wire::Heartbeat& r, Worker* answer_to, double sent) {
    Node& n = *nodes_[target];
    if (!n.scheduler || now_ - n.fresh >= s_.staleness_bound_s() ||
        r.token > n.scheduler->token() || !n.scheduler->has_machine(r.machine) ||
        n.scheduler->take_heartbeat(r, now_) ==
            scheduler::ShardScheduler::HeartbeatResult::unknown) {
      if (answer_to) answer_to->node = 1 - target;
      return;
    }
    pump(n);
    if (!n.scheduler) return;
    auto commands = n.scheduler->commands_for(r.machine, now_ - n.fresh < 5, now_);
    std::uint64_t token = n.scheduler->token();
    if (!answer_to || chance(0.1)) return;  // the answer is lost
    std::vector<wire::TaskId> before;
    if (!answer_to->execute(token, commands, r.incarnation, sent, now_, rng_)) return;
  }

  void step() {
    if (chance(0.02)) nodes_[rng_() % 2]->cut = true;
    for (auto& n : nodes_)
      if (n->cut && chance(0.02)) n->cut = false;
    if (chance(0.01)) close(*nodes_[rng_() % 2]);  // killed
    bool owned = false;
    for (auto& n : nodes_) owned |= n->scheduler && !n->cut;
    if (!owned && chance(0.2)) take(static_cast<int>(rng_() % 2));
    if (chance(0.01)) take(static_cast<int>(rng_() % 2));  // far too early, which must be safe
    for (std::size_t i = 0; i < late_.size();)
      if (late_[i].first <= now_) {
        store_.commit(late_[i].second);
        late_.erase(late_.begin() + static_cast<long>(i));
      } else {
        ++i;
      }

    for (std::size_t i = 0; i < loose_.size();)
      if (loose_[i].at <= now_) {
        order(loose_[i].token, loose_[i].direct);
        loose_.erase(loose_.begin() + static_cast<long>(i));
        check();
      } else {
        ++i;
      }

    if (now_ < 300 && chance(0.06)) {
      auto r = make_job(jobs_++, 1 + rng_() % 6, 1 + static_cast<double>(rng_() % 3));
      r.spec.same_zone = chance(0.3);
      r.spec.anti_affinity = !r.spec.same_zone && chance(0.3);
      r.submitted_at = now_;
      std::vector<std::string> open;
      bool cancelled = false;
      if (chance(0.4) && !specs_.empty())
        for (int k = 0; k < 2; ++k) {
          auto it = std::next(specs_.begin(), static_cast<long>(rng_() % specs_.size()));
          if (k == 1 && it->first == r.spec.dependencies.front()) break;
          r.spec.dependencies.push_back(it->first);
          auto f = ended(it->first);
          cancelled |= f && *f;
          if (!f) open.push_back(it->first);
        }
      specs_[r.spec.id] = r.spec;
      // The door: below a cancelled job it is over at once, and what is done is not awaited.
      std::swap(r.spec.dependencies, open);
      wire::Transaction t;
      if (cancelled) {
        cancelled_[r.spec.id] = now_;
        t.ops.push_back({state::job_result_key(r.spec.id),
                         wire::encode_record(wire::cancelled_record(r.spec, "door")), 0});
      } else {
        t.ops.push_back({r.spec.dependencies.empty() ? state::job_key(r.spec.id)
                                                     : state::waiting_key(r.spec.id),
                         wire::encode_record(r), 0});
      }
      store_.commit(t);
    }
    // The limits fall, without notice.
    if (now_ > 200) size_ = {1536, 2, 8};
    if (chance(0.01) && !specs_.empty()) {
      auto it = std::next(specs_.begin(), static_cast<long>(rng_() % specs_.size()));
      const std::string& id = it->first;
      wire::JobResultRecord f;
      f.cancelled = true;
      const std::string key =
          store_.mod_revision(state::waiting_key(id)) ? state::waiting_key(id) : state::job_key(id);
      wire::Transaction t;
      t.preconditions = {{key, store_.mod_revision(key)}, {state::job_result_key(id), 0}};
      t.ops.push_back({key, std::nullopt, 0});
      t.ops.push_back({state::job_result_key(id), wire::encode_record(f), 0});
      if (store_.mod_revision(key) && store_.commit(t)) cancelled_[id] = now_;
    }

    for (auto& n : nodes_) {
      if (chance(0.8)) sync(*n);
      move_waiting(*n);
      if (!n->scheduler) continue;
      n->scheduler->tick(now_);
      pump(*n);
      if (n->scheduler) direct(*n);
      if (n->scheduler && !n->cut && !n->txn && n->scheduler->needs_new_token(now_)) raise(*n);
      if (n->scheduler && now_ - n->fresh < 5)
        for (const auto& p : n->scheduler->probes(now_))
          n->scheduler->probe_done(
              p.machine,
              chance(0.8) && std::any_of(workers_.begin(), workers_.end(),
                                         [&](auto& w) { return w.name == p.machine; }),
              now_);
      if (!n->scheduler) continue;
      for (auto& w : n->scheduler->scale_out_requests(now_))
        n->scheduler->rent_refused(w, 0, true, now_);
      for (auto& name : n->scheduler->machines_to_return()) {
        if (chance(0.5)) {
          n->scheduler->return_failed(name);
          continue;
        }
        std::erase_if(workers_, [&](const Worker& w) { return w.name == name; });
        n->scheduler->machine_gone(name, now_);
        deleted_.insert(name);
      }
    }
    if (!deleted_.empty() && chance(0.3)) leave_roster();
    if (workers_.size() < 3) add_machine(chance(0.5) ? "a" : "b");

    for (auto& w : workers_) {
      w.check_lease(now_, s_.lease_s);
      for (auto& t : w.tasks)
        if (t.state != wire::TaskState::exited && t.ends_at <= now_) {
          t.state = wire::TaskState::exited;
          t.why = (rng_() % 10) ? wire::ExitReason::done : wire::ExitReason::error;
          if (t.why == wire::ExitReason::done)
            done_truly_.insert(t.id.job + "/" + std::to_string(t.id.index));
        }
    }
    for (std::size_t i = 0; i < held_.size();)
      if (held_[i].at <= now_) {
        deliver(held_[i].target, held_[i].report, nullptr, 0);
        held_.erase(held_.begin() + static_cast<long>(i));
      } else {
        ++i;
      }
    std::vector<std::string> names;
    for (auto& w : workers_) names.push_back(w.name);
    for (auto& name : names) {
      auto it = std::find_if(workers_.begin(), workers_.end(),
                             [&](const Worker& w) { return w.name == name; });
      if (it == workers_.end() || !chance(0.3)) continue;
      wire::Heartbeat r = it->heartbeat();
      if (chance(0.05)) continue;  // lost
      if (chance(0.05)) {          // held back: the worker has long given up on it
        held_.push_back({now_ + static_cast<double>(rng_() % 50), it->node, r});
        it->node = 1 - it->node;
        continue;
      }
      // A copy of it comes as well, from seconds to well over a lease later, to either node.
      if (chance(0.08))
        held_.push_back({now_ + static_cast<double>(rng_() % 90), static_cast<int>(rng_() % 2), r});
      deliver(it->node, r, &*it, now_);
      check();
    }
    check();
  }

  void check() {
    std::map<std::string, int> where;
    double cpus = 0;
    std::map<std::string, std::map<std::string, int>> zones;
    for (const auto& w : workers_)
      for (const auto& t : w.tasks) {
        if (t.state == wire::TaskState::exited) continue;
        std::string name = t.id.job + "/" + std::to_string(t.id.index);
        ASSERT_EQ(++where[name], 1) << "ran_twice: " << name << " at " << now_;
        cpus += specs_[t.id.job].cpus;
        ++zones[t.id.job][w.zone];
        for (const auto& a : specs_[t.id.job].dependencies)
          ASSERT_TRUE(ended(a) && !*ended(a)) << "too_early: " << name << " at " << now_;
        auto c = cancelled_.find(t.id.job);
        ASSERT_TRUE(c == cancelled_.end() || now_ - c->second <= s_.cancel_s)
            << "ran_cancelled: " << name << " at " << now_;
      }
    ASSERT_LE(cpus, 10.0 + 1e-9) << "quota at " << now_;
    for (const auto& [job, z] : zones) {
      const auto& spec = specs_[job];
      if (spec.same_zone) {
        ASSERT_EQ(z.size(), 1u) << "wrong_place: " << job << " at " << now_;
      }
      if (!spec.anti_affinity) continue;
      for (const auto& [zone, n] : z) {
        ASSERT_LE(n, static_cast<int>((spec.tasks + 1) / 2)) << "wrong_place: " << job;
      }
    }
    for (const auto& [key, e] : store_.keys) {
      if (!key.starts_with("fin/")) continue;
      std::string id = key.substr(4);
      auto f = wire::decode_job_result(e.value);
      bool below = std::any_of(specs_[id].dependencies.begin(), specs_[id].dependencies.end(),
                               [&](const std::string& a) { return doomed(a); });
      ASSERT_EQ(f.cancelled, below || cancelled_.contains(id)) << "went_back: " << id;
      if (f.cancelled) continue;
      for (std::uint32_t i = 0; i < specs_[id].tasks; ++i)
        ASSERT_TRUE(done_truly_.contains(id + "/" + std::to_string(i)))
            << "not_done: " << id << "/" << i;
    }
  }

  struct HeldReport {
    double at;
    int target;
    wire::Heartbeat report;
  };
  struct LooseOrder {
    double at;
    std::uint64_t token;
    scheduler::DirectCommands direct;
  };
  std::vector<LooseOrder> loose_;
  std::set<std::string> deleted_;
  std::size_t raises_ = 0, made_ready_ = 0;
  state::TransactionLimits size_;
  std::mt19937 rng_;
  config::Settings s_;
  config::Tuning tuning_;
  scheduler::MachineCatalogue c_;
  Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Worker> workers_;
  std::vector<std::pair<double, wire::Transaction>> late_;
  std::vector<HeldReport> held_;
  std::map<std::string, wire::JobSpec> specs_;
  std::map<std::string, double> cancelled_;
  std::set<std::string> done_truly_;
  double now_ = 0;
  int machines_ = 0, jobs_ = 0, tags_ = 0;
};

TEST(History, RulesHoldUnderEveryFailure) {
  std::size_t finished = 0, raises = 0, made_ready = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    History h(seed);
    h.run();
    if (HasFatalFailure()) return;
    finished += h.finished();
    raises += h.raises();
    made_ready += h.made_ready();
  }
  // The histories are about work that runs, not about a service that does nothing.
  EXPECT_GT(finished, 40u * 20u);
  EXPECT_GT(raises, 40u);
  EXPECT_GT(made_ready, 40u);
}

}  // namespace
}  // namespace shunttrail::test

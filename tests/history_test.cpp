// Random histories of the scheduler, its placements and the failover. Two controllers may both
// believe that they lead the shard; transactions are lost, left unanswered or applied late;
// heartbeats and answers are lost, repeated or delayed; jobs are cancelled, leases expire and
// machines fail. The protocol's rules are checked after every step.
#include <gtest/gtest.h>

#include <functional>

#include "emulators.h"
#include "jobs/dependency_graph.h"
#include "jobs/state_transitions.h"

namespace shunttrail::test {
namespace {

struct Node {
  explicit Node(const config::Settings& s) : cache(s) {}
  state::StateCache cache;
  jobs::DependencyGraph dependencies{cache};
  // Runs the version that does not know jobs with dependencies: it ignores their keys and does not
  // make them ready.
  bool old_version = false;
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  double synced_at = 0;
  bool cut_from_state = false;  // from the state service only
  std::optional<wire::Transaction> pending;
  std::string transaction_tag;
};

class History {
 public:
  explicit History(unsigned seed)
      : rng_(seed), settings_(make_settings()), catalogue_(make_catalogue(settings_)) {
    for (int i = 0; i < 2; ++i) nodes_.push_back(std::make_unique<Node>(settings_));
  }

  void run() {
    for (int i = 0; i < 4; ++i) add_machine(i % 2 ? "b" : "a");
    for (now_ = 1; now_ < 400 && !::testing::Test::HasFatalFailure(); now_ += 0.5) step();
  }
  std::size_t finished() const { return completed_tasks_.size(); }
  std::size_t token_advances() const { return token_advances_; }
  std::size_t jobs_made_ready() const { return jobs_made_ready_; }

 private:
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(rng_) < p; }

  void add_machine(const std::string& zone) {
    Worker worker;
    worker.name = "m-" + std::to_string(100000 + machines_++);
    worker.zone = zone;
    worker.last_answered_sent_at = now_;
    state::StateCache cache(settings_);
    std::vector<state::Change> changes;
    store_.read(cache, changes);
    // While builds with different state levels write, pages may have either form.
    store_.commit(inventory_transaction(cache,
                                        {{worker.name, "t4", zone, true, 0, 0, 1733000000 + now_}},
                                        static_cast<int>(rng_() % 2)));
    workers_.push_back(worker);
  }

  // Removes the deleted machines from the inventory, at some time after their deletion.
  void remove_deleted_machines() {
    state::StateCache cache(settings_);
    std::vector<state::Change> changes;
    store_.read(cache, changes);
    std::map<int, std::vector<wire::MachineRecord>> pages;
    for (const auto& name : deleted_) pages[state::inventory_page(name)] = {};
    wire::Transaction t;
    for (auto& [page, left] : pages) {
      for (const auto& m : cache.inventory(page))
        if (!deleted_.contains(m.name)) left.push_back(m);
      t.ops.push_back(
          {state::inventory_key(page),
           wire::encode_record(wire::InventoryPageRecord{"t", left, static_cast<int>(rng_() % 2)}),
           0});
    }
    store_.commit(t);
    deleted_.clear();
  }

  void sync(Node& node) {
    if (node.cut_from_state) return;
    std::vector<state::Change> changes;
    store_.read(node.cache, changes);
    node.synced_at = now_;
    if (node.scheduler && node.cache.leader(0).mod_revision != node.scheduler->token())
      stop_leading(node);
    for (const auto& change : changes) {
      if (change.kind <= state::Change::waiting_deleted) node.dependencies.key_changed(change.name);
      if (!node.scheduler) continue;
      if (change.kind == state::Change::job_set && node.cache.job(change.name))
        node.scheduler->job_added(node.cache.job(change.name)->record, 0,
                                  node.cache.done(change.name), now_, now_);
      if (change.kind == state::Change::job_deleted) node.scheduler->job_ended(change.name, now_);
      if (change.kind == state::Change::machine_set && node.cache.machine(change.name))
        node.scheduler->machine_known(*node.cache.machine(change.name), now_);
      if (change.kind == state::Change::machine_deleted && !node.cache.machine(change.name))
        node.scheduler->machine_moved(change.name, now_);
    }
    for (const auto& id : node.dependencies.take_changed())
      if (node.scheduler && !node.old_version && node.cache.job(id)) {
        auto effective = node.dependencies.effective_priority(id, node.cache.job(id)->record);
        node.scheduler->set_effective_priority(id, effective.priority, effective.due);
      }
    // The cache is up to date: no job that depends on a cancelled one may be in the state queued.
    if (node.old_version) return;
    for (const auto& [id, record] : node.cache.waiting())
      if (is_below_cancelled(id)) {
        ASSERT_NE(node.dependencies.state_of(id), jobs::DependencyGraph::DependencyState::queued)
            << "orphaned: " << id;
      }
  }
  // Returns whether the ended job was cancelled, or nothing if it has not ended.
  std::optional<bool> cancelled_result(const std::string& id) const {
    auto it = store_.keys.find(state::job_result_key(id));
    if (it == store_.keys.end()) return std::nullopt;
    return wire::decode_job_result(it->second.value).cancelled;
  }
  // Returns whether the job, or one that it depends on directly or indirectly, was cancelled.
  bool is_below_cancelled(const std::string& id) const {
    if (auto f = cancelled_result(id)) return *f;
    const auto& spec_dependencies = specs_.at(id).dependencies;
    return std::any_of(spec_dependencies.begin(), spec_dependencies.end(),
                       [&](const std::string& a) { return is_below_cancelled(a); });
  }
  // Any controller of the new version may make waiting jobs ready, or end them, at any time. Its
  // transaction may be lost, applied late, or left unanswered.
  void move_waiting_jobs(Node& node) {
    if (node.old_version || node.cut_from_state) return;
    auto unread = node.dependencies.unread();
    for (const auto& id : unread)
      if (auto cancelled = cancelled_result(id); cancelled && chance(0.7))
        node.dependencies.job_ended(id, *cancelled);
    for (bool ready : {true, false}) {
      auto transitions = jobs::state_transitions(
          node.cache, node.dependencies, ready, transaction_limits_, now_,
          "t" + std::to_string(++transaction_count_), [](const std::string&) { return true; });
      if (transitions.txn.ops.empty() || chance(0.1)) continue;
      if (chance(0.1)) {
        late_transactions_.emplace_back(now_ + static_cast<double>(rng_() % 60), transitions.txn);
        continue;
      }
      if (!store_.commit(transitions.txn)) continue;
      if (ready) ++jobs_made_ready_;
      for (const auto& [id, result] : transitions.results) cancelled_.try_emplace(id, now_);
    }
  }
  void stop_leading(Node& node) {
    node.scheduler.reset();
    node.pending.reset();
  }
  void take_over(int i) {
    Node& node = *nodes_[i];
    if (node.cut_from_state) return;
    sync(node);
    // An upgrade: until 150 s a process may restart with the old or the new version.
    node.old_version = now_ < 150 && chance(0.5);
    wire::Transaction t;
    t.preconditions.emplace_back(state::leader_key(0),
                                 node.cache.mod_revision(state::leader_key(0)));
    t.ops.push_back({state::leader_key(0),
                     wire::encode_record(wire::LeaderRecord{settings_.nodes[i], "x"}), 0});
    if (!store_.commit(t)) return;
    stop_leading(node);
    std::vector<state::Change> changes;
    store_.read(node.cache, changes);
    node.scheduler = std::make_unique<scheduler::ShardScheduler>(
        settings_, tuning_, catalogue_, 0, node.cache.leader(0).mod_revision, now_, rng_());
    for (const auto& [id, j] : node.cache.jobs())
      node.scheduler->job_added(j.record, 0, node.cache.done(id), now_, now_);
    for (const auto& [name, m] : node.cache.machines()) node.scheduler->machine_known(m, now_);
    for (const auto& [k, page] : node.cache.placement_pages(0))
      node.scheduler->recover_page(k, page, now_);
  }
  // Like the controller, repeats the same transaction until its outcome is known.
  void commit_next(Node& node) {
    if (!node.scheduler || node.cut_from_state) return;
    if (!node.pending) {
      node.transaction_tag = "t" + std::to_string(++transaction_count_);
      node.scheduler->run_scheduling_pass(now_);
      node.pending = node.scheduler->next_transaction(node.cache, transaction_limits_,
                                                      node.transaction_tag, now_);
      if (!node.pending) return;
    }
    if (chance(0.1)) return;  // lost, or refused
    if (chance(0.05)) {
      late_transactions_.emplace_back(now_ + static_cast<double>(rng_() % 60),
                                      *node.pending);  // applied late
      return;
    }
    auto revision = store_.commit(*node.pending);
    if (chance(0.1)) return;  // applied without an answer
    bool applied = revision.has_value();
    std::uint64_t mod_revision = revision.value_or(0);
    if (!applied)
      for (const auto& op : node.pending->ops)
        if (op.value && store_.mod_revision(op.key) &&
            store_.keys[op.key].value.find("\"" + node.transaction_tag + "\"") !=
                std::string::npos) {
          applied = true;
          mod_revision = store_.mod_revision(op.key);
        }
    if (applied) {
      wire::Transaction t = *node.pending;
      node.pending.reset();
      node.scheduler->transaction_applied(now_);
      std::vector<state::Change> changes;
      for (const auto& op : t.ops) node.cache.apply({op.key, op.value, mod_revision}, changes);
      sync(node);
    } else {
      sync(node);
      if (!node.scheduler) return;
      node.pending.reset();
      node.scheduler->transaction_failed(now_);
    }
  }

  // Sends direct commands. They are executed at once, lost, or delayed and executed later if token
  // and incarnation still match; their answers may be lost. Of executed ones a copy may arrive.
  void send_direct_commands(Node& node) {
    for (auto& commands : node.scheduler->direct_commands(
             now_ - node.synced_at < 5, [](const std::string&) { return false; }, now_)) {
      if (chance(0.15)) {
        if (chance(0.7))
          delayed_commands_.push_back({now_ + static_cast<double>(rng_() % 90), commands});
        node.scheduler->direct_commands_done(commands, 0);
        continue;
      }
      auto body = deliver_direct_commands(commands);
      if (chance(0.3))  // a copy
        delayed_commands_.push_back({now_ + static_cast<double>(rng_() % 90), commands});
      if (!body || chance(0.1)) {
        node.scheduler->direct_commands_done(commands, 0);
        continue;
      }
      node.scheduler->direct_commands_done(commands, body->first);
      node.scheduler->take_heartbeat(body->second, now_, true);
    }
  }
  std::optional<std::pair<int, wire::Heartbeat>> deliver_direct_commands(
      const scheduler::DirectCommands& commands) {
    auto it = std::find_if(workers_.begin(), workers_.end(),
                           [&](const Worker& w) { return w.name == commands.machine; });
    if (it == workers_.end()) return std::nullopt;
    int status = 409;
    if (commands.token >= it->token && commands.incarnation == it->incarnation) {
      it->execute(commands.token, commands.commands, commands.incarnation, -1e9, now_, rng_);
      status = 200;
    }
    return std::pair(status, it->heartbeat());
  }
  void advance_token(Node& node) {
    wire::Transaction t;
    t.preconditions.emplace_back(state::leader_key(0), node.scheduler->token());
    t.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "raise"}), 0});
    auto revision = store_.commit(t);
    if (!revision) return;
    node.scheduler->advance_token(*revision, now_);
    ++token_advances_;
    sync(node);
  }

  // Delivers a heartbeat to a controller. `worker`: gets the response; null for a delayed copy.
  void deliver_heartbeat(int controller, const wire::Heartbeat& heartbeat, Worker* worker,
                         double sent_at) {
    Node& node = *nodes_[controller];
    if (!node.scheduler || now_ - node.synced_at >= settings_.staleness_bound_s() ||
        heartbeat.token > node.scheduler->token() ||
        !node.scheduler->has_machine(heartbeat.machine) ||
        node.scheduler->take_heartbeat(heartbeat, now_) ==
            scheduler::ShardScheduler::HeartbeatResult::unknown) {
      if (worker) worker->node = 1 - controller;
      return;
    }
    commit_next(node);
    if (!node.scheduler) return;
    auto commands =
        node.scheduler->commands_for(heartbeat.machine, now_ - node.synced_at < 5, now_);
    const std::uint64_t token = node.scheduler->command_token(heartbeat.machine);
    if (!worker || chance(0.1)) return;  // the answer is lost
    std::vector<wire::TaskId> before;
    if (!worker->execute(token, commands, heartbeat.incarnation, sent_at, now_, rng_)) return;
  }

  void step() {
    if (chance(0.02)) nodes_[rng_() % 2]->cut_from_state = true;
    for (auto& node : nodes_)
      if (node->cut_from_state && chance(0.02)) node->cut_from_state = false;
    if (chance(0.01)) stop_leading(*nodes_[rng_() % 2]);  // the process is killed
    bool has_leader = false;
    for (auto& node : nodes_) has_leader |= node->scheduler && !node->cut_from_state;
    if (!has_leader && chance(0.2)) take_over(static_cast<int>(rng_() % 2));
    if (chance(0.01))
      take_over(static_cast<int>(rng_() % 2));  // a takeover before the lease's end must be safe
    for (std::size_t i = 0; i < late_transactions_.size();)
      if (late_transactions_[i].first <= now_) {
        store_.commit(late_transactions_[i].second);
        late_transactions_.erase(late_transactions_.begin() + static_cast<long>(i));
      } else {
        ++i;
      }

    for (std::size_t i = 0; i < delayed_commands_.size();)
      if (delayed_commands_[i].at <= now_) {
        deliver_direct_commands(delayed_commands_[i].direct);
        delayed_commands_.erase(delayed_commands_.begin() + static_cast<long>(i));
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
          auto result = cancelled_result(it->first);
          cancelled |= result && *result;
          if (!result) open.push_back(it->first);
        }
      specs_[r.spec.id] = r.spec;
      // As at admission: a job that depends on a cancelled one ends at once, and finished
      // dependencies are dropped.
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
    // The transaction limits are lowered without notice.
    if (now_ > 200) transaction_limits_ = {1536, 2, 8};
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

    for (auto& node : nodes_) {
      if (chance(0.8)) sync(*node);
      move_waiting_jobs(*node);
      if (!node->scheduler) continue;
      node->scheduler->tick(now_);
      commit_next(*node);
      if (node->scheduler) send_direct_commands(*node);
      if (node->scheduler && !node->cut_from_state && !node->pending &&
          node->scheduler->needs_new_token(now_))
        advance_token(*node);
      if (node->scheduler && now_ - node->synced_at < 5)
        for (const auto& p : node->scheduler->probes(now_))
          node->scheduler->probe_done(
              p.machine,
              chance(0.8) && std::any_of(workers_.begin(), workers_.end(),
                                         [&](auto& worker) { return worker.name == p.machine; }),
              now_);
      if (!node->scheduler) continue;
      for (auto& request : node->scheduler->scale_out_requests(now_))
        node->scheduler->rent_refused(request, 0, true, now_);
      for (auto& name : node->scheduler->machines_to_return()) {
        if (chance(0.5)) {
          node->scheduler->return_failed(name);
          continue;
        }
        std::erase_if(workers_, [&](const Worker& worker) { return worker.name == name; });
        node->scheduler->machine_deleted(name, now_);
        deleted_.insert(name);
      }
    }
    if (!deleted_.empty() && chance(0.3)) remove_deleted_machines();
    if (workers_.size() < 3) add_machine(chance(0.5) ? "a" : "b");

    for (auto& worker : workers_) {
      worker.check_lease(now_, settings_.lease_s);
      for (auto& t : worker.tasks)
        if (t.state != wire::TaskState::exited && t.ends_at <= now_) {
          t.state = wire::TaskState::exited;
          t.why = (rng_() % 10) ? wire::ExitReason::done : wire::ExitReason::error;
          if (t.why == wire::ExitReason::done)
            completed_tasks_.insert(t.id.job + "/" + std::to_string(t.id.index));
        }
    }
    for (std::size_t i = 0; i < delayed_heartbeats_.size();)
      if (delayed_heartbeats_[i].at <= now_) {
        deliver_heartbeat(delayed_heartbeats_[i].node, delayed_heartbeats_[i].heartbeat, nullptr,
                          0);
        delayed_heartbeats_.erase(delayed_heartbeats_.begin() + static_cast<long>(i));
      } else {
        ++i;
      }
    std::vector<std::string> names;
    for (auto& worker : workers_) names.push_back(worker.name);
    for (auto& name : names) {
      auto it = std::find_if(workers_.begin(), workers_.end(),
                             [&](const Worker& worker) { return worker.name == name; });
      if (it == workers_.end() || !chance(0.3)) continue;
      wire::Heartbeat heartbeat = it->heartbeat();
      if (chance(0.05)) continue;  // lost in transit
      if (chance(0.05)) {          // delayed until the worker has given up on the answer
        delayed_heartbeats_.push_back(
            {now_ + static_cast<double>(rng_() % 50), it->node, heartbeat});
        it->node = 1 - it->node;
        continue;
      }
      // A copy of the heartbeat also arrives at either controller, from seconds to 90 s later,
      // which is far longer than a lease.
      if (chance(0.08))
        delayed_heartbeats_.push_back(
            {now_ + static_cast<double>(rng_() % 90), static_cast<int>(rng_() % 2), heartbeat});
      deliver_heartbeat(it->node, heartbeat, &*it, now_);
      check();
    }
    check();
  }

  void check() {
    std::map<std::string, int> copies;
    double cpus = 0;
    std::map<std::string, std::map<std::string, int>> zones;
    for (const auto& worker : workers_)
      for (const auto& t : worker.tasks) {
        if (t.state == wire::TaskState::exited) continue;
        std::string name = t.id.job + "/" + std::to_string(t.id.index);
        ASSERT_EQ(++copies[name], 1) << "ran_twice: " << name << " at " << now_;
        cpus += specs_[t.id.job].cpus;
        ++zones[t.id.job][worker.zone];
        for (const auto& dependency : specs_[t.id.job].dependencies)
          ASSERT_TRUE(cancelled_result(dependency) && !*cancelled_result(dependency))
              << "too_early: " << name << " at " << now_;
        auto cancelled = cancelled_.find(t.id.job);
        ASSERT_TRUE(cancelled == cancelled_.end() || now_ - cancelled->second <= settings_.cancel_s)
            << "ran_cancelled: " << name << " at " << now_;
      }
    ASSERT_LE(cpus, 10.0 + 1e-9) << "quota at " << now_;
    for (const auto& [job, count_by_zone] : zones) {
      const auto& spec = specs_[job];
      if (spec.same_zone) {
        ASSERT_EQ(count_by_zone.size(), 1u) << "wrong_place: " << job << " at " << now_;
      }
      if (!spec.anti_affinity) continue;
      for (const auto& [zone, count] : count_by_zone) {
        ASSERT_LE(count, static_cast<int>((spec.tasks + 1) / 2)) << "wrong_place: " << job;
      }
    }
    for (const auto& [key, entry] : store_.keys) {
      if (!key.starts_with("fin/")) continue;
      std::string id = key.substr(4);
      auto result = wire::decode_job_result(entry.value);
      bool is_below = std::any_of(specs_[id].dependencies.begin(), specs_[id].dependencies.end(),
                                  [&](const std::string& a) { return is_below_cancelled(a); });
      ASSERT_EQ(result.cancelled, is_below || cancelled_.contains(id)) << "went_back: " << id;
      if (result.cancelled) continue;
      for (std::uint32_t i = 0; i < specs_[id].tasks; ++i)
        ASSERT_TRUE(completed_tasks_.contains(id + "/" + std::to_string(i)))
            << "not_done: " << id << "/" << i;
    }
  }

  struct DelayedHeartbeat {
    double at;
    int node;
    wire::Heartbeat heartbeat;
  };
  struct DelayedCommands {
    double at;
    scheduler::DirectCommands direct;
  };
  std::vector<DelayedCommands> delayed_commands_;
  std::set<std::string> deleted_;
  std::size_t token_advances_ = 0, jobs_made_ready_ = 0;
  state::TransactionLimits transaction_limits_;
  std::mt19937 rng_;
  config::Settings settings_;
  config::Tuning tuning_;
  scheduler::MachineCatalogue catalogue_;
  Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Worker> workers_;
  std::vector<std::pair<double, wire::Transaction>> late_transactions_;
  std::vector<DelayedHeartbeat> delayed_heartbeats_;
  std::map<std::string, wire::JobSpec> specs_;
  std::map<std::string, double> cancelled_;
  std::set<std::string> completed_tasks_;
  double now_ = 0;
  int machines_ = 0, jobs_ = 0, transaction_count_ = 0;
};

TEST(History, RulesHoldUnderEveryFailure) {
  std::size_t finished = 0, token_advances = 0, jobs_made_ready = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    History history(seed);
    history.run();
    if (HasFatalFailure()) return;
    finished += history.finished();
    token_advances += history.token_advances();
    jobs_made_ready += history.jobs_made_ready();
  }
  // The histories must contain enough completed work, token advances and jobs that become ready.
  EXPECT_GT(finished, 40u * 20u);
  EXPECT_GT(token_advances, 40u);
  EXPECT_GT(jobs_made_ready, 40u);
}

}  // namespace
}  // namespace shunttrail::test

// A state service and workers in memory, as the protocol defines them, for random histories.
#pragma once
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "scheduler/shard_scheduler.h"
#include "state/state_cache.h"

namespace shunttrail::test {

inline config::Settings make_settings(int nodes = 2) {
  config::Settings s;
  for (int i = 0; i < nodes; ++i) s.nodes.push_back("node-" + std::to_string(i));
  s.node = s.nodes[0];
  s.zones = {"a", "b"};
  s.teams = {{"red", 4, 10, 0, 0}};
  s.team_shard = {0};
  s.heartbeat_s = 3;
  s.lease_s = 20;
  s.cancel_s = 45;
  s.state_limits.value_kb = s.state_next.value_kb = 4;
  s.state_limits.txn_ops = s.state_next.txn_ops = 12;
  return s;
}

inline scheduler::MachineCatalogue make_catalogue(const config::Settings& s) {
  scheduler::MachineCatalogue c;
  c.load({{"t4", 4, 0, 16, 0.4, 0.1, 10, {"a", "b"}}}, s);
  return c;
}

inline wire::JobRecord make_job(int n, std::uint32_t tasks, double cpus) {
  wire::JobRecord r;
  r.spec.id = "run-" + std::to_string(100000 + n);
  r.spec.job_class = "c";
  r.spec.team = "red";
  r.spec.image = "img";
  r.spec.tasks = tasks;
  r.spec.cpus = cpus;
  r.spec.mem_gb = 1;
  r.spec.spot = true;
  return r;
}

// Returns the transaction with which a controller adds these machines to the inventory pages.
// `form`: the state level that decides the records' form.
inline wire::Transaction inventory_transaction(const state::StateCache& w,
                                               const std::vector<wire::MachineRecord>& add,
                                               int form = 0) {
  std::map<int, std::vector<wire::MachineRecord>> pages;
  for (const auto& m : add) {
    int page = state::inventory_page(m.name);
    if (!pages.contains(page)) pages[page] = w.inventory(page);
    pages[page].push_back(m);
  }
  wire::Transaction t;
  for (const auto& [page, machines] : pages)
    t.ops.push_back({state::inventory_key(page),
                     wire::encode_record(wire::InventoryPageRecord{"t", machines, form}), 0});
  return t;
}

// A state service: transactions with preconditions, and the log of events for watches.
struct Store {
  struct Entry {
    std::string value;
    std::uint64_t mod_revision;
  };
  std::map<std::string, Entry> keys;
  std::vector<wire::Event> log;
  std::uint64_t revision = 0;

  std::uint64_t mod_revision(const std::string& k) const {
    auto it = keys.find(k);
    return it == keys.end() ? 0 : it->second.mod_revision;
  }
  std::optional<std::uint64_t> commit(const wire::Transaction& t) {
    for (const auto& [k, s] : t.preconditions)
      if (mod_revision(k) != s) return std::nullopt;
    ++revision;
    for (const auto& op : t.ops) {
      if (op.value)
        keys[op.key] = {*op.value, revision};
      else
        keys.erase(op.key);
      log.push_back({op.key, op.value, revision});
    }
    return revision;
  }
  void read(state::StateCache& w, std::vector<state::Change>& changes) const {
    for (const auto& e : log)
      if (e.mod_revision > w.revision()) w.apply(e, changes);
    w.advance(revision);
  }
};

// A worker with the protocol's token, incarnation, lease and tasks.
struct Worker {
  struct Task {
    wire::TaskId id;
    std::uint64_t attempt;
    wire::TaskState state;
    wire::ExitReason why;
    double ends_at;
  };
  std::string name, zone = "a";
  std::uint64_t incarnation = 1, sequence = 0, token = 0;
  double last_answered_sent_at = 0;  // when the last answered heartbeat was sent
  std::vector<Task> tasks;
  int node = 0;

  wire::Heartbeat heartbeat() {
    wire::Heartbeat r;
    r.machine = name;
    r.addr = "10.0.0.1:1";
    r.type = "t4";
    r.zone = zone;
    r.spot = true;
    r.incarnation = incarnation;
    r.sequence = ++sequence;
    r.token = token;
    for (const auto& t : tasks) r.tasks.push_back({t.id, t.attempt, t.state, t.why});
    return r;
  }
  void check_lease(double now, double lease_s) {
    if (now - last_answered_sent_at > lease_s) {
      tasks.clear();
      ++incarnation;
      last_answered_sent_at = now;
    }
  }
  // Executes the commands of a 200 response to the heartbeat that was sent at `sent` in
  // `of_incarnation`. Returns false, without effect, if the token or the incarnation is outdated.
  bool execute(std::uint64_t t, const std::vector<wire::Command>& commands,
               std::uint64_t of_incarnation, double sent, double now, std::mt19937& rng) {
    if (t < token || of_incarnation != incarnation) return false;
    token = t;
    last_answered_sent_at = std::max(last_answered_sent_at, sent);
    for (const auto& c : commands) {
      auto it = std::find_if(tasks.begin(), tasks.end(), [&](const Task& k) {
        return k.id.job == c.task.job && k.id.index == c.task.index && k.attempt == c.attempt;
      });
      if (c.op == wire::Command::Op::start && it == tasks.end()) {
        bool busy = std::any_of(tasks.begin(), tasks.end(), [&](const Task& k) {
          return k.id.job == c.task.job && k.id.index == c.task.index &&
                 k.state != wire::TaskState::exited;
        });
        double run = 2 + static_cast<double>(rng() % 400) / 10.0;
        tasks.push_back({c.task, c.attempt,
                         busy ? wire::TaskState::exited : wire::TaskState::running,
                         busy ? wire::ExitReason::busy : wire::ExitReason::none, now + run});
      } else if (c.op == wire::Command::Op::stop && it != tasks.end() &&
                 it->state != wire::TaskState::exited) {
        it->state = wire::TaskState::exited;
        it->why = wire::ExitReason::stopped;
      } else if (c.op == wire::Command::Op::acknowledge && it != tasks.end() &&
                 it->state == wire::TaskState::exited) {
        tasks.erase(it);
      }
    }
    return true;
  }
};

}  // namespace shunttrail::test

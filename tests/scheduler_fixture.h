// One scheduler with its state service and its workers, on small cases: services beside arrays.
#pragma once
#include "emulators.h"

namespace shunttrail::test {

using wire::Command;
using wire::TaskState;

class Site {
 public:
  config::Settings s = make_settings(1);
  config::Tuning t;
  scheduler::MachineCatalogue c = make_catalogue(s);
  Store store;
  state::StateCache w{s};
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  std::map<std::string, Worker> workers;
  std::mt19937 rng{5};

  Site() {
    s.teams[0].cpus_max = config::team_limit(0);
    s.heartbeat_s = 10;
    s.lease_s = 45;
    s.cancel_s = 75;
    take(0);
  }
  void take(double now) {
    store.commit(
        {{}, {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
    read();
    scheduler =
        std::make_unique<scheduler::ShardScheduler>(s, t, c, 0, w.leader(0).mod_revision, now, 7);
    for (const auto& [id, j] : w.jobs()) scheduler->job_added(j.record, 0, w.done(id), now, now);
    for (const auto& [name, m] : w.machines()) scheduler->machine_known(m, now);
    for (const auto& [k, page] : w.placement_pages(0)) scheduler->recover_page(k, page, now);
  }
  void read() {
    std::vector<state::Change> ch;
    store.read(w, ch);
  }
  void machine(const std::string& name, double now, const std::string& zone = "a") {
    wire::MachineRecord r{name, "t4", zone, false, 0, 0};
    store.commit(roster_txn(w, {r}));
    read();
    scheduler->machine_known(r, now);
    scheduler->set_machine_address(name, "10.0.0.1:1");
    Worker k;
    k.name = name;
    k.zone = zone;
    k.last_ok = now;
    workers[name] = k;
    report(name, now);
  }
  wire::JobRecord job(int n, std::uint32_t tasks, double cpus, bool service, double now,
                      std::optional<double> deadline_s = std::nullopt) {
    auto r = make_job(n, tasks, cpus);
    r.spec.service = service;
    r.spec.spot = !service;
    if (service) r.spec.priority = wire::Priority::critical;
    r.spec.deadline_s = deadline_s;
    r.spec.estimate_s = service ? 0 : 10;
    return submit(std::move(r), now);
  }
  wire::JobRecord submit(wire::JobRecord r, double now) {
    r.submitted_at = now;
    store.commit({{}, {{state::job_key(r.spec.id), wire::encode_record(r), 0}}});
    read();
    scheduler->job_added(r, 0, {}, now, now);
    return r;
  }
  void commit(double now) {
    scheduler->run_scheduling_pass(now);
    while (auto txn = scheduler->next_transaction(w, state::TransactionLimits{}, "t", now)) {
      if (!store.commit(*txn)) return scheduler->transaction_failed(now);
      read();
      scheduler->transaction_applied(now);
    }
  }
  // `losing responses`: the answer does not get there.
  scheduler::ShardScheduler::HeartbeatResult report(const std::string& name, double now,
                                                    bool deaf = false) {
    Worker& k = workers.at(name);
    k.lease(now, s.lease_s);
    auto r = k.report();
    r.spot = false;
    auto heard = scheduler->take_heartbeat(r, now);
    if (heard != scheduler::ShardScheduler::HeartbeatResult::fresh) return heard;
    commit(now);
    auto commands = scheduler->commands_for(name, true, now);
    if (!deaf) k.obey(scheduler->token(), commands, r.incarnation, now, now, rng);
    return heard;
  }
  void all_report(double now, const std::set<std::string>& but = {}) {
    for (auto& [name, k] : workers)
      if (!but.contains(name)) {
        report(name, now);
        report(name, now + 0.01);
      }
  }
  // Of live tasks.
  std::size_t on(const std::string& name) {
    auto& tasks = workers.at(name).tasks;
    return static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const auto& k) { return k.state != TaskState::exited; }));
  }
  // A task of the job is on some machine, or has been.
  bool begun(const std::string& job) {
    if (!w.job(job)) return true;  // it is over
    for (const auto& [name, k] : workers)
      for (const auto& task : k.tasks)
        if (task.id.job == job && task.why != wire::ExitReason::busy) return true;
    return false;
  }
  // A second in which tasks end by themselves, all machines report, and the cloud has none to give.
  void second(double now) {
    for (auto& [name, k] : workers)
      for (auto& task : k.tasks) {
        const auto* j = w.job(task.id.job);
        if (task.state == TaskState::running && task.ends <= now && !(j && j->record.spec.service))
          task.state = TaskState::exited, task.why = wire::ExitReason::done;
      }
    all_report(now);
    scheduler->tick(now);
    commit(now);
    for (const auto& r : scheduler->scale_out_requests(now))
      scheduler->rent_refused(r, 0, true, now);
  }
  void end(const std::string& name, const std::string& job) {
    for (auto& k : workers.at(name).tasks)
      if (k.id.job == job) k.state = TaskState::exited, k.why = wire::ExitReason::done;
  }
  // Each is asked; the dead do not answer.
  std::size_t probe(double now, const std::set<std::string>& dead) {
    auto list = scheduler->probes(now);
    for (const auto& p : list)
      scheduler->probe_done(p.machine, !dead.contains(p.machine), now + 0.1);
    return list.size();
  }
};

}  // namespace shunttrail::test

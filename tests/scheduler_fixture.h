/// One scheduler with its state service and its workers, for small cases.
#pragma once
#include "emulators.h"

namespace shunttrail::test {

using wire::Command;
using wire::TaskState;

class SchedulerSite {
 public:
  config::Settings settings = make_settings(1);
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  Store store;
  state::StateCache cache{settings};
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  std::map<std::string, Worker> workers;
  std::mt19937 rng{5};

  SchedulerSite() {
    settings.teams[0].cpus_max = config::team_limit(0);
    settings.heartbeat_s = 10;
    settings.lease_s = 45;
    settings.cancel_s = 75;
    take_over(0);
  }
  /// The node becomes leader of the shard, and its scheduler recovers what is stored.
  void take_over(double now) {
    store.commit(
        {{}, {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
    read();
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, 0,
                                                            cache.leader(0).mod_revision, now, 7);
    for (const auto& [id, j] : cache.jobs())
      scheduler->job_added(j.record, 0, cache.done(id), now, now);
    for (const auto& [name, m] : cache.machines()) scheduler->machine_known(m, now);
    for (const auto& [k, page] : cache.placement_pages(0)) scheduler->recover_page(k, page, now);
  }
  void read() {
    std::vector<state::Change> ch;
    store.read(cache, ch);
  }
  void machine(const std::string& name, double now, const std::string& zone = "a") {
    wire::MachineRecord r{name, "t4", zone, false, 0, 0};
    store.commit(inventory_transaction(cache, {r}));
    read();
    scheduler->machine_known(r, now);
    scheduler->set_machine_address(name, "10.0.0.1:1");
    Worker k;
    k.name = name;
    k.zone = zone;
    k.last_answered_sent_at = now;
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
    while (auto txn = scheduler->next_transaction(cache, state::TransactionLimits{}, "t", now)) {
      if (!store.commit(*txn)) return scheduler->transaction_failed(now);
      read();
      scheduler->transaction_applied(now);
    }
  }
  /// The worker sends a heartbeat; with `response_lost` the answer does not get there.
  scheduler::ShardScheduler::HeartbeatResult report(const std::string& name, double now,
                                                    bool response_lost = false) {
    Worker& k = workers.at(name);
    k.check_lease(now, settings.lease_s);
    auto r = k.heartbeat();
    r.spot = false;
    auto heard = scheduler->take_heartbeat(r, now);
    if (heard != scheduler::ShardScheduler::HeartbeatResult::fresh) return heard;
    commit(now);
    auto commands = scheduler->commands_for(name, true, now);
    if (!response_lost) k.execute(scheduler->token(), commands, r.incarnation, now, now, rng);
    return heard;
  }
  /// Every machine but these sends two heartbeats.
  void all_report(double now, const std::set<std::string>& but = {}) {
    for (auto& [name, k] : workers)
      if (!but.contains(name)) {
        report(name, now);
        report(name, now + 0.01);
      }
  }
  /// How many tasks on the machine have not exited.
  std::size_t live_tasks(const std::string& name) {
    auto& tasks = workers.at(name).tasks;
    return static_cast<std::size_t>(std::count_if(
        tasks.begin(), tasks.end(), [](const auto& k) { return k.state != TaskState::exited; }));
  }
  /// Whether a task of the job is on some machine, or has been.
  bool begun(const std::string& job) {
    if (!cache.job(job)) return true;  // it is over
    for (const auto& [name, k] : workers)
      for (const auto& task : k.tasks)
        if (task.id.job == job && task.why != wire::ExitReason::busy) return true;
    return false;
  }
  /// A second in which tasks complete, all machines send heartbeats, and the cloud refuses rentals.
  void pass_second(double now) {
    for (auto& [name, k] : workers)
      for (auto& task : k.tasks) {
        const auto* j = cache.job(task.id.job);
        if (task.state == TaskState::running && task.ends_at <= now &&
            !(j && j->record.spec.service))
          task.state = TaskState::exited, task.why = wire::ExitReason::done;
      }
    all_report(now);
    scheduler->tick(now);
    commit(now);
    for (const auto& r : scheduler->scale_out_requests(now))
      scheduler->rent_refused(r, 0, true, now);
  }
  /// The job's tasks on the machine complete.
  void complete(const std::string& name, const std::string& job) {
    for (auto& k : workers.at(name).tasks)
      if (k.id.job == job) k.state = TaskState::exited, k.why = wire::ExitReason::done;
  }
  /// Each machine that is due a probe is asked; the dead do not answer. Returns how many were.
  std::size_t probe(double now, const std::set<std::string>& dead) {
    auto list = scheduler->probes(now);
    for (const auto& p : list)
      scheduler->probe_done(p.machine, !dead.contains(p.machine), now + 0.1);
    return list.size();
  }
};

}  // namespace shunttrail::test

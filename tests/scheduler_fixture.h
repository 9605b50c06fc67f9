/// A test fixture of one scheduler with its state service and its workers.
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
  /// Makes the node leader of the shard, with a new scheduler that recovers the stored state.
  void take_over(double now) {
    store.commit(
        {{}, {{state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0}}});
    read();
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, 0,
                                                            cache.leader(0).mod_revision, now, 7);
    for (const auto& [id, job] : cache.jobs())
      scheduler->job_added(job.record, 0, cache.done(id), now, now);
    for (const auto& [name, machine] : cache.machines()) scheduler->machine_known(machine, now);
    for (const auto& [number, page] : cache.placement_pages(0))
      scheduler->recover_page(number, page, now);
  }
  /// Updates the cache from the state service.
  void read() {
    std::vector<state::Change> changes;
    store.read(cache, changes);
  }
  /// Adds a machine, whose worker sends its first heartbeat.
  void machine(const std::string& name, double now, const std::string& zone = "a") {
    wire::MachineRecord record{name, "t4", zone, false, 0, 0};
    store.commit(inventory_transaction(cache, {record}));
    read();
    scheduler->machine_known(record, now);
    scheduler->set_machine_address(name, "10.0.0.1:1");
    Worker worker;
    worker.name = name;
    worker.zone = zone;
    worker.last_answered_sent_at = now;
    workers[name] = worker;
    report(name, now);
  }
  wire::JobRecord job(int number, std::uint32_t tasks, double cpus, bool service, double now,
                      std::optional<double> deadline_s = std::nullopt) {
    auto record = make_job(number, tasks, cpus);
    record.spec.service = service;
    record.spec.spot = !service;
    if (service) record.spec.priority = wire::Priority::critical;
    record.spec.deadline_s = deadline_s;
    record.spec.estimate_s = service ? 0 : 10;
    return submit(std::move(record), now);
  }
  wire::JobRecord submit(wire::JobRecord record, double now) {
    record.submitted_at = now;
    store.commit({{}, {{state::job_key(record.spec.id), wire::encode_record(record), 0}}});
    read();
    scheduler->job_added(record, 0, {}, now, now);
    return record;
  }
  /// Runs a scheduling pass, and commits transactions until there are none or one fails.
  void commit(double now) {
    scheduler->run_scheduling_pass(now);
    while (auto transaction =
               scheduler->next_transaction(cache, state::TransactionLimits{}, "t", now)) {
      if (!store.commit(*transaction)) return scheduler->transaction_failed(now);
      read();
      scheduler->transaction_applied(now);
    }
  }
  /// Sends a heartbeat of the machine's worker, which executes the commands in the response unless
  /// `response_lost`.
  scheduler::ShardScheduler::HeartbeatResult report(const std::string& name, double now,
                                                    bool response_lost = false) {
    Worker& worker = workers.at(name);
    worker.check_lease(now, settings.lease_s);
    auto heartbeat = worker.heartbeat();
    heartbeat.spot = false;
    auto result = scheduler->take_heartbeat(heartbeat, now);
    if (result != scheduler::ShardScheduler::HeartbeatResult::fresh) return result;
    commit(now);
    auto commands = scheduler->commands_for(name, true, now);
    if (!response_lost)
      worker.execute(scheduler->command_token(name), commands, heartbeat.incarnation, now, now,
                     rng);
    return result;
  }
  /// Sends two heartbeats of each machine except for the silent ones.
  void all_report(double now, const std::set<std::string>& silent_machines = {}) {
    for (auto& [name, worker] : workers)
      if (!silent_machines.contains(name)) {
        report(name, now);
        report(name, now + 0.01);
      }
  }
  /// Returns the number of tasks on the machine that have not exited.
  std::size_t live_tasks(const std::string& name) {
    auto& tasks = workers.at(name).tasks;
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
      return task.state != TaskState::exited;
    }));
  }
  /// Returns whether a task of the job is, or has been, on any machine.
  bool begun(const std::string& job) {
    if (!cache.job(job)) return true;  // the job has ended
    for (const auto& [name, worker] : workers)
      for (const auto& task : worker.tasks)
        if (task.id.job == job && task.why != wire::ExitReason::busy) return true;
    return false;
  }
  /// Simulates a second: tasks complete, all machines send heartbeats, and the cloud refuses
  /// rentals.
  void pass_second(double now) {
    for (auto& [name, worker] : workers)
      for (auto& task : worker.tasks) {
        const auto* job = cache.job(task.id.job);
        if (task.state == TaskState::running && task.ends_at <= now &&
            !(job && job->record.spec.service))
          task.state = TaskState::exited, task.why = wire::ExitReason::done;
      }
    all_report(now);
    scheduler->tick(now);
    commit(now);
    for (const auto& request : scheduler->scale_out_requests(now))
      scheduler->rent_refused(request, 0, true, now);
  }
  /// Completes the job's tasks on the machine.
  void complete(const std::string& name, const std::string& job) {
    for (auto& task : workers.at(name).tasks)
      if (task.id.job == job) task.state = TaskState::exited, task.why = wire::ExitReason::done;
  }
  /// Sends all probes that are due; dead machines do not answer. Returns the number of probes.
  std::size_t probe(double now, const std::set<std::string>& dead) {
    auto probes = scheduler->probes(now);
    for (const auto& probe : probes)
      scheduler->probe_done(probe.machine, !dead.contains(probe.machine), now + 0.1);
    return probes.size();
  }
};

}  // namespace shunttrail::test

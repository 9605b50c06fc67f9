// Tests with 4,000 machines, in one shard and in three, without a network: scheduling, the commit
// of every placement, recovery by a new leader from the stored placement pages, and changes of the
// inventory.
#include <gtest/gtest.h>

#include "emulators.h"
#include "shard/inventory_page.h"

namespace shunttrail::test {
namespace {

constexpr int kMachines = 4000;
constexpr std::size_t kValueBytes = 4096;  // largest value of the state service, by the settings

config::Settings make_shard_settings(int shards) {
  config::Settings settings = make_settings(shards);
  settings.teams.clear();
  settings.team_shard.clear();
  for (int shard = 0; shard < shards; ++shard) {
    settings.teams.push_back({"team-" + std::to_string(shard), 0, 1e6, 0, 0});
    settings.team_shard.push_back(shard);
  }
  return settings;
}

std::string machine_name(int number) {
  std::string digits = std::to_string(number);
  return "m-" + std::string(6 - digits.size(), '0') + digits;
}

// The schedulers of all shards, with their state service and their workers.
class Cluster {
 public:
  using TaskKey = std::pair<std::string, std::uint32_t>;  // job and index
  struct RunningTask {
    std::string machine;
    std::uint64_t attempt = 0;
    bool operator==(const RunningTask&) const = default;
  };

  Cluster(int shards, double cpus) : settings(make_shard_settings(shards)), cache(settings) {
    catalogue.load({{"t4", cpus, 0, 4 * cpus, 0.4, 0.1, 10, {"a", "b"}}}, settings);
    schedulers.resize(static_cast<std::size_t>(shards));
  }

  void read() {
    std::vector<state::Change> changes;
    for (; read_ < store.log.size(); ++read_) cache.apply(store.log[read_], changes);
    cache.advance(store.revision);
  }
  // Applies a transaction, and checks that it is within the limits of the state service.
  void commit(const wire::Transaction& transaction) {
    const state::TransactionLimits limits;
    ASSERT_LE(transaction.ops.size(), limits.ops);
    ASSERT_LE(transaction.preconditions.size(), limits.preconditions);
    for (const auto& op : transaction.ops)
      ASSERT_LE(op.value.value_or("").size(), kValueBytes) << op.key;
    ASSERT_TRUE(store.commit(transaction));
    read();
  }
  // Records a new leader of the shard, and returns its token.
  std::uint64_t write_leader(int shard) {
    commit(
        {{},
         {{state::leader_key(shard),
           wire::encode_record(wire::LeaderRecord{"node-0", std::to_string(store.revision)}), 0}}});
    return cache.leader(shard).mod_revision;
  }

  // Adds machines to the inventory in the same way as a controller.
  void add_to_inventory(const std::vector<wire::MachineRecord>& records) {
    std::map<int, std::vector<wire::MachineRecord>> pages;
    for (const auto& record : records) pages[state::inventory_page(record.name)].push_back(record);
    for (const auto& [number, machines] : pages) {
      shard::InventoryPage page(cache, number);
      for (const auto& record : machines) page.set(record);
      commit(page.changes(kValueBytes, "t"));
    }
  }
  // Removes a machine, with its worker, from the inventory.
  void delete_machine(const std::string& name) {
    shard::InventoryPage page(cache, state::inventory_page(name));
    page.drop(name);
    commit(page.changes(kValueBytes, "t"));
    workers.erase(name);
  }
  void add_worker(const wire::MachineRecord& record) {
    Worker worker;
    worker.name = record.name;
    worker.zone = record.zone;
    workers[record.name] = worker;
  }
  // Adds the machines number `first` to `first + count - 1`, distributed over the shards in turn,
  // in randomly chosen zones.
  void add_machines(int first, int count) {
    std::vector<wire::MachineRecord> records;
    for (int number = first; number < first + count; ++number) {
      const int shard = number % settings.shards();
      records.push_back({machine_name(number), "t4", rng() % 2 ? "a" : "b", false, shard, 0, 0});
      add_worker(records.back());
    }
    add_to_inventory(records);
    for (const auto& record : records)
      if (auto& scheduler = schedulers[static_cast<std::size_t>(record.shard)])
        scheduler->machine_known(record, now);
  }

  void submit(int shard, int number, std::uint32_t tasks, double cpus) {
    auto record = make_job(number, tasks, cpus);
    record.spec.team = settings.teams[static_cast<std::size_t>(shard)].name;
    record.spec.estimate_s = 3600;
    submit(shard, record);
  }
  void submit(int shard, const wire::JobRecord& record) {
    commit({{}, {{state::job_key(record.spec.id), wire::encode_record(record), 0}}});
    task_counts[record.spec.id] = record.spec.tasks;
    if (auto& scheduler = schedulers[static_cast<std::size_t>(shard)])
      scheduler->job_added(record, shard, {}, now, now);
  }

  // Creates a new leader of the shard, which recovers its state from the state service.
  void take_over(int shard) {
    const std::uint64_t token = write_leader(shard);
    auto& scheduler = schedulers[static_cast<std::size_t>(shard)];
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, shard,
                                                            token, now, 7);
    for (const auto& [id, job] : cache.jobs())
      if (const int team = settings.team_index(job.record.spec.team); team == shard)
        scheduler->job_added(job.record, team, cache.done(id), now, now);
    for (const auto& [name, machine] : cache.machines())
      if (machine.shard == shard) scheduler->machine_known(machine, now);
    for (const auto& [number, page] : cache.placement_pages(shard))
      scheduler->recover_page(number, page, now);
  }
  void take_over_all() {
    for (int shard = 0; shard < settings.shards(); ++shard) take_over(shard);
  }

  // Places all tasks that fit, and commits every placement.
  void schedule_and_commit(int shard) {
    scheduler::ShardScheduler& scheduler = *schedulers[static_cast<std::size_t>(shard)];
    do {
      scheduler.run_scheduling_pass(now);
      while (auto transaction =
                 scheduler.next_transaction(cache, state::TransactionLimits{}, "t", now)) {
        commit(*transaction);
        scheduler.transaction_applied(now);
      }
    } while (scheduler.scheduling_due());
  }
  void schedule_and_commit_all() {
    for (int shard = 0; shard < settings.shards(); ++shard) schedule_and_commit(shard);
  }
  scheduler::ShardScheduler& leader_of(const std::string& machine) {
    return *schedulers[static_cast<std::size_t>(cache.machine(machine)->shard)];
  }
  void send_heartbeat(Worker& worker) {
    auto heartbeat = worker.heartbeat();
    heartbeat.spot = false;
    scheduler::ShardScheduler& scheduler = leader_of(worker.name);
    ASSERT_EQ(scheduler.take_heartbeat(heartbeat, now),
              scheduler::ShardScheduler::HeartbeatResult::fresh)
        << worker.name;
    const auto commands = scheduler.commands_for(worker.name, true, now);
    worker.execute(scheduler.command_token(worker.name), commands, heartbeat.incarnation, now, now,
                   rng);
  }
  void send_all_heartbeats() {
    now += settings.heartbeat_s;
    for (auto& [name, worker] : workers) send_heartbeat(worker);
  }

  // Returns the tasks that run on the workers. Checks that each runs at most once, and that no
  // machine exceeds its capacity.
  std::map<TaskKey, RunningTask> running_tasks() {
    std::map<TaskKey, RunningTask> tasks;
    for (const auto& [name, worker] : workers) {
      double used = 0;
      for (const auto& task : worker.tasks) {
        if (task.state == wire::TaskState::exited) continue;
        const auto [entry, added] =
            tasks.emplace(TaskKey{task.id.job, task.id.index}, RunningTask{name, task.attempt});
        EXPECT_TRUE(added) << task.id.job << "/" << task.id.index << " runs on " << name << " and "
                           << entry->second.machine;
        used += cache.job(task.id.job)->record.spec.cpus;
      }
      EXPECT_LE(used, catalogue.types[0].spec.cpus) << name;
    }
    return tasks;
  }
  // Returns the tasks in the placement pages, on machines that belong to the page's shard.
  std::map<TaskKey, RunningTask> stored_tasks() {
    std::map<TaskKey, RunningTask> tasks;
    for (int shard = 0; shard < settings.shards(); ++shard)
      for (const auto& [number, page] : cache.placement_pages(shard))
        for (const auto& job : page.jobs)
          for (const auto& placement : job.placements)
            if (auto machine = cache.machine(placement.machine); machine && machine->shard == shard)
              tasks[{job.job, placement.task}] = {placement.machine, placement.attempt};
    return tasks;
  }
  std::size_t task_count() const {
    std::size_t sum = 0;
    for (const auto& [job, count] : task_counts) sum += count;
    return sum;
  }

  const config::Settings settings;
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue;
  Store store;
  state::StateCache cache;
  std::vector<std::unique_ptr<scheduler::ShardScheduler>> schedulers;  // by shard
  std::map<std::string, Worker> workers;
  std::map<std::string, std::uint32_t> task_counts;  // by job
  std::mt19937 rng{20};
  double now = 1;

 private:
  std::size_t read_ = 0;  // number of entries of the store's log that the cache has applied
};

// Job arrays of random size take about three eighths of the vcpus. No task is lost or runs twice
// while machines are added, deleted and transferred and leaders change.
void expect_no_task_lost_or_run_twice(int shards) {
  Cluster cluster(shards, 4);
  cluster.take_over_all();
  cluster.add_machines(0, kMachines);
  cluster.send_all_heartbeats();
  for (int shard = 0; shard < shards; ++shard) {
    const auto tasks_per_job = static_cast<std::uint32_t>(kMachines / shards);
    cluster.submit(shard, 10 * shard, tasks_per_job / 2 + cluster.rng() % 50, 2);
    cluster.submit(shard, 10 * shard + 1, tasks_per_job / 2 + cluster.rng() % 50, 1);
  }
  cluster.schedule_and_commit_all();
  cluster.send_all_heartbeats();  // the responses contain the start commands
  cluster.send_all_heartbeats();  // the heartbeats list the running tasks
  auto before = cluster.running_tasks();
  ASSERT_EQ(before.size(), cluster.task_count());
  EXPECT_EQ(cluster.stored_tasks(), before);

  // While there is no leader, machines are deleted and added.
  std::set<std::string> deleted_machines;
  while (deleted_machines.size() < 100)
    deleted_machines.insert(
        machine_name(static_cast<int>(cluster.rng() % static_cast<unsigned>(kMachines))));
  for (auto& scheduler : cluster.schedulers) scheduler.reset();
  for (const auto& name : deleted_machines) cluster.delete_machine(name);
  cluster.add_machines(kMachines, 100);
  cluster.take_over_all();
  cluster.send_all_heartbeats();
  cluster.send_all_heartbeats();
  cluster.schedule_and_commit_all();
  cluster.send_all_heartbeats();
  cluster.send_all_heartbeats();
  auto after = cluster.running_tasks();
  ASSERT_EQ(after.size(), cluster.task_count());
  for (const auto& [task, run] : before) {
    if (deleted_machines.contains(run.machine)) continue;
    ASSERT_EQ(after.at(task).machine, run.machine) << task.first << "/" << task.second;
    ASSERT_EQ(after.at(task).attempt, run.attempt);
  }
  EXPECT_EQ(cluster.stored_tasks(), after);

  // Under the same leaders, machines are deleted, and empty ones are transferred from the first
  // shard to the last.
  std::vector<std::string> deleted, moved;
  for (const auto& [name, worker] : cluster.workers) {
    if (deleted.size() < 50 && !worker.tasks.empty()) deleted.push_back(name);
    if (moved.size() < 50 && worker.tasks.empty() && cluster.cache.machine(name)->shard == 0)
      moved.push_back(name);
  }
  ASSERT_EQ(deleted.size(), 50u);
  for (const auto& name : deleted) {
    scheduler::ShardScheduler& scheduler = cluster.leader_of(name);
    cluster.delete_machine(name);
    scheduler.machine_deleted(name, cluster.now);
  }
  if (shards > 1) {
    ASSERT_EQ(moved.size(), 50u);
    const int last = shards - 1;
    scheduler::ShardScheduler &from = *cluster.schedulers[0],
                              &to = *cluster.schedulers[static_cast<std::size_t>(last)];
    for (const auto& name : moved) {
      wire::MachineRecord record = *cluster.cache.machine(name);
      record.shard = last;
      record.token = from.token();
      cluster.add_to_inventory({record});
      from.machine_moved(name, cluster.now);
      to.machine_known(record, cluster.now);
    }
    if (to.needs_new_token(cluster.now)) to.advance_token(cluster.write_leader(last), cluster.now);
  }
  cluster.send_all_heartbeats();
  cluster.schedule_and_commit_all();
  cluster.send_all_heartbeats();
  cluster.send_all_heartbeats();
  auto final_tasks = cluster.running_tasks();
  EXPECT_EQ(final_tasks.size(), cluster.task_count());
  EXPECT_EQ(cluster.stored_tasks(), final_tasks);
}

TEST(LargeFleet, OneShardLosesNoTaskAndRunsNoneTwice) { expect_no_task_lost_or_run_twice(1); }

TEST(LargeFleet, ThreeShardsLoseNoTaskAndRunNoneTwice) { expect_no_task_lost_or_run_twice(3); }

// Tasks of one shard occupy every vcpu of 4,000 machines of 64 vcpus, and the placement pages are
// as full as 4 KiB allow. A new leader recovers all tasks, and can add placement pages: with a
// limit of 512 pages it could not commit another start.
TEST(LargeFleet, AShardWith256000RunningTasksIsRecoveredAndStartsMore) {
  constexpr int kCpus = 64;
  constexpr std::uint32_t kJobs = 4, kTasks = kMachines * kCpus / kJobs;
  // Usable length of a page of 4 KiB and the length of a job's header, as PageBuilder counts them.
  constexpr std::size_t kMaxPageBytes = kValueBytes - 64, kJobHeaderBytes = 96 + 10 + 6;
  Cluster cluster(1, kCpus);
  cluster.add_machines(0, kMachines);
  const std::uint64_t first_attempt = cluster.write_leader(0) << 20;
  for (std::uint32_t job_number = 0; job_number < kJobs; ++job_number)
    cluster.submit(0, static_cast<int>(job_number), kTasks, 1);

  // Consecutive tasks are on different machines, as they are after many tasks have started and
  // ended.
  std::vector<wire::PlacementPageRecord> pages;
  std::size_t bytes = kValueBytes;
  for (int number = 0; number < kMachines * kCpus; ++number) {
    const std::string job = make_job(number % static_cast<int>(kJobs), 1, 1).spec.id;
    const auto task = static_cast<std::uint32_t>(number) / kJobs;
    const std::string machine = machine_name(number % kMachines);
    // 7919 is a prime: the attempts are all different, and not in order.
    const std::uint64_t attempt =
        first_attempt + 1 + static_cast<std::uint64_t>(number) * 7919 % (kMachines * kCpus);
    const std::size_t entry_bytes = 6 + std::to_string(task).size() + 6 + machine.size() + 3;
    if (bytes + entry_bytes > kMaxPageBytes) {
      pages.push_back({"t", {}});
      for (std::uint32_t job_number = 0; job_number < kJobs; ++job_number)
        pages.back().jobs.push_back(
            {make_job(static_cast<int>(job_number), 1, 1).spec.id, 0, 1, 0, 1, {}, {}});
      bytes = 48 + 1 + kJobs * kJobHeaderBytes;
    }
    bytes += entry_bytes;
    pages.back().jobs[static_cast<std::size_t>(number) % kJobs].placements.push_back(
        {machine, task, attempt});
    cluster.workers.at(machine).tasks.push_back(
        {{job, task}, attempt, wire::TaskState::running, wire::ExitReason::none, 1e9});
  }
  ASSERT_GT(pages.size(), 512u);
  for (std::size_t page_number = 0; page_number < pages.size(); ++page_number)
    cluster.commit(
        {{},
         {{state::placement_page_key(0, static_cast<int>(page_number)),
           wire::encode_record(pages[page_number], [](int) { return std::string("team-0"); }),
           0}}});

  cluster.take_over(0);
  cluster.send_all_heartbeats();
  cluster.send_all_heartbeats();
  EXPECT_EQ(cluster.stored_tasks().size(), std::size_t{kMachines} * kCpus);
  EXPECT_NE(cluster.schedulers[0]->summary().find("\"running\":256000"), std::string::npos)
      << cluster.schedulers[0]->summary();
  // None of these tasks is started again. Further ones are: more than the last placement page has
  // space for.
  constexpr int kNewMachines = 4;
  cluster.add_machines(kMachines, kNewMachines);
  const std::uint32_t more_tasks = kNewMachines * kCpus;
  cluster.submit(0, 100, more_tasks, 1);
  auto send_heartbeats_of_new_machines = [&] {
    for (int number = kMachines; number < kMachines + kNewMachines; ++number)
      cluster.send_heartbeat(cluster.workers.at(machine_name(number)));
  };
  send_heartbeats_of_new_machines();
  cluster.schedule_and_commit(0);
  send_heartbeats_of_new_machines();
  std::size_t started = 0;
  for (int number = kMachines; number < kMachines + kNewMachines; ++number)
    for (const auto& task : cluster.workers.at(machine_name(number)).tasks)
      started += task.id.job == make_job(100, 1, 1).spec.id;
  EXPECT_EQ(started, more_tasks);
  EXPECT_GT(cluster.cache.placement_pages(0).size(), pages.size());
}

// A task that 4,000 machines have refused is listed in as many placement pages, which have not been
// written since. A new leader starts it again once each of these placements is proven not to run,
// and not before.
TEST(LargeFleet, ATaskWithACopyOnEveryMachineIsStartedOnceAllAreProvenNotToRun) {
  Cluster cluster(1, 4);
  cluster.add_machines(0, kMachines);
  const std::uint64_t first_attempt = cluster.write_leader(0) << 20;
  cluster.submit(0, 1, 1, 1);
  const std::string job = make_job(1, 1, 1).spec.id;
  for (int number = 0; number < kMachines; ++number) {
    wire::PlacementPageRecord page{"t", {{job, 0, 1, 0, 1, {}, {}}}};
    page.jobs[0].placements.push_back(
        {machine_name(number), 0, first_attempt + 1 + static_cast<std::uint64_t>(number)});
    cluster.commit({{},
                    {{state::placement_page_key(0, number),
                      wire::encode_record(page, [](int) { return std::string("team-0"); }), 0}}});
  }
  cluster.take_over(0);
  std::size_t proven_count = 0;
  for (auto& [name, worker] : cluster.workers) {
    cluster.send_heartbeat(worker);  // lists no task, but does not carry the new leader's token yet
    cluster.send_heartbeat(worker);
    ++proven_count;
    cluster.schedule_and_commit(0);
    const bool started = cluster.schedulers[0]->counters().commits > 0;
    ASSERT_EQ(started, proven_count == std::size_t{kMachines})
        << "after " << proven_count << " machines";
  }
}

// Each of 4,000 machines has a replica, and the last machine fails. It is given up on within a few
// seconds, although all other machines are probed between their heartbeats as well.
TEST(LargeFleet, ADeadMachineWithAReplicaIsGivenUpWithinTenSecondsInALargeFleet) {
  Cluster cluster(1, 4);
  cluster.take_over_all();
  cluster.add_machines(0, kMachines);
  cluster.send_all_heartbeats();
  auto job = make_job(1, kMachines, 4);
  job.spec.team = "team-0";
  job.spec.service = true;
  job.spec.spot = false;
  job.spec.priority = wire::Priority::critical;
  cluster.submit(0, job);
  cluster.schedule_and_commit(0);
  cluster.send_all_heartbeats();
  cluster.send_all_heartbeats();
  ASSERT_EQ(cluster.running_tasks().size(), std::size_t{kMachines});
  scheduler::ShardScheduler& scheduler = *cluster.schedulers[0];
  const std::string dead = machine_name(kMachines - 1);
  // A tick is a fifth of a second, and heartbeats are spread evenly over the ticks. A live machine
  // answers a probe at once; the probe of the dead one fails after a second.
  constexpr int kTicks = 15;  // between two heartbeats
  const double died_at = cluster.now;
  double given_up_at = -1, probe_ends = -1;
  for (int tick = 0; cluster.now < died_at + cluster.settings.lease_s && given_up_at < 0; ++tick) {
    cluster.now += cluster.settings.heartbeat_s / kTicks;
    int position = 0;
    for (auto& [name, worker] : cluster.workers)
      if (position++ % kTicks == tick % kTicks && name != dead) cluster.send_heartbeat(worker);
    if (probe_ends >= 0 && cluster.now >= probe_ends) {
      scheduler.probe_done(dead, false, cluster.now);
      probe_ends = -1;
    }
    for (const auto& probe : scheduler.probes(cluster.now)) {
      if (probe.machine == dead)
        probe_ends = cluster.now + 1;
      else
        scheduler.probe_done(probe.machine, true, cluster.now);
    }
    for (const auto& name : scheduler.machines_to_return())
      if (name == dead) given_up_at = cluster.now;
  }
  ASSERT_GE(given_up_at, 0) << "the dead machine was not given up before its lease ended";
  EXPECT_LT(given_up_at - died_at, 10);
}

// Machines whose names do not end in a number share 64 inventory pages. These hold 4,000 of them,
// each once.
TEST(LargeFleet, TheInventoryStoresMachinesWhateverTheirNames) {
  Cluster cluster(3, 4);
  std::vector<wire::MachineRecord> records;
  for (int number = 0; number < kMachines; ++number)
    records.push_back({"rack-" + std::to_string(number) + "-a-name-of-some-length-without-number-x",
                       "t4", number % 2 ? "a" : "b", false, number % 3, 1u << 30, 0});
  // Machines are added in groups of 50, the largest number that one request to the cloud may rent.
  for (std::size_t first = 0; first < records.size(); first += 50)
    cluster.add_to_inventory({records.begin() + static_cast<long>(first),
                              records.begin() + static_cast<long>(first) + 50});
  ASSERT_EQ(cluster.cache.machines().size(), records.size());
  for (const auto& record : records) ASSERT_EQ(*cluster.cache.machine(record.name), record);
}

}  // namespace
}  // namespace shunttrail::test

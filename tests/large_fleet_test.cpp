// Fleets of 4,000 machines, in one shard and over three, without a network: placing, the commit of
// every placement, recovery by a new leader from the stored placement pages, and rosters that
// change.
#include <gtest/gtest.h>

#include "emulators.h"
#include "shard/inventory_page.h"

namespace shunttrail::test {
namespace {

constexpr int kMachines = 4000;
constexpr std::size_t kValueBytes = 4096;  // of the state service, as the settings have it

config::Settings settings_of(int shards) {
  config::Settings s = make_settings(shards);
  s.teams.clear();
  s.team_shard.clear();
  for (int i = 0; i < shards; ++i) {
    s.teams.push_back({"team-" + std::to_string(i), 0, 1e6, 0, 0});
    s.team_shard.push_back(i);
  }
  return s;
}

std::string machine_name(int n) {
  std::string digits = std::to_string(n);
  return "m-" + std::string(6 - digits.size(), '0') + digits;
}

// The leaders of all shards with their state service and their workers.
class Cluster {
 public:
  using Task = std::pair<std::string, std::uint32_t>;  // job and index
  struct Run {
    std::string machine;
    std::uint64_t attempt = 0;
    bool operator==(const Run&) const = default;
  };

  Cluster(int shards, double cpus) : settings(settings_of(shards)), world(settings) {
    catalogue.load({{"t4", cpus, 0, 4 * cpus, 0.4, 0.1, 10, {"a", "b"}}}, settings);
    desks.resize(static_cast<std::size_t>(shards));
  }

  void read() {
    std::vector<state::Change> changes;
    for (; read_ < store.log.size(); ++read_) world.apply(store.log[read_], changes);
    world.advance(store.revision);
  }
  // Within the limits of the state service.
  void carry_out(const wire::Transaction& txn) {
    const state::TransactionLimits room;
    ASSERT_LE(txn.ops.size(), room.ops);
    ASSERT_LE(txn.preconditions.size(), room.preconditions);
    for (const auto& op : txn.ops) ASSERT_LE(op.value.value_or("").size(), kValueBytes) << op.key;
    ASSERT_TRUE(store.commit(txn));
    read();
  }
  std::uint64_t own(int shard) {
    carry_out(
        {{},
         {{state::leader_key(shard),
           wire::encode_record(wire::LeaderRecord{"node-0", std::to_string(store.revision)}), 0}}});
    return world.leader(shard).mod_revision;
  }

  // Entered into the inventory as nodes do it, and removed from it.
  void enter(const std::vector<wire::MachineRecord>& records) {
    std::map<int, std::vector<wire::MachineRecord>> pages;
    for (const auto& r : records) pages[state::inventory_page(r.name)].push_back(r);
    for (const auto& [number, machines] : pages) {
      shard::InventoryPage page(world, number);
      for (const auto& r : machines) page.set(r);
      carry_out(page.changes(kValueBytes, "t"));
    }
  }
  void strike(const std::string& name) {
    shard::InventoryPage page(world, state::inventory_page(name));
    page.drop(name);
    carry_out(page.changes(kValueBytes, "t"));
    workers.erase(name);
  }
  void add_worker(const wire::MachineRecord& r) {
    Worker k;
    k.name = r.name;
    k.zone = r.zone;
    workers[r.name] = k;
  }
  // Machines first..first+count-1, dealt out over the shards, in drawn zones.
  void add_machines(int first, int count) {
    std::vector<wire::MachineRecord> records;
    for (int n = first; n < first + count; ++n) {
      const int shard = n % settings.shards();
      records.push_back({machine_name(n), "t4", rng() % 2 ? "a" : "b", false, shard, 0, 0});
      add_worker(records.back());
    }
    enter(records);
    for (const auto& r : records)
      if (auto& scheduler = desks[static_cast<std::size_t>(r.shard)])
        scheduler->machine_known(r, now);
  }

  void submit(int shard, int number, std::uint32_t tasks, double cpus) {
    auto r = make_job(number, tasks, cpus);
    r.spec.team = settings.teams[static_cast<std::size_t>(shard)].name;
    r.spec.estimate_s = 3600;
    submit(shard, r);
  }
  void submit(int shard, const wire::JobRecord& r) {
    carry_out({{}, {{state::job_key(r.spec.id), wire::encode_record(r), 0}}});
    tasks_of[r.spec.id] = r.spec.tasks;
    if (auto& scheduler = desks[static_cast<std::size_t>(shard)])
      scheduler->job_added(r, shard, {}, now, now);
  }

  // A new leader, from what is stored.
  void take(int shard) {
    const std::uint64_t token = own(shard);
    auto& scheduler = desks[static_cast<std::size_t>(shard)];
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, shard,
                                                            token, now, 7);
    for (const auto& [id, j] : world.jobs())
      if (const int team = settings.team_index(j.record.spec.team); team == shard)
        scheduler->job_added(j.record, team, world.done(id), now, now);
    for (const auto& [name, m] : world.machines())
      if (m.shard == shard) scheduler->machine_known(m, now);
    for (const auto& [number, page] : world.placement_pages(shard))
      scheduler->recover_page(number, page, now);
  }
  void take_all() {
    for (int k = 0; k < settings.shards(); ++k) take(k);
  }

  // Places all that has room, and commits every placement.
  void settle(int shard) {
    scheduler::ShardScheduler& scheduler = *desks[static_cast<std::size_t>(shard)];
    do {
      scheduler.run_scheduling_pass(now);
      while (auto txn = scheduler.next_transaction(world, state::TransactionLimits{}, "t", now)) {
        carry_out(*txn);
        scheduler.transaction_applied(now);
      }
    } while (scheduler.scheduling_due());
  }
  void settle_all() {
    for (int k = 0; k < settings.shards(); ++k) settle(k);
  }
  scheduler::ShardScheduler& leader_of(const std::string& machine) {
    return *desks[static_cast<std::size_t>(world.machine(machine)->shard)];
  }
  void report(Worker& k) {
    auto r = k.heartbeat();
    r.spot = false;
    scheduler::ShardScheduler& scheduler = leader_of(k.name);
    ASSERT_EQ(scheduler.take_heartbeat(r, now), scheduler::ShardScheduler::HeartbeatResult::fresh)
        << k.name;
    k.execute(scheduler.token(), scheduler.commands_for(k.name, true, now), r.incarnation, now, now,
              rng);
  }
  void all_report() {
    now += settings.heartbeat_s;
    for (auto& [name, k] : workers) report(k);
  }

  // What runs, as the workers have it: each task once at the most, and no machine beyond its room.
  std::map<Task, Run> running() {
    std::map<Task, Run> out;
    for (const auto& [name, k] : workers) {
      double used = 0;
      for (const auto& t : k.tasks) {
        if (t.state == wire::TaskState::exited) continue;
        const auto [at, fresh] = out.emplace(Task{t.id.job, t.id.index}, Run{name, t.attempt});
        EXPECT_TRUE(fresh) << t.id.job << "/" << t.id.index << " runs on " << name << " and "
                           << at->second.machine;
        used += world.job(t.id.job)->record.spec.cpus;
      }
      EXPECT_LE(used, catalogue.types[0].spec.cpus) << name;
    }
    return out;
  }
  // As the placement pages have it: what runs stands in one of its own shard's.
  std::map<Task, Run> stored() {
    std::map<Task, Run> out;
    for (int k = 0; k < settings.shards(); ++k)
      for (const auto& [number, page] : world.placement_pages(k))
        for (const auto& g : page.jobs)
          for (const auto& p : g.placements)
            if (auto m = world.machine(p.machine); m && m->shard == k)
              out[{g.job, p.task}] = {p.machine, p.attempt};
    return out;
  }
  std::size_t all_tasks() const {
    std::size_t sum = 0;
    for (const auto& [job, n] : tasks_of) sum += n;
    return sum;
  }

  const config::Settings settings;
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue;
  Store store;
  state::StateCache world;
  std::vector<std::unique_ptr<scheduler::ShardScheduler>> desks;  // by shard
  std::map<std::string, Worker> workers;
  std::map<std::string, std::uint32_t> tasks_of;  // by job
  std::mt19937 rng{20};
  double now = 1;

 private:
  std::size_t read_ = 0;  // of the store's log
};

// Drawn arrays that take up about three eighths of the vcpus; nothing is missing or there twice
// whatever becomes of machines and leaders.
void lives_through_changes(int shards) {
  Cluster c(shards, 4);
  c.take_all();
  c.add_machines(0, kMachines);
  c.all_report();
  for (int k = 0; k < shards; ++k) {
    const auto n = static_cast<std::uint32_t>(kMachines / shards);
    c.submit(k, 10 * k, n / 2 + c.rng() % 50, 2);
    c.submit(k, 10 * k + 1, n / 2 + c.rng() % 50, 1);
  }
  c.settle_all();
  c.all_report();  // told to start
  c.all_report();  // and shown to run
  auto before = c.running();
  ASSERT_EQ(before.size(), c.all_tasks());
  EXPECT_EQ(c.stored(), before);

  // While nobody leads, machines come and go.
  std::set<std::string> gone;
  while (gone.size() < 100)
    gone.insert(machine_name(static_cast<int>(c.rng() % static_cast<unsigned>(kMachines))));
  for (auto& scheduler : c.desks) scheduler.reset();
  for (const auto& name : gone) c.strike(name);
  c.add_machines(kMachines, 100);
  c.take_all();
  c.all_report();
  c.all_report();
  c.settle_all();
  c.all_report();
  c.all_report();
  auto after = c.running();
  ASSERT_EQ(after.size(), c.all_tasks());
  for (const auto& [task, run] : before) {
    if (gone.contains(run.machine)) continue;
    ASSERT_EQ(after.at(task).machine, run.machine) << task.first << "/" << task.second;
    ASSERT_EQ(after.at(task).attempt, run.attempt);
  }
  EXPECT_EQ(c.stored(), after);

  // Under leaders that stay, machines are deleted, and empty ones go from the first shard to the
  // last.
  std::vector<std::string> deleted, moved;
  for (const auto& [name, k] : c.workers) {
    if (deleted.size() < 50 && !k.tasks.empty()) deleted.push_back(name);
    if (moved.size() < 50 && k.tasks.empty() && c.world.machine(name)->shard == 0)
      moved.push_back(name);
  }
  ASSERT_EQ(deleted.size(), 50u);
  for (const auto& name : deleted) {
    scheduler::ShardScheduler& scheduler = c.leader_of(name);
    c.strike(name);
    scheduler.machine_gone(name, c.now);
  }
  if (shards > 1) {
    ASSERT_EQ(moved.size(), 50u);
    const int last = shards - 1;
    scheduler::ShardScheduler &from = *c.desks[0], &to = *c.desks[static_cast<std::size_t>(last)];
    for (const auto& name : moved) {
      wire::MachineRecord r = *c.world.machine(name);
      r.shard = last;
      r.token = from.token();
      c.enter({r});
      from.machine_moved(name, c.now);
      to.machine_known(r, c.now);
    }
    if (to.needs_new_token(c.now)) to.advance_token(c.own(last), c.now);
  }
  c.all_report();
  c.settle_all();
  c.all_report();
  c.all_report();
  auto at_last = c.running();
  EXPECT_EQ(at_last.size(), c.all_tasks());
  EXPECT_EQ(c.stored(), at_last);
}

TEST(LargeFleet, OneShardLosesNoTaskAndRunsNoneTwice) { lives_through_changes(1); }

TEST(LargeFleet, ThreeShardsLoseNoTaskAndRunNoneTwice) { lives_through_changes(3); }

// One shard's tasks on every vcpu of 4,000 machines of 64, in placement pages as full as 4 KiB
// allow. The new leader knows them all, and has placement pages for more: at 512 it could not
// commit another start.
TEST(LargeFleet, AShardWith256000RunningTasksIsRecoveredAndStartsMore) {
  constexpr int kCpus = 64;
  constexpr std::uint32_t kJobs = 4, kTasks = kMachines * kCpus / kJobs;
  // What a placement page of 4 KiB takes, as fleet::Placement pages counts it.
  constexpr std::size_t kSheetRoom = kValueBytes - 64, kHeader = 96 + 10 + 6;
  Cluster c(1, kCpus);
  c.add_machines(0, kMachines);
  const std::uint64_t first_attempt = c.own(0) << 20;
  for (std::uint32_t j = 0; j < kJobs; ++j) c.submit(0, static_cast<int>(j), kTasks, 1);

  // Task after task on the next machine, as they are strewn once many have come and gone.
  std::vector<wire::PlacementPageRecord> pages;
  std::size_t bytes = kValueBytes;
  for (int n = 0; n < kMachines * kCpus; ++n) {
    const std::string job = make_job(n % static_cast<int>(kJobs), 1, 1).spec.id;
    const auto task = static_cast<std::uint32_t>(n) / kJobs;
    const std::string machine = machine_name(n % kMachines);
    // 7919 is a prime: each attempt is another one, in no order.
    const std::uint64_t attempt =
        first_attempt + 1 + static_cast<std::uint64_t>(n) * 7919 % (kMachines * kCpus);
    const std::size_t more = 6 + std::to_string(task).size() + 6 + machine.size() + 3;
    if (bytes + more > kSheetRoom) {
      pages.push_back({"t", {}});
      for (std::uint32_t j = 0; j < kJobs; ++j)
        pages.back().jobs.push_back(
            {make_job(static_cast<int>(j), 1, 1).spec.id, 0, 1, 0, 1, {}, {}});
      bytes = 48 + 1 + kJobs * kHeader;
    }
    bytes += more;
    pages.back().jobs[static_cast<std::size_t>(n) % kJobs].placements.push_back(
        {machine, task, attempt});
    c.workers.at(machine).tasks.push_back(
        {{job, task}, attempt, wire::TaskState::running, wire::ExitReason::none, 1e9});
  }
  ASSERT_GT(pages.size(), 512u);
  for (std::size_t i = 0; i < pages.size(); ++i)
    c.carry_out({{},
                 {{state::placement_page_key(0, static_cast<int>(i)),
                   wire::encode_record(pages[i], [](int) { return std::string("team-0"); }), 0}}});

  c.take(0);
  c.all_report();
  c.all_report();
  EXPECT_EQ(c.stored().size(), std::size_t{kMachines} * kCpus);
  EXPECT_NE(c.desks[0]->summary().find("\"running\":256000"), std::string::npos)
      << c.desks[0]->summary();
  // Nothing of it is started again, and what comes beside it is: more than the last placement page
  // takes.
  constexpr int kMore = 4;
  c.add_machines(kMachines, kMore);
  const std::uint32_t more_tasks = kMore * kCpus;
  c.submit(0, 100, more_tasks, 1);
  auto fresh_report = [&] {
    for (int n = kMachines; n < kMachines + kMore; ++n) c.report(c.workers.at(machine_name(n)));
  };
  fresh_report();
  c.settle(0);
  fresh_report();
  std::size_t started = 0;
  for (int n = kMachines; n < kMachines + kMore; ++n)
    for (const auto& t : c.workers.at(machine_name(n)).tasks)
      started += t.id.job == make_job(100, 1, 1).spec.id;
  EXPECT_EQ(started, more_tasks);
  EXPECT_GT(c.world.placement_pages(0).size(), pages.size());
}

// A task that 4,000 machines have turned away stands in as many placement pages that have not been
// written since. A new leader starts it again once each of the copies is proven gone, and not
// before.
TEST(LargeFleet, ATaskWithACopyOnEveryMachineIsStartedOnceAllAreProvenGone) {
  Cluster c(1, 4);
  c.add_machines(0, kMachines);
  const std::uint64_t first_attempt = c.own(0) << 20;
  c.submit(0, 1, 1, 1);
  const std::string job = make_job(1, 1, 1).spec.id;
  for (int n = 0; n < kMachines; ++n) {
    wire::PlacementPageRecord page{"t", {{job, 0, 1, 0, 1, {}, {}}}};
    page.jobs[0].placements.push_back(
        {machine_name(n), 0, first_attempt + 1 + static_cast<std::uint64_t>(n)});
    c.carry_out({{},
                 {{state::placement_page_key(0, n),
                   wire::encode_record(page, [](int) { return std::string("team-0"); }), 0}}});
  }
  c.take(0);
  std::size_t proven = 0;
  for (auto& [name, k] : c.workers) {
    c.report(k);  // shows no task, though not yet under the new leader's token
    c.report(k);
    ++proven;
    c.settle(0);
    const bool started = c.desks[0]->counters().commits > 0;
    ASSERT_EQ(started, proven == std::size_t{kMachines}) << "after " << proven << " machines";
  }
}

// Every machine of 4,000 has a replica, and the last of them dies. It is given up on in a few
// seconds, though all that live are asked as well between their heartbeats.
TEST(LargeFleet, ADeadMachineWithAReplicaIsFoundAmongAllThatLive) {
  Cluster c(1, 4);
  c.take_all();
  c.add_machines(0, kMachines);
  c.all_report();
  auto r = make_job(1, kMachines, 4);
  r.spec.team = "team-0";
  r.spec.service = true;
  r.spec.spot = false;
  r.spec.priority = wire::Priority::critical;
  c.submit(0, r);
  c.settle(0);
  c.all_report();
  c.all_report();
  ASSERT_EQ(c.running().size(), std::size_t{kMachines});
  scheduler::ShardScheduler& scheduler = *c.desks[0];
  const std::string dead = machine_name(kMachines - 1);
  // Ticks of a fifth of a second; heartbeats are spread evenly. Who lives answers at once, the dead
  // one keeps its probe for a second.
  constexpr int kTicks = 15;  // between two heartbeats
  const double died_at = c.now;
  double given_up_at = -1, probe_ends = -1;
  for (int tick = 0; c.now < died_at + c.settings.lease_s && given_up_at < 0; ++tick) {
    c.now += c.settings.heartbeat_s / kTicks;
    int n = 0;
    for (auto& [name, k] : c.workers)
      if (n++ % kTicks == tick % kTicks && name != dead) c.report(k);
    if (probe_ends >= 0 && c.now >= probe_ends) {
      scheduler.probe_done(dead, false, c.now);
      probe_ends = -1;
    }
    for (const auto& p : scheduler.probes(c.now)) {
      if (p.machine == dead)
        probe_ends = c.now + 1;
      else
        scheduler.probe_done(p.machine, true, c.now);
    }
    for (const auto& name : scheduler.machines_to_return())
      if (name == dead) given_up_at = c.now;
  }
  ASSERT_GE(given_up_at, 0) << "not before its lease was over";
  EXPECT_LT(given_up_at - died_at, 10);
}

// Names that do not end in a number share 64 pages: 4,000 of them fit, each once.
TEST(LargeFleet, TheInventoryHoldsMachinesWhateverTheirNames) {
  Cluster c(3, 4);
  std::vector<wire::MachineRecord> records;
  for (int n = 0; n < kMachines; ++n)
    records.push_back({"rack-" + std::to_string(n) + "-a-name-of-some-length-without-number-x",
                       "t4", n % 2 ? "a" : "b", false, n % 3, 1u << 30, 0});
  // As they come: in lots of 50, as many as a request to the cloud may rent.
  for (std::size_t i = 0; i < records.size(); i += 50)
    c.enter({records.begin() + static_cast<long>(i), records.begin() + static_cast<long>(i) + 50});
  ASSERT_EQ(c.world.machines().size(), records.size());
  for (const auto& r : records) ASSERT_EQ(*c.world.machine(r.name), r);
}

}  // namespace
}  // namespace shunttrail::test

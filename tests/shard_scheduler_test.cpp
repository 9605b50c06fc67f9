// Tests of one shard's scheduler on small cases. Each guards against a failure that has occurred.
#include <gtest/gtest.h>

#include "emulators.h"

namespace shunttrail::test {
namespace {

/// One scheduler, which leads shard 0, with its state service. Workers are represented only by the
/// heartbeats that a test sends.
struct SingleShard {
  config::Settings settings = make_settings(1);
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  Store store;
  state::StateCache cache{settings};
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  std::uint64_t sequence = 0;  // sequence number of the last heartbeat, of any machine
  std::vector<wire::Transaction> committed;

  SingleShard() {
    wire::Transaction leader_write;
    leader_write.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0});
    store.commit(leader_write);
    read_store();
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, 0,
                                                            cache.leader(0).mod_revision, 0, 7);
  }
  /// Submits a job of one task, places it, and returns the direct commands that start it.
  std::vector<scheduler::DirectCommands> start_directly(int number, double now) {
    submit(make_job(number, 1, 1));
    scheduler->tick(now);
    schedule_and_commit(now);
    const auto skip_none = [](const std::string&) { return false; };
    return scheduler->direct_commands(true, skip_none, now);
  }
  void read_store() {
    std::vector<state::Change> changes;
    store.read(cache, changes);
  }
  void add_machine(const std::string& name) {
    wire::MachineRecord record{name, "t4", "a", false, 0, 0};
    store.commit(inventory_transaction(cache, {record}));
    read_store();
    scheduler->machine_known(record, 0);
  }
  void submit(const wire::JobRecord& record) {
    wire::Transaction transaction;
    transaction.ops.push_back({state::job_key(record.spec.id), wire::encode_record(record), 0});
    store.commit(transaction);
    read_store();
    scheduler->job_added(record, 0, {}, 0, 0);
  }
  /// Runs a scheduling pass, and commits transactions until there are none or one fails.
  void schedule_and_commit(double now) {
    scheduler->run_scheduling_pass(now);
    while (auto transaction =
               scheduler->next_transaction(cache, state::TransactionLimits{}, "t", now)) {
      bool applied = store.commit(*transaction).has_value();
      if (applied) committed.push_back(*transaction);
      read_store();
      applied ? scheduler->transaction_applied(now) : scheduler->transaction_failed(now);
      if (!applied) return;
    }
  }
  /// Records a new token of the leader.
  void advance_token(double now) {
    wire::Transaction new_leader;
    new_leader.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "r"}), 0});
    scheduler->advance_token(*store.commit(new_leader), now);
    read_store();
  }
  /// Returns a machine's next heartbeat, whose worker has seen this token as the highest.
  wire::Heartbeat next_heartbeat(const std::string& name, std::uint64_t token,
                                 std::vector<wire::TaskStatus> tasks = {},
                                 std::uint64_t incarnation = 1) {
    wire::Heartbeat message;
    message.machine = name;
    message.addr = "10.0.0.1:1";
    message.type = "t4";
    message.zone = "a";
    message.incarnation = incarnation;
    message.sequence = ++sequence;
    message.token = token;
    message.tasks = std::move(tasks);
    return message;
  }
  /// Sends a heartbeat that lists `tasks`, and returns the commands in the response.
  std::vector<wire::Command> heartbeat(const std::string& name, double now,
                                       std::vector<wire::TaskStatus> tasks = {},
                                       std::uint64_t incarnation = 1) {
    const wire::Heartbeat message =
        next_heartbeat(name, scheduler->command_token(name), std::move(tasks), incarnation);
    scheduler->take_heartbeat(message, now);
    schedule_and_commit(now);
    return scheduler->commands_for(name, true, now);
  }
};

// Workers recognize the tasks of one gang by their common attempt number. When each task had an
// attempt number of its own, the gang waited for its members for ever.
TEST(ShardScheduler, TasksOfAGangShareOneAttemptAndGetANewOneTogether) {
  SingleShard shard;
  shard.add_machine("m-1");
  auto gang = make_job(1, 3, 1);
  gang.spec.gang = true;
  shard.submit(gang);
  auto first_commands = shard.heartbeat("m-1", 1);
  ASSERT_EQ(first_commands.size(), 3u);
  for (const auto& command : first_commands) EXPECT_EQ(command.attempt, first_commands[0].attempt);
  std::vector<wire::TaskStatus> stopped_tasks;
  for (const auto& command : first_commands)
    stopped_tasks.push_back(
        {command.task, command.attempt, wire::TaskState::exited, wire::ExitReason::stopped});
  shard.heartbeat("m-1", 2, stopped_tasks);
  auto second_commands = shard.heartbeat("m-1", 3);
  std::set<std::uint64_t> attempts;
  for (const auto& command : second_commands)
    if (command.op == wire::Command::Op::start) attempts.insert(command.attempt);
  ASSERT_EQ(attempts.size(), 1u);
  EXPECT_NE(*attempts.begin(), first_commands[0].attempt);
}

// Tasks waited although machines had free capacity. A task must use such capacity at once, whatever
// the learners decide.
TEST(ShardScheduler, ATaskNeitherWaitsNorRentsWhileAMachineHasFreeCapacity) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.add_machine("m-2");
  shard.heartbeat("m-1", 1);
  shard.heartbeat("m-2", 1);
  for (int number = 0; number < 4; ++number) shard.submit(make_job(number, 2, 1));
  shard.scheduler->run_scheduling_pass(2);
  EXPECT_TRUE(shard.scheduler->scale_out_requests(2).empty());
  std::size_t starts = shard.heartbeat("m-1", 3).size() + shard.heartbeat("m-2", 3).size();
  EXPECT_EQ(starts, 8u);
}

// If the worker dropped a result before it is persisted, a crash of the controller would cause the
// task to run again.
TEST(ShardScheduler, AResultIsAcknowledgedOnlyOnceItIsPersisted) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.submit(make_job(1, 2, 1));
  auto starts = shard.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 2u);
  wire::Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.type = "t4";
  heartbeat.zone = "a";
  heartbeat.incarnation = 1;
  heartbeat.sequence = ++shard.sequence;
  heartbeat.token = shard.scheduler->token();
  heartbeat.tasks = {
      {starts[0].task, starts[0].attempt, wire::TaskState::exited, wire::ExitReason::done},
      {starts[1].task, starts[1].attempt, wire::TaskState::running, wire::ExitReason::none}};
  shard.scheduler->take_heartbeat(heartbeat, 2);
  EXPECT_TRUE(shard.scheduler->commands_for("m-1", true, 2).empty());
  shard.schedule_and_commit(2);
  EXPECT_TRUE(shard.scheduler->commands_for("m-1", true, 2)
                  .empty());  // the result waits for starts to share a transaction with
  shard.schedule_and_commit(6);
  auto commands = shard.scheduler->commands_for("m-1", true, 6);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, wire::Command::Op::acknowledge);
}

// As the results of a chunk grow, they are written to another placement page, and an older copy
// stays in the previous one. A leader that took the older copy for the current one dropped the
// newer copy at the next write of its page. After one more takeover, finished tasks that had been
// acknowledged ran again.
TEST(ShardScheduler, FinishedTasksStayRecordedWhicheverPageHoldsTheNewestCopy) {
  for (int newest : {3, 5}) {
    SCOPED_TRACE(newest);
    SingleShard shard;
    const int older = 8 - newest;
    auto job = make_job(1, 4, 1);
    // All other placement pages have more entries, so these two are written first.
    std::vector<wire::JobRecord> fillers;
    for (int number = 0; number < 6; ++number) fillers.push_back(make_job(10 + number, 100000, 1));
    wire::Transaction transaction;
    for (const auto& filler : fillers)
      transaction.ops.push_back({state::job_key(filler.spec.id), wire::encode_record(filler), 0});
    transaction.ops.push_back({state::job_key(job.spec.id), wire::encode_record(job), 0});
    auto put_page = [&](int page, std::vector<wire::JobPlacements> jobs) {
      transaction.ops.push_back(
          {state::placement_page_key(0, page),
           wire::encode_record(wire::PlacementPageRecord{"0", std::move(jobs)},
                               [](int) { return std::string("red"); }),
           0});
    };
    auto finished = [](const wire::JobRecord& record, std::uint32_t chunk, wire::Intervals done) {
      wire::JobPlacements entry{record.spec.id, 0, 1, 0, 1, {}, {}};
      entry.done.emplace_back(chunk, std::move(done));
      return entry;
    };
    for (int page = 0; page < 256; ++page) {
      if (page == newest) put_page(page, {finished(job, 0, {{0, 2}})});
      if (page == older) put_page(page, {finished(job, 0, {{0, 0}})});
      if (page == newest || page == older) continue;
      const std::uint32_t chunk = static_cast<std::uint32_t>(page % 128);
      const std::size_t first = page < 128 ? 0 : 3;
      put_page(page, {finished(fillers[first], chunk, {{0, 0}}),
                      finished(fillers[first + 1], chunk, {{0, 0}}),
                      finished(fillers[first + 2], chunk, {{0, 0}})});
    }
    shard.store.commit(transaction);
    // The scheduler recovers what the pages contain, as at a takeover.
    shard.read_store();
    shard.add_machine("m-1");
    for (const auto& [id, entry] : shard.cache.jobs())
      if (id == job.spec.id)
        shard.scheduler->job_added(entry.record, 0, shard.cache.done(id), 0, 0);
    for (const auto& filler : fillers)
      shard.scheduler->job_added(filler, 0, shard.cache.done(filler.spec.id), 0, 0);
    for (const auto& [number, page] : shard.cache.placement_pages(0))
      shard.scheduler->recover_page(number, page, 0);
    // The next starts are written into the emptiest placement pages.
    for (int round = 0; round < 4; ++round) shard.heartbeat("m-1", 1 + round);
    std::set<std::uint32_t> done;
    for (const auto& [chunk, intervals] : shard.cache.done(job.spec.id))
      for (auto [first_done, last_done] : intervals)
        for (std::uint32_t task = first_done; task <= last_done; ++task) done.insert(task);
    EXPECT_EQ(done, (std::set<std::uint32_t>{0, 1, 2}));
    EXPECT_NE(shard.cache.placement_pages(0).at(newest).tag +
                  shard.cache.placement_pages(0).at(older).tag,
              "00");
  }
}

// The cloud refused to rent out a machine. The shard had no machines, so no heartbeat caused
// another scheduling pass, and it never sent a request again.
TEST(ShardScheduler, RentingIsRetriedAfterARefusalWithoutFurtherEvents) {
  SingleShard shard;
  shard.submit(make_job(1, 2, 1));
  double last_request_at = -1;
  for (double now = 0; now < 60; now += 0.2) {
    shard.scheduler->tick(now);
    if (shard.scheduler->scheduling_due()) shard.scheduler->run_scheduling_pass(now);
    for (const auto& request : shard.scheduler->scale_out_requests(now)) {
      last_request_at = now;
      shard.scheduler->rent_refused(request, 0, true, now);
    }
  }
  EXPECT_GT(last_request_at, 40);
}

// While the cloud had no machines, a task was queued at a machine that was full of replicas. It
// waited there for ever, and the shard sent no further request to the cloud.
TEST(ShardScheduler, ATaskThatWaitsBehindReplicasIsReconsideredForANewMachine) {
  SingleShard shard;
  shard.add_machine("m-1");
  auto service = make_job(1, 2, 2);
  service.spec.service = true;
  shard.submit(service);
  std::vector<wire::TaskStatus> running;
  for (const auto& command : shard.heartbeat("m-1", 1))
    running.push_back(
        {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
  ASSERT_EQ(running.size(), 2u);
  shard.heartbeat("m-1", 2, running);
  shard.submit(make_job(2, 1, 1));
  double last_request_at = -1;
  bool waited = false;
  for (double now = 2; now < 60; now += 0.2) {
    if (static_cast<int>(now * 5) % 15 == 0) shard.heartbeat("m-1", now, running);
    shard.scheduler->tick(now);
    if (shard.scheduler->scheduling_due()) shard.scheduler->run_scheduling_pass(now);
    waited |= shard.scheduler->summary().find("\"waiting\":1") != std::string::npos;
    for (const auto& request : shard.scheduler->scale_out_requests(now)) {
      last_request_at = now;
      shard.scheduler->rent_refused(request, 0, true, now);
    }
  }
  EXPECT_TRUE(waited);
  EXPECT_GT(last_request_at, 40);
}

// A machine's queue is served in order. A small task waited behind a large one, although it fitted
// into the free capacity, for as long as the large one waited. It must start before 90 s have
// passed, but must not overtake the large one at once.
TEST(ShardScheduler, ATaskBehindOneThatDoesNotFitTakesTheRemainingCapacity) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.submit(make_job(1, 1, 3));
  std::vector<wire::TaskStatus> running;
  for (const auto& command : shard.heartbeat("m-1", 1))
    running.push_back(
        {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
  ASSERT_EQ(running.size(), 1u);
  shard.heartbeat("m-1", 2, running);
  auto large = make_job(2, 1, 2), small = make_job(3, 1, 1);
  large.spec.priority = wire::Priority::high;
  shard.submit(large);
  double added_at = -1, started_at = -1;
  for (double now = 3; now < 200 && started_at < 0; now += 1) {
    shard.scheduler->tick(now);
    for (const auto& request : shard.scheduler->scale_out_requests(now))
      shard.scheduler->rent_refused(request, 0, true, now);
    for (const auto& command : shard.heartbeat("m-1", now, running))
      if (command.op == wire::Command::Op::start) {
        EXPECT_EQ(command.task.job, small.spec.id);
        started_at = now;
      }
    // The small task is submitted once the large one waits in the queue of this machine, and not in
    // that of a machine on order.
    const std::string summary = shard.scheduler->summary();
    if (added_at < 0 && summary.find("\"waiting\":1") != std::string::npos &&
        summary.find("\"ordered\":0") != std::string::npos) {
      shard.submit(small);
      added_at = now;
    }
  }
  ASSERT_GE(added_at, 0);
  EXPECT_GT(started_at, added_at + 60);
  EXPECT_LT(started_at, added_at + 90);
}

// A second copy of a transaction that arrives later must not be applied, whatever it has written.
TEST(ShardScheduler, ALateCopyOfATransactionIsNeverApplied) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 rng(seed);
    SingleShard shard;
    std::map<std::string, std::vector<wire::TaskStatus>> tasks_by_machine;
    for (const char* name : {"m-1", "m-2", "m-3"})
      shard.add_machine(name), tasks_by_machine[name] = {};
    int job_count = 0;
    for (double now = 1; now < 60; now += 1) {
      if (rng() % 3 == 0) shard.submit(make_job(job_count++, 1 + rng() % 4, 1));
      for (auto& [name, tasks] : tasks_by_machine) {
        for (auto& status : tasks)
          if (rng() % 5 == 0)
            status.state = wire::TaskState::exited, status.exit_reason = wire::ExitReason::done;
        for (const auto& command : shard.heartbeat(name, now, tasks)) {
          std::erase_if(tasks, [&](const auto& status) {
            return command.op == wire::Command::Op::acknowledge &&
                   status.attempt == command.attempt;
          });
          if (command.op == wire::Command::Op::start)
            tasks.push_back(
                {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
        }
      }
      for (const auto& transaction : shard.committed) {
        Store replayed = shard.store;
        EXPECT_FALSE(replayed.commit(transaction)) << "at " << now;
      }
    }
    EXPECT_GT(shard.committed.size(), 20u);
  }
}

// An earlier leader sends its last response at most staleness_bound_s() after the takeover. A task
// on a silent machine that is not deleted is not given up before the lease that this response may
// have renewed has ended.
TEST(ShardScheduler, SilenceProvesNothingBeforeTheEarlierLeadersLastLeaseEnds) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.add_machine("m-2");
  shard.submit(make_job(1, 1, 1));
  wire::JobPlacements recovered{"run-100001", 0, 1, 0, 1, {{"m-1", 0, 7}}, {}};
  shard.scheduler->recover_page(0, {"x", {recovered}}, 0);
  double given_up_at = -1;
  for (double now = 1; now < 100 && given_up_at < 0; now += 1) {
    shard.heartbeat("m-2", now);
    shard.scheduler->tick(now);
    if (shard.scheduler->summary().find("\"lost\":0") == std::string::npos) given_up_at = now;
  }
  EXPECT_GE(given_up_at, shard.settings.staleness_bound_s() + shard.settings.lease_s);
}

// A direct command was delayed, considered lost, and then carried out. When the lease of the
// machine ended afterwards, its task still counted as running for ever.
TEST(ShardScheduler, ATaskStartedByALateDirectCommandIsGivenUpWhenItsIncarnationEnds) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  auto direct = shard.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  ASSERT_EQ(direct[0].commands.size(), 1u);
  shard.scheduler->direct_commands_done(direct[0], 0);
  const auto& start = direct[0].commands[0];
  shard.heartbeat("m-1", 5,
                  {{start.task, start.attempt, wire::TaskState::running, wire::ExitReason::none}});
  auto commands = shard.heartbeat("m-1", 40, {}, 2);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].op, wire::Command::Op::start);
  EXPECT_GT(commands[0].attempt, start.attempt);
}

// A direct start has no response yet, and its job has been cancelled. No response to a heartbeat
// may renew the machine's lease under the token under which the start would be carried out.
TEST(ShardScheduler, ALeaseIsNotRenewedWhileACancelledTaskMayStillBeStarted) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  auto direct = shard.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  EXPECT_FALSE(shard.scheduler->has_unacknowledged_start("m-1"));
  shard.scheduler->job_ended(make_job(1, 1, 1).spec.id, 3);
  // The response to the direct command may still acknowledge the start.
  EXPECT_TRUE(shard.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_FALSE(shard.scheduler->needs_new_token(3));
  shard.scheduler->direct_commands_done(direct[0], 0);
  shard.heartbeat("m-1", 4);
  EXPECT_TRUE(shard.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_TRUE(shard.scheduler->needs_new_token(4));
  const std::uint64_t old_token = shard.scheduler->token();
  shard.advance_token(4.1);
  EXPECT_FALSE(shard.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_GT(shard.scheduler->token(), old_token);
  EXPECT_FALSE(shard.scheduler->needs_new_token(20));
  // The next case that needs a higher token does not have to wait ten seconds for it.
  shard.heartbeat("m-1", 5);
  direct = shard.start_directly(2, 6);
  ASSERT_EQ(direct.size(), 1u);
  shard.scheduler->direct_commands_done(direct[0], 0);
  EXPECT_FALSE(shard.scheduler->needs_new_token(6.5));
  shard.scheduler->job_ended(make_job(2, 1, 1).spec.id, 6.5);
  EXPECT_TRUE(shard.scheduler->needs_new_token(6.5));
}
TEST(ShardScheduler, TheResponseToADirectStartOfACancelledJobAcknowledgesIt) {
  for (int status : {200, 409}) {
    SingleShard shard;
    shard.add_machine("m-1");
    shard.heartbeat("m-1", 1);
    auto direct = shard.start_directly(1, 2);
    ASSERT_EQ(direct.size(), 1u);
    shard.scheduler->job_ended(make_job(1, 1, 1).spec.id, 3);
    shard.scheduler->direct_commands_done(direct[0], status);
    EXPECT_FALSE(shard.scheduler->has_unacknowledged_start("m-1")) << status;
    EXPECT_FALSE(shard.scheduler->needs_new_token(30)) << status;
  }
}

// The running tasks of a cancelled job are stopped by direct commands at once, also on a machine
// whose heartbeats do not arrive, and by the response to a heartbeat that has been overtaken.
TEST(ShardScheduler, ACancelledJobsTasksAreStoppedWithoutWaitingForAHeartbeat) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.submit(make_job(1, 2, 1));
  shard.submit(make_job(2, 1, 1));
  auto starts = shard.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 3u);
  std::vector<wire::TaskStatus> running;
  for (const auto& command : starts)
    running.push_back(
        {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
  shard.heartbeat("m-1", 2, running);
  shard.scheduler->set_machine_address("m-1", "10.0.0.1:1");
  const auto skip_none = [](const std::string&) { return false; };
  EXPECT_TRUE(shard.scheduler->direct_commands(true, skip_none, 14).empty());
  const std::string cancelled_job = make_job(1, 2, 1).spec.id;
  shard.scheduler->job_ended(cancelled_job, 14);
  auto direct = shard.scheduler->direct_commands(true, skip_none, 14);
  ASSERT_EQ(direct.size(), 1u);
  auto expect_both_tasks_stopped = [&](const std::vector<wire::Command>& commands) {
    ASSERT_EQ(commands.size(), 2u);
    for (const auto& command : commands) {
      EXPECT_EQ(command.op, wire::Command::Op::stop);
      EXPECT_EQ(command.task.job, cancelled_job);
      EXPECT_EQ(command.grace_s, 0);
    }
  };
  expect_both_tasks_stopped(direct[0].commands);
  expect_both_tasks_stopped(shard.scheduler->stop_commands("m-1"));
  shard.scheduler->direct_commands_done(direct[0], 0);
  EXPECT_TRUE(shard.scheduler->direct_commands(true, skip_none, 15)
                  .empty());  // sent directly only once; responses repeat it
  expect_both_tasks_stopped(shard.heartbeat("m-1", 16, running));
}

// If a machine lists an attempt as running after it has listed it as exited, the attempt is
// stopped.
TEST(ShardScheduler, AnAttemptThatRunsAfterItsEndIsStopped) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.submit(make_job(1, 1, 1));
  auto starts = shard.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 1u);
  const auto& start = starts[0];
  shard.heartbeat("m-1", 2,
                  {{start.task, start.attempt, wire::TaskState::exited, wire::ExitReason::done}});
  bool stopped = false;
  for (const auto& command : shard.heartbeat(
           "m-1", 3,
           {{start.task, start.attempt, wire::TaskState::running, wire::ExitReason::none}}))
    stopped |= command.op == wire::Command::Op::stop && command.attempt == start.attempt;
  EXPECT_TRUE(stopped);
}

// A direct start without a response may still be carried out later. Its attempt is therefore not
// acknowledged before the worker has seen a higher token.
TEST(ShardScheduler, AnUnacknowledgedAttemptIsReleasedOnlyUnderAHigherToken) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  auto direct = shard.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  auto start = direct[0].commands.at(0);
  shard.scheduler->direct_commands_done(direct[0], 0);
  std::vector<wire::TaskStatus> failed = {
      {start.task, start.attempt, wire::TaskState::exited, wire::ExitReason::error}};
  for (const auto& command : shard.heartbeat("m-1", 3, failed))
    EXPECT_NE(command.op, wire::Command::Op::acknowledge);
  EXPECT_TRUE(shard.scheduler->needs_new_token(30));
  shard.advance_token(30);
  bool acknowledged = false;
  for (const auto& command : shard.heartbeat("m-1", 31, failed))
    acknowledged |= command.op == wire::Command::Op::acknowledge;
  EXPECT_TRUE(acknowledged);
}

bool acknowledges(const std::vector<wire::Command>& commands, std::uint64_t attempt) {
  return std::any_of(commands.begin(), commands.end(), [&](const wire::Command& command) {
    return command.op == wire::Command::Op::acknowledge && command.attempt == attempt;
  });
}

TEST(ShardScheduler, AnAttemptThatRunsAfterItsAcknowledgementIsCountedOnce) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.submit(make_job(1, 1, 1));
  const auto starts = shard.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 1u);
  const std::vector<wire::TaskStatus> running = {
      {starts[0].task, starts[0].attempt, wire::TaskState::running, wire::ExitReason::none}};
  const std::vector<wire::TaskStatus> failed = {
      {starts[0].task, starts[0].attempt, wire::TaskState::exited, wire::ExitReason::error}};
  shard.heartbeat("m-1", 2, running);
  ASSERT_TRUE(acknowledges(shard.heartbeat("m-1", 3, failed), starts[0].attempt));
  shard.heartbeat("m-1", 4);
  EXPECT_EQ(shard.scheduler->counters().unexpected, 0u);
  shard.heartbeat("m-1", 5, running);
  shard.heartbeat("m-1", 6, running);
  EXPECT_EQ(shard.scheduler->counters().unexpected, 1u);
  const auto unexpected = shard.scheduler->take_unexpected();
  ASSERT_EQ(unexpected.size(), 1u);
  EXPECT_EQ(unexpected[0].machine, "m-1");
  EXPECT_EQ(unexpected[0].status.attempt, starts[0].attempt);
}

TEST(ShardScheduler, AnUnexpectedAttemptInAnOldHeartbeatIsCountedOnlyIfALaterOneListsItToo) {
  for (const bool is_listed_again : {false, true}) {
    SingleShard shard;
    shard.add_machine("m-1");
    const std::vector<wire::TaskStatus> running = {
        {{"run-100009", 0}, 7, wire::TaskState::running, wire::ExitReason::none}};
    const std::uint64_t earlier_token = shard.scheduler->token() - 1;
    shard.scheduler->take_heartbeat(shard.next_heartbeat("m-1", earlier_token, running), 1);
    EXPECT_EQ(shard.scheduler->counters().unexpected, 0u);
    std::vector<wire::TaskStatus> stopped = {
        {{"run-100009", 0}, 7, wire::TaskState::exited, wire::ExitReason::stopped}};
    if (!is_listed_again) stopped.clear();
    shard.heartbeat("m-1", 2, stopped);
    shard.heartbeat("m-1", 3, stopped);
    EXPECT_EQ(shard.scheduler->counters().unexpected, is_listed_again ? 1u : 0u);
  }
}

// A copy of a direct start may arrive after its answer, and starts an attempt that the worker has
// removed under the same token.
TEST(ShardScheduler, AnAnsweredDirectStartIsAcknowledgedOnlyUnderAHigherToken) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  const auto direct = shard.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  const wire::Command start = direct[0].commands.at(0);
  shard.scheduler->direct_commands_done(direct[0], 200);
  const std::vector<wire::TaskStatus> failed = {
      {start.task, start.attempt, wire::TaskState::exited, wire::ExitReason::error}};
  EXPECT_FALSE(acknowledges(shard.heartbeat("m-1", 3, failed), start.attempt));
  EXPECT_EQ(shard.scheduler->command_token("m-1"), direct[0].token);
  EXPECT_TRUE(shard.scheduler->needs_new_token(3));
  shard.advance_token(3);
  EXPECT_TRUE(acknowledges(shard.heartbeat("m-1", 4, failed), start.attempt));
  EXPECT_GT(shard.scheduler->command_token("m-1"), direct[0].token);
}

// A worker sends an additional heartbeat for each higher token that it sees.
TEST(ShardScheduler, AMachineThatNeedsNoHigherTokenKeepsItsToken) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  const std::uint64_t first_token = shard.scheduler->token();
  const auto direct = shard.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  const wire::Command start = direct[0].commands.at(0);
  shard.scheduler->direct_commands_done(direct[0], 200);
  const std::vector<wire::TaskStatus> running = {
      {start.task, start.attempt, wire::TaskState::running, wire::ExitReason::none}};
  shard.advance_token(3);
  shard.heartbeat("m-1", 4, running);
  EXPECT_EQ(shard.scheduler->command_token("m-1"), first_token);
  EXPECT_FALSE(shard.scheduler->needs_new_token(1000));
  const std::vector<wire::TaskStatus> stopped = {
      {start.task, start.attempt, wire::TaskState::exited, wire::ExitReason::error}};
  EXPECT_TRUE(acknowledges(shard.heartbeat("m-1", 5, stopped), start.attempt));
  EXPECT_EQ(shard.scheduler->command_token("m-1"), shard.scheduler->token());
}

TEST(ShardScheduler, AnUnlistedAttemptIsAcknowledgedOnlyUnderATokenAboveEveryDirectStart) {
  SingleShard shard;
  shard.add_machine("m-1");
  const std::vector<wire::TaskStatus> unlisted = {
      {{"run-100009", 0}, 7, wire::TaskState::exited, wire::ExitReason::error}};
  // The worker has seen a token of this leader before: it may list one of the leader's attempts.
  EXPECT_FALSE(acknowledges(shard.heartbeat("m-1", 1, unlisted), 7));
  EXPECT_TRUE(shard.scheduler->needs_new_token(1));
  shard.advance_token(1);
  EXPECT_TRUE(acknowledges(shard.heartbeat("m-1", 2, unlisted), 7));
  // A direct start under the newer token might be of this attempt too.
  ASSERT_EQ(shard.start_directly(1, 3).size(), 1u);
  EXPECT_FALSE(acknowledges(shard.heartbeat("m-1", 4, unlisted), 7));
}

// Each attempt that waits lengthens its machine's heartbeats, whose size is limited.
TEST(ShardScheduler, ManyAttemptsOnOneMachineDoNotWaitForTheirAcknowledgement) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  ASSERT_EQ(shard.start_directly(1, 2).size(), 1u);
  std::vector<wire::TaskStatus> unlisted;
  for (std::uint64_t attempt = 1; attempt <= 64; ++attempt)
    unlisted.push_back(
        {{"run-100009", 0}, attempt, wire::TaskState::exited, wire::ExitReason::error});
  shard.heartbeat("m-1", 3, unlisted);
  shard.scheduler->advance_token(shard.scheduler->token(), 3);
  EXPECT_FALSE(shard.scheduler->needs_new_token(32));
  EXPECT_TRUE(shard.scheduler->needs_new_token(33));
  unlisted.push_back({{"run-100009", 0}, 65, wire::TaskState::exited, wire::ExitReason::error});
  shard.heartbeat("m-1", 4, unlisted);
  EXPECT_TRUE(shard.scheduler->needs_new_token(4.1));
}

// A start command of an earlier leader may still be in flight to a worker that has not seen the
// current token. Until it has, a heartbeat that does not list the task proves nothing: if the
// placement were given up, the task could run twice.
TEST(ShardScheduler, AnEarlierLeadersPlacementIsGivenUpOnlyUnderTheCurrentToken) {
  SingleShard shard;
  auto job = make_job(1, 1, 1);
  shard.add_machine("m-1");
  shard.add_machine("m-2");
  shard.submit(job);
  shard.scheduler->recover_page(0, {"t", {{job.spec.id, 0, 1, 0, 1, {{"m-1", 0, 5}}, {}}}}, 0);
  shard.heartbeat("m-2", 1);
  const std::uint64_t earlier_token = shard.scheduler->token() - 1;
  shard.scheduler->take_heartbeat(shard.next_heartbeat("m-1", earlier_token), 2);
  shard.schedule_and_commit(2);
  EXPECT_TRUE(shard.heartbeat("m-2", 3).empty());
  EXPECT_TRUE(shard.scheduler->commands_for("m-1", true, 3).empty());
  std::size_t starts = shard.heartbeat("m-1", 4).size() + shard.heartbeat("m-2", 5).size();
  EXPECT_EQ(starts, 1u);
}

// A machine is transferred to another shard only if it has no placements.
TEST(ShardScheduler, OnlyAnEmptyMachineIsTransferred) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.add_machine("m-2");
  shard.submit(make_job(1, 1, 1));
  shard.heartbeat("m-1", 1);
  shard.heartbeat("m-2", 1);
  shard.scheduler->transfer({5, 1, {1, 1}});
  auto changes = shard.scheduler->inventory_changes();
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].kind, scheduler::InventoryChange::transfer);
  EXPECT_EQ(changes[0].machine.shard, 5);
  std::set<std::string> busy_machines;
  for (const auto& [number, page] : shard.cache.placement_pages(0))
    for (const auto& job : page.jobs)
      for (const auto& placement : job.placements) busy_machines.insert(placement.machine);
  EXPECT_EQ(busy_machines.size(), 1u);
  EXPECT_FALSE(busy_machines.contains(changes[0].machine.name));
  shard.scheduler->machine_moved(changes[0].machine.name, 2);
  EXPECT_EQ(shard.scheduler->machine_count(), 1u);
}

// A request to transfer a machine waited while its scheduler was replaced by one under another
// token. When the request was executed, the new scheduler had tasks on the machine. The scheduler
// is therefore asked for the transfer target again before the execution.
TEST(ShardScheduler, ATransferRequestOutlivesItsSchedulerButIsNotExecuted) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  shard.scheduler->transfer({5, 1, {1, 1}});
  EXPECT_EQ(shard.scheduler->inventory_changes().size(), 1u);
  EXPECT_EQ(shard.scheduler->transfer_target("m-1"), 5);
  EXPECT_EQ(shard.scheduler->transfer_target("m-2"), -1);
  // A change that the inventory has been asked for already is not returned again.
  EXPECT_TRUE(shard.scheduler
                  ->inventory_changes([](const std::string& name,
                                         scheduler::InventoryChange::Kind kind, int target) {
                    return name == "m-1" && kind == scheduler::InventoryChange::transfer &&
                           target == 5;
                  })
                  .empty());
  shard.scheduler = std::make_unique<scheduler::ShardScheduler>(
      shard.settings, shard.tuning, shard.catalogue, 0, shard.scheduler->token(), 2, 8);
  shard.scheduler->machine_known(*shard.cache.machine("m-1"), 2);
  EXPECT_EQ(shard.scheduler->transfer_target("m-1"), -1);
  shard.submit(make_job(1, 1, 1));
  shard.heartbeat("m-1", 2);
  shard.scheduler->transfer({5, 1, {1, 1}});  // marked for transfer, but not empty
  EXPECT_EQ(shard.scheduler->transfer_target("m-1"), -1);
}

// Machines with replicas were marked for transfer to another shard. They got no new tasks and
// stayed half empty for minutes; in the guimaraes-montagem deployment this affected 4,000 vcpus.
// Marks also remained when the other shard no longer lacked machines.
TEST(ShardScheduler, AMachineWithAReplicaIsNotMarkedForTransferAndAnUnneededMarkIsRemoved) {
  SingleShard shard;
  shard.add_machine("m-1");
  auto service = make_job(1, 1, 1);
  service.spec.service = true;
  shard.submit(service);
  shard.heartbeat("m-1", 1);
  shard.schedule_and_commit(1);
  shard.add_machine("m-2");
  shard.heartbeat("m-2", 2);
  auto large_job = make_job(2, 1, 4);
  shard.submit(large_job);
  shard.schedule_and_commit(2);
  shard.scheduler->transfer({5, 2, {1, 1}});
  EXPECT_EQ(shard.scheduler->transferring(), 1);  // only m-2, once its task has ended
  // Until then it counts as capacity of this shard: otherwise all other leaders would see one
  // machine less than there is.
  EXPECT_EQ(shard.scheduler->load(2).capacity, 2);
  shard.scheduler->transfer({5, 0, {1, 1}});
  EXPECT_EQ(shard.scheduler->transferring(), 0);
  EXPECT_EQ(shard.scheduler->load(2).capacity, 2);
  // Machines that no task of the other shard could use are not transferred.
  shard.add_machine("m-3");
  shard.heartbeat("m-3", 3);
  shard.scheduler->transfer({5, 1, {0, 0}});
  EXPECT_EQ(shard.scheduler->transferring(), 0);
  // The transfer of an empty machine may have begun already: its mark is not removed.
  shard.scheduler->transfer({5, 1, {1, 1}});
  EXPECT_EQ(shard.scheduler->transfer_target("m-3"), 5);
  shard.scheduler->transfer({5, 0, {1, 1}});
  EXPECT_EQ(shard.scheduler->transfer_target("m-3"), 5);
  EXPECT_EQ(shard.scheduler->load(3).capacity, 3);
  shard.scheduler->machine_moved("m-3", 4);
  EXPECT_EQ(shard.scheduler->load(4).capacity, 2);
  EXPECT_EQ(shard.scheduler->transferring(), 0);
}

// Transfers were counted in machines, so eight machines of the largest type were transferred where
// two would have been enough.
TEST(ShardScheduler, TransfersAreCountedByVcpusNotByMachines) {
  SingleShard shard;
  shard.catalogue.load(
      {{"t4", 4, 0, 16, 0.4, 0.1, 10, {"a", "b"}}, {"t16", 16, 0, 64, 1.6, 0.4, 10, {"a"}}},
      shard.settings);
  std::uint64_t sequence = 0;
  for (int number = 1; number <= 4; ++number) {
    const std::string name = "m-" + std::to_string(number), type = number == 2 ? "t4" : "t16";
    wire::MachineRecord record{name, type, "a", false, 0, 0};
    shard.store.commit(inventory_transaction(shard.cache, {record}));
    shard.read_store();
    shard.scheduler->machine_known(record, 0);
    wire::Heartbeat heartbeat;
    heartbeat.machine = name;
    heartbeat.addr = "10.0.0.1:1";
    heartbeat.type = type;
    heartbeat.zone = "a";
    heartbeat.incarnation = 1;
    heartbeat.sequence = ++sequence;
    heartbeat.token = shard.scheduler->token();
    shard.scheduler->take_heartbeat(heartbeat, 1);
  }
  EXPECT_EQ(shard.scheduler->load(1).capacity, 13);
  shard.scheduler->transfer({5, 3, {1, 1, 1, 1}});
  EXPECT_EQ(shard.scheduler->transferring(), 1);
  shard.scheduler->transfer({5, 9, {1, 1, 1, 1}});
  EXPECT_EQ(shard.scheduler->transferring(), 9);
}

// A large deployment starts far more tasks per second than the state service accepts changes. One
// change must record the starts of many machines, and a placement page must stay within the limit
// of a value.
TEST(ShardScheduler, ManyStartsShareATransactionAndPagesStayWithinTheLimit) {
  SingleShard shard;
  std::vector<wire::MachineRecord> machines;
  for (int number = 0; number < 200; ++number)
    machines.push_back({"m-" + std::to_string(100000 + number), "t4", "a", false, 0, 0});
  shard.settings.teams[0].cpus_max = 1e6;
  shard.store.commit(inventory_transaction(shard.cache, machines));
  shard.read_store();
  for (const auto& machine : machines) {
    shard.scheduler->machine_known(machine, 0);
    wire::Heartbeat heartbeat{machine.name,
                              "10.0.0.1:1",
                              "t4",
                              "a",
                              false,
                              1,
                              ++shard.sequence,
                              shard.scheduler->token(),
                              {},
                              {}};
    shard.scheduler->take_heartbeat(heartbeat, 1);
  }
  shard.submit(make_job(1, 3000, 1));
  std::uint64_t revision_before = shard.store.revision;
  shard.scheduler->run_scheduling_pass(1);
  shard.scheduler->run_scheduling_pass(1);
  shard.scheduler->run_scheduling_pass(1);
  std::size_t op_count = 0;
  while (auto transaction =
             shard.scheduler->next_transaction(shard.cache, state::TransactionLimits{}, "t", 1)) {
    op_count += transaction->ops.size();
    EXPECT_LE(transaction->ops.size(),
              static_cast<std::size_t>(shard.settings.state_limits.txn_ops));
    EXPECT_LE(transaction->preconditions.size(),
              static_cast<std::size_t>(shard.settings.state_limits.txn_ops) * 4);
    for (const auto& op : transaction->ops) EXPECT_LE(op.value->size(), 4096u);
    ASSERT_TRUE(shard.store.commit(*transaction));
    shard.read_store();
    shard.scheduler->transaction_applied(1);
  }
  EXPECT_GT(shard.store.revision, revision_before);
  EXPECT_LE(op_count, 12u);
  std::size_t placed = 0;
  for (const auto& [number, page] : shard.cache.placement_pages(0))
    for (const auto& job : page.jobs) placed += job.placements.size();
  EXPECT_EQ(placed, 800u);
}

// After minutes of operation every placement page has many obsolete entries. When those were
// removed only from pages that were written, thousands of starts waited for the few pages that
// seemed empty.
TEST(ShardScheduler, FinishedJobsTakeNoSpaceInPages) {
  SingleShard shard;
  shard.settings.teams[0].cpus_max = 1e6;
  std::vector<wire::MachineRecord> machines;
  for (int number = 0; number < 100; ++number)
    machines.push_back({"m-" + std::to_string(100000 + number), "t4", "a", false, 0, 0});
  shard.store.commit(inventory_transaction(shard.cache, machines));
  shard.read_store();
  for (const auto& machine : machines) shard.scheduler->machine_known(machine, 0);
  std::map<std::string, std::vector<wire::TaskStatus>> tasks_by_machine;
  double now = 1;
  std::size_t max_page_writes = 0;
  for (int round = 0; round < 40; ++round, now += 4) {
    shard.submit(make_job(round, 400, 1));
    for (const auto& machine : machines) {
      auto& tasks = tasks_by_machine[machine.name];
      for (auto& status : tasks)  // one task in forty keeps running
        if (status.task.index % 40 || status.attempt % 23 == 0)
          status.state = wire::TaskState::exited, status.exit_reason = wire::ExitReason::done;
      wire::Heartbeat heartbeat{machine.name,
                                "10.0.0.1:1",
                                "t4",
                                "a",
                                false,
                                1,
                                ++shard.sequence,
                                shard.scheduler->token(),
                                {},
                                tasks};
      shard.scheduler->take_heartbeat(heartbeat, now);
    }
    shard.scheduler->run_scheduling_pass(now);
    std::size_t page_writes = 0;
    while (auto transaction = shard.scheduler->next_transaction(
               shard.cache, state::TransactionLimits{}, "t", now)) {
      for (const auto& op : transaction->ops) page_writes += op.key.starts_with("st/a/");
      ASSERT_TRUE(shard.store.commit(*transaction));
      std::vector<state::Change> changes;
      shard.store.read(shard.cache, changes);
      shard.scheduler->transaction_applied(now);
    }
    max_page_writes = std::max(max_page_writes, page_writes);
    for (const auto& machine : machines) {
      ASSERT_FALSE(shard.scheduler->awaits_commit(machine.name)) << "round " << round;
      std::erase_if(tasks_by_machine[machine.name],
                    [](const auto& status) { return status.state == wire::TaskState::exited; });
      for (const auto& command : shard.scheduler->commands_for(machine.name, true, now))
        if (command.op == wire::Command::Op::start)
          tasks_by_machine[machine.name].push_back(
              {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
    }
  }
  EXPECT_LE(max_page_writes, 6u);
}

// Freed capacity was given to idle-priority tasks in the machine's own queue while urgent tasks
// waited in the queues of other, full machines. In a full cluster of hundreds of machines they
// waited for minutes.
TEST(ShardScheduler, FreedCapacityGoesFirstToUrgentTasksThatWaitForOtherMachines) {
  SingleShard shard;
  shard.settings.teams[0].cpus_max = 1e6;
  auto running_status = [](const wire::Command& command) {
    return wire::TaskStatus{command.task, command.attempt, wire::TaskState::running,
                            wire::ExitReason::none};
  };
  std::map<std::string, std::vector<wire::TaskStatus>> tasks_by_machine;
  for (std::string name : {"m-1", "m-2"}) {
    shard.add_machine(name);
    shard.heartbeat(name, 1);
  }
  auto low = make_job(1, 30, 1);
  low.spec.priority = wire::Priority::idle;
  shard.submit(low);
  for (std::string name : {"m-1", "m-2"}) {
    for (const auto& command : shard.heartbeat(name, 2))
      tasks_by_machine[name].push_back(running_status(command));
    ASSERT_EQ(tasks_by_machine[name].size(), 4u);
    shard.heartbeat(name, 3, tasks_by_machine[name]);
  }
  for (const auto& request : shard.scheduler->scale_out_requests(3))
    shard.scheduler->rent_refused(request, 0, true, 3);
  shard.scheduler->run_scheduling_pass(3);
  auto urgent = make_job(2, 4, 1);
  urgent.spec.priority = wire::Priority::high;
  shard.submit(urgent);
  shard.scheduler->run_scheduling_pass(20);
  // Whichever queue the urgent tasks wait in, freed capacity on either machine is given to them.
  std::size_t started = 0;
  for (std::string name : {"m-1", "m-2"}) {
    tasks_by_machine[name][0].state = tasks_by_machine[name][1].state = wire::TaskState::exited;
    tasks_by_machine[name][0].exit_reason = tasks_by_machine[name][1].exit_reason =
        wire::ExitReason::done;
    for (const auto& command : shard.heartbeat(name, 21, tasks_by_machine[name]))
      if (command.op == wire::Command::Op::start) {
        EXPECT_EQ(command.task.job, urgent.spec.id);
        ++started;
      }
  }
  EXPECT_EQ(started, 4u);
}

// Tasks within their team's guarantee waited behind tasks of another team that used machines beyond
// its own guarantee.
TEST(ShardScheduler, WorkWithinAGuaranteePreemptsTasksBeyondOne) {
  SingleShard shard;
  shard.settings.teams = {{"red", 1, 100, 0, 0}, {"blue", 4, 100, 0, 0}};
  shard.scheduler = std::make_unique<scheduler::ShardScheduler>(
      shard.settings, shard.tuning, shard.catalogue, 0, shard.cache.leader(0).mod_revision, 0, 7);
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  shard.submit(make_job(1, 12, 1));  // of team red, far beyond its guarantee
  auto starts = shard.heartbeat("m-1", 2);
  ASSERT_EQ(starts.size(), 4u);
  std::vector<wire::TaskStatus> tasks;
  for (const auto& command : starts)
    tasks.push_back(
        {command.task, command.attempt, wire::TaskState::running, wire::ExitReason::none});
  shard.heartbeat("m-1", 3, tasks);
  auto blue = make_job(2, 2, 1);
  blue.spec.team = "blue";
  blue.spec.priority = wire::Priority::idle;
  wire::Transaction transaction;
  transaction.ops.push_back({state::job_key(blue.spec.id), wire::encode_record(blue), 0});
  shard.store.commit(transaction);
  shard.read_store();
  shard.scheduler->job_added(blue, 1, {}, 3, 3);
  // No machine can be rented, so the tasks wait for the only one. Tasks there that have only just
  // started are stopped.
  shard.scheduler->run_scheduling_pass(3);
  for (const auto& request : shard.scheduler->scale_out_requests(3))
    shard.scheduler->rent_refused(request, 0, true, 3);
  shard.scheduler->run_scheduling_pass(3);
  std::size_t stops = 0;
  for (const auto& command : shard.heartbeat("m-1", 4, tasks))
    stops += command.op == wire::Command::Op::stop;
  EXPECT_EQ(stops, 2u);
  tasks[0].state = tasks[1].state = wire::TaskState::exited;
  tasks[0].exit_reason = tasks[1].exit_reason = wire::ExitReason::stopped;
  for (const auto& command : shard.heartbeat("m-1", 5, tasks))
    if (command.op == wire::Command::Op::start) {
      EXPECT_EQ(command.task.job, blue.spec.id);
    }
}

// A machine that was to be transferred to another shard kept placements whose starts were never
// sent. It never became empty, and the tasks never ran.
TEST(ShardScheduler, ALeavingMachineReleasesTasksWhoseStartWasNotSent) {
  SingleShard shard;
  shard.add_machine("m-1");
  shard.heartbeat("m-1", 1);
  shard.submit(make_job(1, 2, 1));
  shard.schedule_and_commit(2);
  shard.scheduler->transfer({1, 1, {1, 1}});
  EXPECT_TRUE(shard.heartbeat("m-1", 3).empty());
  auto changes = shard.scheduler->inventory_changes();
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes[0].kind, scheduler::InventoryChange::transfer);
  shard.add_machine("m-2");
  EXPECT_EQ(shard.heartbeat("m-2", 4).size(), 2u);
}

// Nothing may be placed on a machine that the inventory does not contain: a new leader would not
// know of the machine.
TEST(ShardScheduler, NothingIsPlacedOnAMachineBeforeTheInventoryContainsIt) {
  SingleShard shard;
  shard.submit(make_job(1, 1, 1));
  shard.scheduler->run_scheduling_pass(1);
  auto requests = shard.scheduler->scale_out_requests(1);
  ASSERT_EQ(requests.size(), 1u);
  shard.scheduler->rented(requests[0], {"m-7"}, 1);
  EXPECT_TRUE(shard.heartbeat("m-7", 2).empty());
  EXPECT_TRUE(shard.cache.placement_pages(0).empty());
  auto changes = shard.scheduler->inventory_changes();
  ASSERT_EQ(changes.size(), 1u);
  shard.scheduler->machine_known(changes[0].machine, 3);
  EXPECT_EQ(shard.heartbeat("m-7", 4).size(), 1u);
}

// Short checks and urgent jobs waited a second or two for an image to be fetched, although other
// machines with free capacity had it. The learners record the cost of whole runs, in which such a
// wait hardly shows.
TEST(ShardScheduler, AFreeMachineThatHasTheImageIsPreferredToOneThatWouldFetchIt) {
  SingleShard shard;
  shard.settings.teams[0].cpus_max = 100;
  for (int number = 0; number < 6; ++number) shard.add_machine("m-" + std::to_string(number));
  for (int number = 0; number < 6; ++number) shard.heartbeat("m-" + std::to_string(number), 1);
  // Tasks with another image fill five of the six machines, so that the next task fetches its image
  // on the remaining one.
  auto filler = make_job(1, 5, 4);
  filler.spec.image = "other";
  shard.submit(filler);
  std::map<std::string, std::vector<wire::Command>> commands_by_machine;
  for (int number = 0; number < 6; ++number)
    commands_by_machine["m-" + std::to_string(number)] =
        shard.heartbeat("m-" + std::to_string(number), 2);
  shard.submit(make_job(2, 1, 1));
  std::string warm_machine;
  for (auto& [name, commands] : commands_by_machine)
    if (commands.empty()) warm_machine = name;
  ASSERT_FALSE(warm_machine.empty());
  auto starts = shard.heartbeat(warm_machine, 3);
  ASSERT_EQ(starts.size(), 1u);
  shard.heartbeat(
      warm_machine, 4,
      {{starts[0].task, starts[0].attempt, wire::TaskState::running, wire::ExitReason::none}});
  for (const auto& [name, commands] : commands_by_machine)
    if (!commands.empty())
      shard.heartbeat(name, 5,
                      {{commands[0].task, commands[0].attempt, wire::TaskState::exited,
                        wire::ExitReason::done}});
  for (int number = 3; number < 6; ++number) {
    auto job = make_job(number, 1, 1);
    job.spec.priority = wire::Priority::high;
    shard.submit(job);
  }
  shard.schedule_and_commit(6);
  std::size_t placed_on_warm_machine = 0;
  for (const auto& [number, page] : shard.cache.placement_pages(0))
    for (const auto& job : page.jobs)
      for (const auto& placement : job.placements)
        placed_on_warm_machine += placement.machine == warm_machine;
  EXPECT_EQ(placed_on_warm_machine, 4u);
}

}  // namespace
}  // namespace shunttrail::test

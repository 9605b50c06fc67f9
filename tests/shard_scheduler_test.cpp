// The scheduler on small cases: each preconditions against a failure that was seen.
#include <gtest/gtest.h>

#include "emulators.h"

namespace shunttrail::test {
namespace {

/// One scheduler, which leads shard 0, with its state service.
struct OneScheduler {
  config::Settings settings = make_settings(1);
  config::Tuning tuning;
  scheduler::MachineCatalogue catalogue = make_catalogue(settings);
  Store store;
  state::StateCache cache{settings};
  std::unique_ptr<scheduler::ShardScheduler> scheduler;
  std::uint64_t sequence = 0;  // of the last heartbeat
  std::vector<wire::Transaction> committed;

  OneScheduler() {
    wire::Transaction own;
    own.ops.push_back(
        {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "x"}), 0});
    store.commit(own);
    read();
    scheduler = std::make_unique<scheduler::ShardScheduler>(settings, tuning, catalogue, 0,
                                                            cache.leader(0).mod_revision, 0, 7);
  }
  /// Submits a job of one task, which is placed and is due to be sent to its machine directly.
  std::vector<scheduler::DirectCommands> start_directly(int number, double now) {
    job(make_job(number, 1, 1));
    scheduler->tick(now);
    commit(now);
    const auto skip_none = [](const std::string&) { return false; };
    return scheduler->direct_commands(true, skip_none, now);
  }
  void read() {
    std::vector<state::Change> ch;
    store.read(cache, ch);
  }
  void machine(const std::string& name) {
    wire::MachineRecord r{name, "t4", "a", false, 0, 0};
    store.commit(inventory_transaction(cache, {r}));
    read();
    scheduler->machine_known(r, 0);
  }
  void job(const wire::JobRecord& r) {
    wire::Transaction txn;
    txn.ops.push_back({state::job_key(r.spec.id), wire::encode_record(r), 0});
    store.commit(txn);
    read();
    scheduler->job_added(r, 0, {}, 0, 0);
  }
  void commit(double now) {
    scheduler->run_scheduling_pass(now);
    while (auto txn = scheduler->next_transaction(cache, state::TransactionLimits{}, "t", now)) {
      bool ok = store.commit(*txn).has_value();
      if (ok) committed.push_back(*txn);
      read();
      ok ? scheduler->transaction_applied(now) : scheduler->transaction_failed(now);
      if (!ok) return;
    }
  }
  std::vector<wire::Command> heartbeat(const std::string& name, double now,
                                       std::vector<wire::TaskStatus> tasks = {},
                                       std::uint64_t session = 1) {
    wire::Heartbeat r;
    r.machine = name;
    r.addr = "10.0.0.1:1";
    r.type = "t4";
    r.zone = "a";
    r.incarnation = session;
    r.sequence = ++sequence;
    r.token = scheduler->token();
    r.tasks = std::move(tasks);
    scheduler->take_heartbeat(r, now);
    commit(now);
    return scheduler->commands_for(name, true, now);
  }
};

// A gang whose tasks carried attempts of their own gathered for ever: workers match mates by it.
TEST(ShardScheduler, AGangSharesItsAttemptAndChangesItTogether) {
  OneScheduler d;
  d.machine("m-1");
  auto r = make_job(1, 3, 1);
  r.spec.gang = true;
  d.job(r);
  auto first = d.heartbeat("m-1", 1);
  ASSERT_EQ(first.size(), 3u);
  for (const auto& c : first) EXPECT_EQ(c.attempt, first[0].attempt);
  std::vector<wire::TaskStatus> gone;
  for (const auto& c : first)
    gone.push_back({c.task, c.attempt, wire::TaskState::exited, wire::ExitReason::stopped});
  d.heartbeat("m-1", 2, gone);
  auto second = d.heartbeat("m-1", 3);
  std::set<std::uint64_t> attempts;
  for (const auto& c : second)
    if (c.op == wire::Command::Op::start) attempts.insert(c.attempt);
  ASSERT_EQ(attempts.size(), 1u);
  EXPECT_NE(*attempts.begin(), first[0].attempt);
}

// Idle room stood beside waiting tasks: a task must take it, whatever the learners say.
TEST(ShardScheduler, ATaskNeitherWaitsNorRentsWhileAMachineHasRoom) {
  OneScheduler d;
  d.machine("m-1");
  d.machine("m-2");
  d.heartbeat("m-1", 1);
  d.heartbeat("m-2", 1);
  for (int i = 0; i < 4; ++i) d.job(make_job(i, 2, 1));
  d.scheduler->run_scheduling_pass(2);
  EXPECT_TRUE(d.scheduler->scale_out_requests(2).empty());
  std::size_t starts = d.heartbeat("m-1", 3).size() + d.heartbeat("m-2", 3).size();
  EXPECT_EQ(starts, 8u);
}

// A result that was reaped before it was persisted would be run again after a crash.
TEST(ShardScheduler, AResultIsAcknowledgedOnlyOnceItIsPersisted) {
  OneScheduler d;
  d.machine("m-1");
  d.job(make_job(1, 2, 1));
  auto starts = d.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 2u);
  wire::Heartbeat r;
  r.machine = "m-1";
  r.type = "t4";
  r.zone = "a";
  r.incarnation = 1;
  r.sequence = ++d.sequence;
  r.token = d.scheduler->token();
  r.tasks = {{starts[0].task, starts[0].attempt, wire::TaskState::exited, wire::ExitReason::done},
             {starts[1].task, starts[1].attempt, wire::TaskState::running, wire::ExitReason::none}};
  d.scheduler->take_heartbeat(r, 2);
  EXPECT_TRUE(d.scheduler->commands_for("m-1", true, 2).empty());
  d.commit(2);
  EXPECT_TRUE(
      d.scheduler->commands_for("m-1", true, 2).empty());  // waits a little for starts to go with
  d.commit(6);
  auto after = d.scheduler->commands_for("m-1", true, 6);
  ASSERT_EQ(after.size(), 1u);
  EXPECT_EQ(after[0].op, wire::Command::Op::acknowledge);
}

// A chunk's results move to another placement page as they grow, and an older copy stays behind. An
// owner that took the older copy for the one that counts dropped the newer one with the next change
// of its placement page: after one more takeover, finished tasks that had been reaped ran again.
TEST(ShardScheduler, FinishedTasksStayRecordedWhicheverPageHoldsTheNewestCopy) {
  for (int newest : {3, 5}) {
    SCOPED_TRACE(newest);
    OneScheduler d;
    const int older = 8 - newest;
    auto r = make_job(1, 4, 1);
    // Every other placement page holds more, so that these two are written first.
    std::vector<wire::JobRecord> fillers;
    for (int i = 0; i < 6; ++i) fillers.push_back(make_job(10 + i, 100000, 1));
    wire::Transaction txn;
    for (const auto& j : fillers)
      txn.ops.push_back({state::job_key(j.spec.id), wire::encode_record(j), 0});
    txn.ops.push_back({state::job_key(r.spec.id), wire::encode_record(r), 0});
    auto put = [&](int page, std::vector<wire::JobPlacements> jobs) {
      txn.ops.push_back({state::placement_page_key(0, page),
                         wire::encode_record(wire::PlacementPageRecord{"0", std::move(jobs)},
                                             [](int) { return std::string("red"); }),
                         0});
    };
    auto of = [](const wire::JobRecord& j, std::uint32_t chunk, wire::Intervals done) {
      wire::JobPlacements g{j.spec.id, 0, 1, 0, 1, {}, {}};
      g.done.emplace_back(chunk, std::move(done));
      return g;
    };
    for (int page = 0; page < 256; ++page) {
      if (page == newest) put(page, {of(r, 0, {{0, 2}})});
      if (page == older) put(page, {of(r, 0, {{0, 0}})});
      if (page == newest || page == older) continue;
      const std::uint32_t chunk = static_cast<std::uint32_t>(page % 128);
      const std::size_t first = page < 128 ? 0 : 3;
      put(page, {of(fillers[first], chunk, {{0, 0}}), of(fillers[first + 1], chunk, {{0, 0}}),
                 of(fillers[first + 2], chunk, {{0, 0}})});
    }
    d.store.commit(txn);
    // The takeover.
    d.read();
    d.machine("m-1");
    for (const auto& [id, j] : d.cache.jobs())
      if (id == r.spec.id) d.scheduler->job_added(j.record, 0, d.cache.done(id), 0, 0);
    for (const auto& j : fillers) d.scheduler->job_added(j, 0, d.cache.done(j.spec.id), 0, 0);
    for (const auto& [n, page] : d.cache.placement_pages(0)) d.scheduler->recover_page(n, page, 0);
    // Whatever starts next is written into the emptiest placement pages.
    for (int i = 0; i < 4; ++i) d.heartbeat("m-1", 1 + i);
    std::set<std::uint32_t> done;
    for (const auto& [chunk, list] : d.cache.done(r.spec.id))
      for (auto [a, b] : list)
        for (std::uint32_t t = a; t <= b; ++t) done.insert(t);
    EXPECT_EQ(done, (std::set<std::uint32_t>{0, 1, 2}));
    EXPECT_NE(d.cache.placement_pages(0).at(newest).tag + d.cache.placement_pages(0).at(older).tag,
              "00");
  }
}

// The cloud had none; nothing else happened in the shard, which had no machine: it never asked
// again.
TEST(ShardScheduler, WorkIsRetriedAfterARefusalWithoutFurtherEvents) {
  OneScheduler d;
  d.job(make_job(1, 2, 1));
  double asked = -1;  // last
  for (double now = 0; now < 60; now += 0.2) {
    d.scheduler->tick(now);
    if (d.scheduler->scheduling_due()) d.scheduler->run_scheduling_pass(now);
    for (const auto& w : d.scheduler->scale_out_requests(now)) {
      asked = now;
      d.scheduler->rent_refused(w, 0, true, now);
    }
  }
  EXPECT_GT(asked, 40);
}

// A task was accepted by a machine full of replicas while the cloud had none, and stood there for
// good.
TEST(ShardScheduler, ATaskDoesNotWaitForAServicesEndOnceAMachineCanBeHad) {
  OneScheduler d;
  d.machine("m-1");
  auto service = make_job(1, 2, 2);
  service.spec.service = true;
  d.job(service);
  std::vector<wire::TaskStatus> running;
  for (const auto& c : d.heartbeat("m-1", 1))
    running.push_back({c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
  ASSERT_EQ(running.size(), 2u);
  d.heartbeat("m-1", 2, running);
  d.job(make_job(2, 1, 1));
  double asked = -1;  // last
  bool waited = false;
  for (double now = 2; now < 60; now += 0.2) {
    if (static_cast<int>(now * 5) % 15 == 0) d.heartbeat("m-1", now, running);
    d.scheduler->tick(now);
    if (d.scheduler->scheduling_due()) d.scheduler->run_scheduling_pass(now);
    waited |= d.scheduler->summary().find("\"waiting\":1") != std::string::npos;
    for (const auto& w : d.scheduler->scale_out_requests(now)) {
      asked = now;
      d.scheduler->rent_refused(w, 0, true, now);
    }
  }
  EXPECT_TRUE(waited);
  EXPECT_GT(asked, 40);
}

// A list is served in order: a small task stood behind a large one, beside room that it fitted, for
// as long as the large one waited. It does not wait there for 90 s, and does not slip past at once.
TEST(ShardScheduler, ATaskBehindOneThatDoesNotFitTakesTheRoomThatIsLeftOver) {
  OneScheduler d;
  d.machine("m-1");
  d.job(make_job(1, 1, 3));
  std::vector<wire::TaskStatus> running;
  for (const auto& c : d.heartbeat("m-1", 1))
    running.push_back({c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
  ASSERT_EQ(running.size(), 1u);
  d.heartbeat("m-1", 2, running);
  auto large = make_job(2, 1, 2), small = make_job(3, 1, 1);
  large.spec.priority = wire::Priority::high;
  d.job(large);
  double added = -1, started = -1;
  for (double now = 3; now < 200 && started < 0; now += 1) {
    d.scheduler->tick(now);
    for (const auto& w : d.scheduler->scale_out_requests(now))
      d.scheduler->rent_refused(w, 0, true, now);
    for (const auto& c : d.heartbeat("m-1", now, running))
      if (c.op == wire::Command::Op::start) {
        EXPECT_EQ(c.task.job, small.spec.id);
        started = now;
      }
    // Once the large one stands on the list of this machine, and not of one that is ordered.
    const std::string told = d.scheduler->summary();
    if (added < 0 && told.find("\"waiting\":1") != std::string::npos &&
        told.find("\"ordered\":0") != std::string::npos) {
      d.job(small);
      added = now;
    }
  }
  ASSERT_GE(added, 0);
  EXPECT_GT(started, added + 60);
  EXPECT_LT(started, added + 90);
}

// Whatever a scheduler has written, a copy of it that comes later is not carried out once more.
TEST(ShardScheduler, ACopyOfATransactionIsNeverCarriedOutAgain) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 rng(seed);
    OneScheduler d;
    std::map<std::string, std::vector<wire::TaskStatus>> there;
    for (const char* m : {"m-1", "m-2", "m-3"}) d.machine(m), there[m] = {};
    int jobs = 0;
    for (double now = 1; now < 60; now += 1) {
      if (rng() % 3 == 0) d.job(make_job(jobs++, 1 + rng() % 4, 1));
      for (auto& [name, tasks] : there) {
        for (auto& t : tasks)
          if (rng() % 5 == 0)
            t.state = wire::TaskState::exited, t.exit_reason = wire::ExitReason::done;
        for (const auto& c : d.heartbeat(name, now, tasks)) {
          std::erase_if(tasks, [&](const auto& t) {
            return c.op == wire::Command::Op::acknowledge && t.attempt == c.attempt;
          });
          if (c.op == wire::Command::Op::start)
            tasks.push_back({c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
        }
      }
      for (const auto& t : d.committed) {
        Store copy = d.store;
        EXPECT_FALSE(copy.commit(t)) << "at " << now;
      }
    }
    EXPECT_GT(d.committed.size(), 20u);
  }
}

// What an earlier owner's last answer, given S after the takeover at the latest, can have kept
// alive is not given up before that lease is over, though its machine says nothing and is not
// deleted.
TEST(ShardScheduler, SilenceProvesNothingBeforeTheEarlierLeadersLastLeaseIsOver) {
  OneScheduler d;
  d.machine("m-1");
  d.machine("m-2");
  d.job(make_job(1, 1, 1));
  wire::JobPlacements g{"run-100001", 0, 1, 0, 1, {{"m-1", 0, 7}}, {}};
  d.scheduler->recover_page(0, {"x", {g}}, 0);
  double given_up = -1;
  for (double now = 1; now < 100 && given_up < 0; now += 1) {
    d.heartbeat("m-2", now);
    d.scheduler->tick(now);
    if (d.scheduler->summary().find("\"lost\":0") == std::string::npos) given_up = now;
  }
  EXPECT_GE(given_up, d.settings.staleness_bound_s() + d.settings.lease_s);
}

// A direct order was held up and taken for lost, then carried out, and then the machine's lease
// ended: its task counted as running for good.
TEST(ShardScheduler, ATaskOfALateDirectCommandIsGivenUpWithItsIncarnation) {
  OneScheduler d;
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  auto direct = d.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  ASSERT_EQ(direct[0].commands.size(), 1u);
  d.scheduler->direct_commands_done(direct[0], 0);
  const auto& start = direct[0].commands[0];
  d.heartbeat("m-1", 5,
              {{start.task, start.attempt, wire::TaskState::running, wire::ExitReason::none}});
  auto again = d.heartbeat("m-1", 40, {}, 2);
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].op, wire::Command::Op::start);
  EXPECT_GT(again[0].attempt, start.attempt);
}

// A direct start without an answer, of a job that is cancelled by now: no answer renews that
// machine's lease under the token that the start would be carried out under.
TEST(ShardScheduler, ALeaseIsNotRenewedWhileACancelledTaskMayStillBeStarted) {
  OneScheduler d;
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  auto direct = d.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  EXPECT_FALSE(d.scheduler->has_unacknowledged_start("m-1"));
  d.scheduler->job_gone(make_job(1, 1, 1).spec.id, 3);
  // Its answer may still settle it.
  EXPECT_TRUE(d.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_FALSE(d.scheduler->needs_new_token(3));
  d.scheduler->direct_commands_done(direct[0], 0);
  d.heartbeat("m-1", 4);
  EXPECT_TRUE(d.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_TRUE(d.scheduler->needs_new_token(4));
  wire::Transaction raise;
  raise.ops.push_back(
      {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "r"}), 0});
  const std::uint64_t before = d.scheduler->token();
  d.scheduler->advance_token(*d.store.commit(raise), 4.1);
  d.read();
  EXPECT_FALSE(d.scheduler->has_unacknowledged_start("m-1"));
  EXPECT_GT(d.scheduler->token(), before);
  EXPECT_FALSE(d.scheduler->needs_new_token(20));
  // The next one that needs it does not wait for ten seconds.
  d.heartbeat("m-1", 5);
  direct = d.start_directly(2, 6);
  ASSERT_EQ(direct.size(), 1u);
  d.scheduler->direct_commands_done(direct[0], 0);
  EXPECT_FALSE(d.scheduler->needs_new_token(6.5));
  d.scheduler->job_gone(make_job(2, 1, 1).spec.id, 6.5);
  EXPECT_TRUE(d.scheduler->needs_new_token(6.5));
}
TEST(ShardScheduler, AnAnswerAcknowledgesACancelledStart) {
  for (int status : {200, 409}) {
    OneScheduler d;
    d.machine("m-1");
    d.heartbeat("m-1", 1);
    auto direct = d.start_directly(1, 2);
    ASSERT_EQ(direct.size(), 1u);
    d.scheduler->job_gone(make_job(1, 1, 1).spec.id, 3);
    d.scheduler->direct_commands_done(direct[0], status);
    EXPECT_FALSE(d.scheduler->has_unacknowledged_start("m-1")) << status;
    EXPECT_FALSE(d.scheduler->needs_new_token(30)) << status;
  }
}

// What runs of a cancelled job is told so at once, also on a machine whose reports do not come, and
// by the answer to a report that has been overtaken.
TEST(ShardScheduler, ACancelledJobsTasksAreStoppedWithoutWaitingForAHeartbeat) {
  OneScheduler d;
  d.machine("m-1");
  d.job(make_job(1, 2, 1));
  d.job(make_job(2, 1, 1));
  auto starts = d.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 3u);
  std::vector<wire::TaskStatus> running;
  for (const auto& c : starts)
    running.push_back({c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
  d.heartbeat("m-1", 2, running);
  d.scheduler->set_machine_address("m-1", "10.0.0.1:1");
  const auto none = [](const std::string&) { return false; };
  EXPECT_TRUE(d.scheduler->direct_commands(true, none, 14).empty());
  const std::string gone = make_job(1, 2, 1).spec.id;
  d.scheduler->job_gone(gone, 14);
  auto direct = d.scheduler->direct_commands(true, none, 14);
  ASSERT_EQ(direct.size(), 1u);
  auto all_of_it = [&](const std::vector<wire::Command>& commands) {
    ASSERT_EQ(commands.size(), 2u);
    for (const auto& c : commands) {
      EXPECT_EQ(c.op, wire::Command::Op::stop);
      EXPECT_EQ(c.task.job, gone);
      EXPECT_EQ(c.grace_s, 0);
    }
  };
  all_of_it(direct[0].commands);
  all_of_it(d.scheduler->stop_commands("m-1"));
  d.scheduler->direct_commands_done(direct[0], 0);
  EXPECT_TRUE(
      d.scheduler->direct_commands(true, none, 15).empty());  // told once; answers tell it again
  all_of_it(d.heartbeat("m-1", 16, running));
}

// An end is an end: should a machine show the same attempt running after it, it is stopped.
TEST(ShardScheduler, AnAttemptThatRunsAfterItsEndIsStopped) {
  OneScheduler d;
  d.machine("m-1");
  d.job(make_job(1, 1, 1));
  auto starts = d.heartbeat("m-1", 1);
  ASSERT_EQ(starts.size(), 1u);
  const auto& c = starts[0];
  d.heartbeat("m-1", 2, {{c.task, c.attempt, wire::TaskState::exited, wire::ExitReason::done}});
  bool stopped = false;
  for (const auto& o : d.heartbeat(
           "m-1", 3, {{c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none}}))
    stopped |= o.op == wire::Command::Op::stop && o.attempt == c.attempt;
  EXPECT_TRUE(stopped);
}

// A direct start without an answer may be carried out later: not reaped before a higher token.
TEST(ShardScheduler, AnUnacknowledgedAttemptIsReleasedOnlyUnderAHigherToken) {
  OneScheduler d;
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  auto direct = d.start_directly(1, 2);
  ASSERT_EQ(direct.size(), 1u);
  auto c = direct[0].commands.at(0);
  d.scheduler->direct_commands_done(direct[0], 0);
  std::vector<wire::TaskStatus> failed = {
      {c.task, c.attempt, wire::TaskState::exited, wire::ExitReason::error}};
  for (const auto& o : d.heartbeat("m-1", 3, failed))
    EXPECT_NE(o.op, wire::Command::Op::acknowledge);
  EXPECT_TRUE(d.scheduler->needs_new_token(30));
  wire::Transaction raise;
  raise.ops.push_back(
      {state::leader_key(0), wire::encode_record(wire::LeaderRecord{"node-0", "r"}), 0});
  d.scheduler->advance_token(*d.store.commit(raise), 30);
  d.read();
  bool reaped = false;
  for (const auto& o : d.heartbeat("m-1", 31, failed))
    reaped |= o.op == wire::Command::Op::acknowledge;
  EXPECT_TRUE(reaped);
}

// An earlier owner's start may still be on its way to a worker that has not seen our token: a
// report without the task proves nothing before that. Giving it up would run the task twice.
TEST(ShardScheduler, AnEarlierLeadersPlacementIsGivenUpOnlyUnderTheCurrentToken) {
  OneScheduler d;
  auto r = make_job(1, 1, 1);
  d.machine("m-1");
  d.machine("m-2");
  d.job(r);
  d.scheduler->recover_page(0, {"t", {{r.spec.id, 0, 1, 0, 1, {{"m-1", 0, 5}}, {}}}}, 0);
  d.heartbeat("m-2", 1);
  wire::Heartbeat old;
  old.machine = "m-1";
  old.type = "t4";
  old.zone = "a";
  old.incarnation = 1;
  old.sequence = ++d.sequence;
  old.token = d.scheduler->token() - 1;
  d.scheduler->take_heartbeat(old, 2);
  d.commit(2);
  EXPECT_TRUE(d.heartbeat("m-2", 3).empty());
  EXPECT_TRUE(d.scheduler->commands_for("m-1", true, 3).empty());
  std::size_t starts = d.heartbeat("m-1", 4).size() + d.heartbeat("m-2", 5).size();
  EXPECT_EQ(starts, 1u);
}

// A machine that goes to another shard is empty.
TEST(ShardScheduler, OnlyAnEmptyMachineIsTransferred) {
  OneScheduler d;
  d.machine("m-1");
  d.machine("m-2");
  d.job(make_job(1, 1, 1));
  d.heartbeat("m-1", 1);
  d.heartbeat("m-2", 1);
  d.scheduler->transfer({5, 1, {1, 1}});
  auto wishes = d.scheduler->inventory_changes();
  ASSERT_EQ(wishes.size(), 1u);
  EXPECT_EQ(wishes[0].kind, scheduler::InventoryChange::transfer);
  EXPECT_EQ(wishes[0].machine.shard, 5);
  std::set<std::string> busy;
  for (const auto& [n, page] : d.cache.placement_pages(0))
    for (const auto& g : page.jobs)
      for (const auto& p : g.placements) busy.insert(p.machine);
  EXPECT_EQ(busy.size(), 1u);
  EXPECT_FALSE(busy.contains(wishes[0].machine.name));
  d.scheduler->machine_moved(wishes[0].machine.name, 2);
  EXPECT_EQ(d.scheduler->machine_count(), 1u);
}

// A wish to give a machine away waited while its scheduler was closed and opened again under
// another token; the new scheduler had work there by the time the wish was carried out. The
// scheduler is asked again.
TEST(ShardScheduler, ATransferRequestOutlivesItsSchedulerButIsNotExecuted) {
  OneScheduler d;
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  d.scheduler->transfer({5, 1, {1, 1}});
  EXPECT_EQ(d.scheduler->inventory_changes().size(), 1u);
  EXPECT_EQ(d.scheduler->transfer_target("m-1"), 5);
  EXPECT_EQ(d.scheduler->transfer_target("m-2"), -1);
  // What the inventory's actor has already is not handed out again.
  EXPECT_TRUE(d.scheduler
                  ->inventory_changes([](const std::string& name,
                                         scheduler::InventoryChange::Kind kind, int shard) {
                    return name == "m-1" && kind == scheduler::InventoryChange::transfer &&
                           shard == 5;
                  })
                  .empty());
  d.scheduler = std::make_unique<scheduler::ShardScheduler>(d.settings, d.tuning, d.catalogue, 0,
                                                            d.scheduler->token(), 2, 8);
  d.scheduler->machine_known(*d.cache.machine("m-1"), 2);
  EXPECT_EQ(d.scheduler->transfer_target("m-1"), -1);
  d.job(make_job(1, 1, 1));
  d.heartbeat("m-1", 2);
  d.scheduler->transfer({5, 1, {1, 1}});  // marked, but not empty
  EXPECT_EQ(d.scheduler->transfer_target("m-1"), -1);
}

// Services were promised along with their machines, which stood half empty for minutes, closed to
// new work: guimaraes-montagem had 4,000 vcpus like that. And a promise outlived the lack.
TEST(ShardScheduler, AMachineWithAReplicaIsNotReservedAndAnUnusedReservationEnds) {
  OneScheduler d;
  d.machine("m-1");
  auto service = make_job(1, 1, 1);
  service.spec.service = true;
  d.job(service);
  d.heartbeat("m-1", 1);
  d.commit(1);
  d.machine("m-2");
  d.heartbeat("m-2", 2);
  auto array = make_job(2, 1, 4);
  d.job(array);
  d.commit(2);
  d.scheduler->transfer({5, 2, {1, 1}});
  EXPECT_EQ(d.scheduler->transferring(), 1);  // m-2 alone, once its task is over
  // Until then it counts here: else every other owner would see one less than there is.
  EXPECT_EQ(d.scheduler->load(2).capacity, 2);
  d.scheduler->transfer({5, 0, {1, 1}});
  EXPECT_EQ(d.scheduler->transferring(), 0);
  EXPECT_EQ(d.scheduler->load(2).capacity, 2);
  // What nothing there could use is not given.
  d.machine("m-3");
  d.heartbeat("m-3", 3);
  d.scheduler->transfer({5, 1, {0, 0}});
  EXPECT_EQ(d.scheduler->transferring(), 0);
  // An empty one may be on its way already: it is not taken back.
  d.scheduler->transfer({5, 1, {1, 1}});
  EXPECT_EQ(d.scheduler->transfer_target("m-3"), 5);
  d.scheduler->transfer({5, 0, {1, 1}});
  EXPECT_EQ(d.scheduler->transfer_target("m-3"), 5);
  EXPECT_EQ(d.scheduler->load(3).capacity, 3);
  d.scheduler->machine_moved("m-3", 4);
  EXPECT_EQ(d.scheduler->load(4).capacity, 2);
  EXPECT_EQ(d.scheduler->transferring(), 0);
}

// Gifts were counted in machines: eight of the largest went for what two would have done.
TEST(ShardScheduler, TransfersAreCountedInWhatFitsNotInMachines) {
  OneScheduler d;
  d.catalogue.load(
      {{"t4", 4, 0, 16, 0.4, 0.1, 10, {"a", "b"}}, {"t16", 16, 0, 64, 1.6, 0.4, 10, {"a"}}},
      d.settings);
  std::uint64_t seq = 0;
  for (int i = 1; i <= 4; ++i) {
    const std::string name = "m-" + std::to_string(i), type = i == 2 ? "t4" : "t16";
    wire::MachineRecord m{name, type, "a", false, 0, 0};
    d.store.commit(inventory_transaction(d.cache, {m}));
    d.read();
    d.scheduler->machine_known(m, 0);
    wire::Heartbeat r;
    r.machine = name;
    r.addr = "10.0.0.1:1";
    r.type = type;
    r.zone = "a";
    r.incarnation = 1;
    r.sequence = ++seq;
    r.token = d.scheduler->token();
    d.scheduler->take_heartbeat(r, 1);
  }
  EXPECT_EQ(d.scheduler->load(1).capacity, 13);
  d.scheduler->transfer({5, 3, {1, 1, 1, 1}});
  EXPECT_EQ(d.scheduler->transferring(), 1);
  d.scheduler->transfer({5, 9, {1, 1, 1, 1}});
  EXPECT_EQ(d.scheduler->transferring(), 9);
}

// A grown deployment starts far more tasks a second than the state service takes changes: one
// change must carry the starts of many machines, and a placement page must stay within the value's
// limit.
TEST(ShardScheduler, ManyStartsShareATransactionAndPagesStayWithinTheLimit) {
  OneScheduler d;
  std::vector<wire::MachineRecord> fleet;
  for (int i = 0; i < 200; ++i)
    fleet.push_back({"m-" + std::to_string(100000 + i), "t4", "a", false, 0, 0});
  d.settings.teams[0].cpus_max = 1e6;
  d.store.commit(inventory_transaction(d.cache, fleet));
  d.read();
  for (const auto& m : fleet) {
    d.scheduler->machine_known(m, 0);
    wire::Heartbeat r{m.name,       "10.0.0.1:1",         "t4", "a", false, 1,
                      ++d.sequence, d.scheduler->token(), {},   {}};
    d.scheduler->take_heartbeat(r, 1);
  }
  d.job(make_job(1, 3000, 1));
  std::uint64_t before = d.store.revision;
  d.scheduler->run_scheduling_pass(1);
  d.scheduler->run_scheduling_pass(1);
  d.scheduler->run_scheduling_pass(1);
  std::size_t changes = 0;
  while (auto txn = d.scheduler->next_transaction(d.cache, state::TransactionLimits{}, "t", 1)) {
    changes += txn->ops.size();
    EXPECT_LE(txn->ops.size(), static_cast<std::size_t>(d.settings.state_limits.txn_ops));
    EXPECT_LE(txn->preconditions.size(),
              static_cast<std::size_t>(d.settings.state_limits.txn_ops) * 4);
    for (const auto& op : txn->ops) EXPECT_LE(op.value->size(), 4096u);
    ASSERT_TRUE(d.store.commit(*txn));
    d.read();
    d.scheduler->transaction_applied(1);
  }
  EXPECT_GT(d.store.revision, before);
  EXPECT_LE(changes, 12u);
  std::size_t placed = 0;
  for (const auto& [n, page] : d.cache.placement_pages(0))
    for (const auto& g : page.jobs) placed += g.placements.size();
  EXPECT_EQ(placed, 800u);
}

// After minutes of work every placement page holds things long over. Starts queued by thousands for
// the few placement pages that seemed empty, since the others were never looked into.
TEST(ShardScheduler, FinishedJobsTakeNoRoomInPages) {
  OneScheduler d;
  d.settings.teams[0].cpus_max = 1e6;
  std::vector<wire::MachineRecord> fleet;
  for (int i = 0; i < 100; ++i)
    fleet.push_back({"m-" + std::to_string(100000 + i), "t4", "a", false, 0, 0});
  d.store.commit(inventory_transaction(d.cache, fleet));
  d.read();
  for (const auto& m : fleet) d.scheduler->machine_known(m, 0);
  std::map<std::string, std::vector<wire::TaskStatus>> there;
  double now = 1;
  std::size_t worst = 0;
  for (int round = 0; round < 40; ++round, now += 4) {
    d.job(make_job(round, 400, 1));
    for (const auto& m : fleet) {
      auto& tasks = there[m.name];
      for (auto& t : tasks)  // one in forty runs for long
        if (t.task.index % 40 || t.attempt % 23 == 0)
          t.state = wire::TaskState::exited, t.exit_reason = wire::ExitReason::done;
      wire::Heartbeat r{m.name,       "10.0.0.1:1",         "t4", "a",  false, 1,
                        ++d.sequence, d.scheduler->token(), {},   tasks};
      d.scheduler->take_heartbeat(r, now);
    }
    d.scheduler->run_scheduling_pass(now);
    std::size_t changes = 0;
    while (auto txn =
               d.scheduler->next_transaction(d.cache, state::TransactionLimits{}, "t", now)) {
      for (const auto& op : txn->ops) changes += op.key.starts_with("st/a/");
      ASSERT_TRUE(d.store.commit(*txn));
      std::vector<state::Change> ch;
      d.store.read(d.cache, ch);
      d.scheduler->transaction_applied(now);
    }
    worst = std::max(worst, changes);
    for (const auto& m : fleet) {
      ASSERT_FALSE(d.scheduler->awaits_commit(m.name)) << "round " << round;
      std::erase_if(there[m.name],
                    [](const auto& t) { return t.state == wire::TaskState::exited; });
      for (const auto& c : d.scheduler->commands_for(m.name, true, now))
        if (c.op == wire::Command::Op::start)
          there[m.name].push_back(
              {c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
    }
  }
  EXPECT_LE(worst, 6u);
}

// Freed room went to idle work on that machine's own list while urgent tasks waited on other, full
// machines: on a full fleet of hundreds they waited for minutes.
TEST(ShardScheduler, RoomGoesToUrgentTasksThatWaitElsewhereFirst) {
  OneScheduler d;
  d.settings.teams[0].cpus_max = 1e6;
  auto task_of = [](const wire::Command& c) {
    return wire::TaskStatus{c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none};
  };
  std::map<std::string, std::vector<wire::TaskStatus>> there;
  for (std::string name : {"m-1", "m-2"}) {
    d.machine(name);
    d.heartbeat(name, 1);
  }
  auto low = make_job(1, 30, 1);
  low.spec.priority = wire::Priority::idle;
  d.job(low);
  for (std::string name : {"m-1", "m-2"}) {
    for (const auto& c : d.heartbeat(name, 2)) there[name].push_back(task_of(c));
    ASSERT_EQ(there[name].size(), 4u);
    d.heartbeat(name, 3, there[name]);
  }
  for (const auto& w : d.scheduler->scale_out_requests(3)) d.scheduler->rent_refused(w, 0, true, 3);
  d.scheduler->run_scheduling_pass(3);
  auto urgent = make_job(2, 4, 1);
  urgent.spec.priority = wire::Priority::high;
  d.job(urgent);
  d.scheduler->run_scheduling_pass(20);
  // Whichever machine the urgent tasks joined, room on either goes to them.
  std::size_t started = 0;
  for (std::string name : {"m-1", "m-2"}) {
    there[name][0].state = there[name][1].state = wire::TaskState::exited;
    there[name][0].exit_reason = there[name][1].exit_reason = wire::ExitReason::done;
    for (const auto& c : d.heartbeat(name, 21, there[name]))
      if (c.op == wire::Command::Op::start) {
        EXPECT_EQ(c.task.job, urgent.spec.id);
        ++started;
      }
  }
  EXPECT_EQ(started, 4u);
}

// A team's guarantee waited behind work that another team had borrowed the machines for.
TEST(ShardScheduler, GuaranteedWorkGoesBeforeWhatOthersBorrow) {
  OneScheduler d;
  d.settings.teams = {{"red", 1, 100, 0, 0}, {"blue", 4, 100, 0, 0}};
  d.scheduler = std::make_unique<scheduler::ShardScheduler>(d.settings, d.tuning, d.catalogue, 0,
                                                            d.cache.leader(0).mod_revision, 0, 7);
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  d.job(make_job(1, 12, 1));  // red, far beyond its guarantee
  auto first = d.heartbeat("m-1", 2);
  ASSERT_EQ(first.size(), 4u);
  std::vector<wire::TaskStatus> there;
  for (const auto& c : first)
    there.push_back({c.task, c.attempt, wire::TaskState::running, wire::ExitReason::none});
  d.heartbeat("m-1", 3, there);
  auto blue = make_job(2, 2, 1);
  blue.spec.team = "blue";
  blue.spec.priority = wire::Priority::idle;
  wire::Transaction txn;
  txn.ops.push_back({state::job_key(blue.spec.id), wire::encode_record(blue), 0});
  d.store.commit(txn);
  d.read();
  d.scheduler->job_added(blue, 1, {}, 3, 3);
  // Nothing can be rented: the tasks wait on the only machine. What has hardly begun is stopped.
  d.scheduler->run_scheduling_pass(3);
  for (const auto& w : d.scheduler->scale_out_requests(3)) d.scheduler->rent_refused(w, 0, true, 3);
  d.scheduler->run_scheduling_pass(3);
  std::size_t stops = 0;
  for (const auto& c : d.heartbeat("m-1", 4, there)) stops += c.op == wire::Command::Op::stop;
  EXPECT_EQ(stops, 2u);
  there[0].state = there[1].state = wire::TaskState::exited;
  there[0].exit_reason = there[1].exit_reason = wire::ExitReason::stopped;
  for (const auto& c : d.heartbeat("m-1", 5, there))
    if (c.op == wire::Command::Op::start) {
      EXPECT_EQ(c.task.job, blue.spec.id);
    }
}

// A machine that was being emptied for another shard kept starts that it was never sent: it was
// never empty, and the tasks never ran.
TEST(ShardScheduler, AMachineThatLeavesReleasesTasksThatWereNotSent) {
  OneScheduler d;
  d.machine("m-1");
  d.heartbeat("m-1", 1);
  d.job(make_job(1, 2, 1));
  d.commit(2);
  d.scheduler->transfer({1, 1, {1, 1}});
  EXPECT_TRUE(d.heartbeat("m-1", 3).empty());
  auto wishes = d.scheduler->inventory_changes();
  ASSERT_EQ(wishes.size(), 1u);
  EXPECT_EQ(wishes[0].kind, scheduler::InventoryChange::transfer);
  d.machine("m-2");
  EXPECT_EQ(d.heartbeat("m-2", 4).size(), 2u);
}

// Nothing may be placed on a machine that the inventory does not hold: a new owner would not look
// for it there.
TEST(ShardScheduler, NothingIsPlacedOnAMachineBeforeTheInventoryHoldsIt) {
  OneScheduler d;
  d.job(make_job(1, 1, 1));
  d.scheduler->run_scheduling_pass(1);
  auto wishes = d.scheduler->scale_out_requests(1);
  ASSERT_EQ(wishes.size(), 1u);
  d.scheduler->rented(wishes[0], {"m-7"}, 1);
  EXPECT_TRUE(d.heartbeat("m-7", 2).empty());
  EXPECT_TRUE(d.cache.placement_pages(0).empty());
  auto add = d.scheduler->inventory_changes();
  ASSERT_EQ(add.size(), 1u);
  d.scheduler->machine_known(add[0].machine, 3);
  EXPECT_EQ(d.heartbeat("m-7", 4).size(), 1u);
}

// Bridge checks and rush jobs waited a second or two for images that lay ready on other machines
// with room: the learners are told the cost of whole runs, in which that hardly shows.
TEST(ShardScheduler, AMachineWithRoomAndTheImageGoesBeforeOneThatWouldFetchIt) {
  OneScheduler d;
  d.settings.teams[0].cpus_max = 100;
  for (int i = 0; i < 6; ++i) d.machine("m-" + std::to_string(i));
  for (int i = 0; i < 6; ++i) d.heartbeat("m-" + std::to_string(i), 1);
  // Others fill the first five, so that one task fetches the image on the last.
  auto fill = make_job(1, 5, 4);
  fill.spec.image = "other";
  d.job(fill);
  std::map<std::string, std::vector<wire::Command>> there;
  for (int i = 0; i < 6; ++i)
    there["m-" + std::to_string(i)] = d.heartbeat("m-" + std::to_string(i), 2);
  d.job(make_job(2, 1, 1));
  std::string warm;
  for (auto& [name, c] : there)
    if (c.empty()) warm = name;
  ASSERT_FALSE(warm.empty());
  auto c = d.heartbeat(warm, 3);
  ASSERT_EQ(c.size(), 1u);
  d.heartbeat(warm, 4,
              {{c[0].task, c[0].attempt, wire::TaskState::running, wire::ExitReason::none}});
  for (const auto& [name, o] : there)
    if (!o.empty())
      d.heartbeat(name, 5,
                  {{o[0].task, o[0].attempt, wire::TaskState::exited, wire::ExitReason::done}});
  for (int n = 3; n < 6; ++n) {
    auto r = make_job(n, 1, 1);
    r.spec.priority = wire::Priority::high;
    d.job(r);
  }
  d.commit(6);
  std::size_t on_it = 0;
  for (const auto& [n, page] : d.cache.placement_pages(0))
    for (const auto& g : page.jobs)
      for (const auto& p : g.placements) on_it += p.machine == warm;
  EXPECT_EQ(on_it, 4u);
}

}  // namespace
}  // namespace shunttrail::test

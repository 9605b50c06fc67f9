// Services and job arrays on one scheduler. Each test guards against a failure that was seen in a
// deployment with both (docs/incidents/guimaraes-montagem-1.md).
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace shunttrail::test {
namespace {

// After arrays had completed, one or two replicas remained on each of hundreds of machines for as
// long as their services ran.
TEST(ReplicaConsolidation, ReplicasOnNearlyEmptyMachinesAreMovedTogether) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.job(1, 1, 1, true, 0);
  site.all_report(1);
  auto filler = site.job(2, 1, 3, false, 1);
  site.all_report(2);
  ASSERT_EQ(site.live_tasks("m-1"), 2u);
  site.machine("m-2", 2);
  site.job(3, 1, 1, true, 2);
  site.job(4, 1, 1, true, 2);
  site.all_report(3);
  ASSERT_EQ(site.live_tasks("m-2"), 2u);
  site.complete("m-1", filler.spec.id);
  for (double now = 4; now < 40; now += 2) {
    site.all_report(now);
    site.scheduler->tick(now);
    ASSERT_EQ(site.live_tasks("m-1") + site.live_tasks("m-2"), 3u)
        << "moved at " << now << ", before it had settled";
  }
  // The fuller machine keeps its replicas. The replica on the other one is stopped and started
  // again on the fuller one.
  for (double now = 40; now < 240; now += 1) {
    site.scheduler->tick(now);
    site.commit(now);
    for (auto& direct : site.scheduler->direct_commands(
             true, [](const auto&) { return false; }, now)) {
      Worker& worker = site.workers.at(direct.machine);
      worker.execute(direct.token, direct.commands, worker.incarnation, -1e9, now, site.rng);
      site.scheduler->direct_commands_done(direct, 200);
      site.scheduler->take_heartbeat(worker.heartbeat(), now, true);
    }
    site.all_report(now + 0.5);
  }
  EXPECT_EQ(site.live_tasks("m-2"), 3u);
  EXPECT_EQ(site.live_tasks("m-1"), 0u);
  EXPECT_EQ(site.scheduler->machines_to_return(), std::vector<std::string>{"m-1"});
}

TEST(ReplicaConsolidation, AReplicaThatHasJustStartedIsNotMoved) {
  SchedulerSite site;
  for (int i = 0; i < 20; ++i) {
    site.machine("m-" + std::to_string(100 + i), 0);
    site.job(100 + i, 4, 1, true, 0);
    site.all_report(0.1 * i);
  }
  site.machine("m-x", 2);
  site.job(1, 1, 1, true, 2);
  site.all_report(3);
  site.machine("m-y", 3);
  auto filler = site.job(2, 1, 3, false, 3);
  site.all_report(4);
  site.job(3, 2, 1, true, 4);
  site.all_report(5);
  site.complete("m-x", filler.spec.id);
  // From the first check on, the other machine has enough free capacity for the replica, and the
  // limit on moves permits one.
  for (double now = 6; now < 40; now += 2) {
    site.all_report(now);
    site.scheduler->tick(now);
    ASSERT_EQ(site.scheduler->counters().consolidated, 0u) << "at " << now;
  }
  for (double now = 40; now < 50; now += 2) {
    site.all_report(now);
    site.scheduler->tick(now);
  }
  EXPECT_EQ(site.scheduler->counters().consolidated, 1u);
}

// Replicas on a machine that had died waited for 65 s until its silence proved that it was dead.
TEST(FailureDetector, ASilentMachineWithReplicasIsDeletedLongBeforeItsLeaseExpires) {
  SchedulerSite site;
  for (int i = 1; i <= 4; ++i) {
    site.machine("m-" + std::to_string(i), 0);
    site.job(i, 4, 1, true, 0);
    site.all_report(0.5 + i);
  }
  const std::set<std::string> dead{"m-1"};
  double deletion_requested_at = 0;
  for (double now = 6; now < 20 && !deletion_requested_at; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) site.all_report(now, dead);
    site.scheduler->tick(now);
    site.probe(now, dead);
    for (const auto& name : site.scheduler->machines_to_return()) {
      EXPECT_EQ(name, "m-1");
      deletion_requested_at = now;
    }
  }
  EXPECT_GT(deletion_requested_at, 6);
  EXPECT_LT(deletion_requested_at, 6 + site.settings.lease_s / 2);
  // Its tasks are not started elsewhere before the deletion is confirmed.
  EXPECT_EQ(site.scheduler->load(deletion_requested_at).capacity, 3);
  site.machine("m-5", deletion_requested_at);
  site.all_report(deletion_requested_at, dead);
  EXPECT_EQ(site.live_tasks("m-5"), 0u);
  site.scheduler->machine_deleted("m-1", deletion_requested_at);
  site.commit(deletion_requested_at);
  site.all_report(deletion_requested_at + 1, dead);
  EXPECT_EQ(site.live_tasks("m-5"), 4u);
}

// If a network is cut, or this node was suspended, hundreds of machines are silent at once; none of
// them may be deleted.
TEST(FailureDetector, ASilentZoneIsNotDeletedAndOnlyAShareOfTheMachinesIsDeletedAtOnce) {
  SchedulerSite site;
  for (int i = 1; i <= 40; ++i) {
    site.machine("m-" + std::to_string(100 + i), 0, i % 2 ? "a" : "b");
    site.job(i, 4, 1, true, 0);
    site.all_report(0.1 * i);
  }
  std::set<std::string> zone_a, dead;
  for (const auto& [name, worker] : site.workers)
    if (worker.zone == "a") zone_a.insert(name);
  for (double now = 6; now < 16; now += 0.5) {
    if (static_cast<int>(now * 2) % 20 == 0) site.all_report(now, zone_a);
    site.probe(now, zone_a);
  }
  EXPECT_TRUE(site.scheduler->machines_to_return().empty());
  // All machines are heard again. Then nine of the twenty machines of a zone die at once.
  site.all_report(16);
  for (const auto& name : zone_a)
    if (dead.size() < 9) dead.insert(name);
  for (double now = 17; now < 30; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) site.all_report(now, dead);
    site.probe(now, dead);
  }
  auto deleted = site.scheduler->machines_to_return();
  EXPECT_EQ(deleted.size(), 6u);  // 15% of 40 within a lease
  for (const auto& name : deleted) EXPECT_TRUE(dead.contains(name));
}

// A failed switch silences most machines of a zone but not all. That a few machines still answer
// does not show that the others are dead.
TEST(FailureDetector, AMostlySilentZoneCountsAsCutOffAlthoughSomeOfItsMachinesAnswer) {
  SchedulerSite site;
  std::set<std::string> dead;
  for (int i = 1; i <= 30; ++i) {
    const std::string name = "m-" + std::to_string(100 + i);
    site.machine(name, 0);
    site.job(i, 4, 1, true, 0);
    site.all_report(0.1 * i);
    if (i % 3) dead.insert(name);
  }
  for (double now = 6; now < 30; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) site.all_report(now, dead);
    site.probe(now, dead);
  }
  // Machines that die before the cut is recognized may be deleted: at most one here, since all
  // become silent at the same time.
  EXPECT_LE(site.scheduler->machines_to_return().size(), 1u);
}

// A machine whose heartbeats arrived but which did not receive the responses appeared to be alive
// forever, and every start command for it was lost.
TEST(FailureDetector, AMachineThatLosesResponsesGetsNoWorkAndIsReplaced) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.machine("m-2", 0);
  site.machine("m-3", 0);
  site.all_report(1);
  site.job(1, 3, 4, false, 1);
  site.commit(1);
  // The start commands for m-1 are in responses that do not arrive.
  for (double now = 2; now < 6; now += 1) site.report("m-1", now, true);
  for (const char* machine : {"m-2", "m-3"}) site.report(machine, 6);
  EXPECT_FALSE(site.probe(6.1, {"m-1"}) == 0);
  site.probe(7, {"m-1"});
  EXPECT_EQ(site.scheduler->machines_to_return(), std::vector<std::string>{"m-1"});
  EXPECT_EQ(site.live_tasks("m-1"), 0u);
}
TEST(FailureDetector, AMachineThatRespondsAgainGetsWorkAgain) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.machine("m-2", 0);
  site.all_report(1);
  site.job(1, 2, 4, false, 1);
  site.commit(1);
  site.report("m-2", 1.5);
  for (double now = 2; now < 6; now += 1) site.report("m-1", now, true);
  EXPECT_EQ(site.probe(6.1, {}), 1u);
  for (double now = 12; now < 40; now += 2) {
    site.scheduler->tick(now);
    site.all_report(now);
    site.probe(now, {});
  }
  EXPECT_TRUE(site.scheduler->machines_to_return().empty());
  EXPECT_EQ(site.live_tasks("m-1") + site.live_tasks("m-2"), 2u);
}

// Late copies of a heartbeat kept arriving. They delayed the proof by silence, and were answered
// with start commands that no worker received.
TEST(DuplicateHeartbeat, NeitherDelaysTheProofOfSilenceNorRenewsTheLease) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.job(1, 1, 4, false, 0);
  site.all_report(1);
  ASSERT_EQ(site.live_tasks("m-1"), 1u);
  auto copy = site.workers.at("m-1").heartbeat();
  site.scheduler->take_heartbeat(copy, 2);
  static_cast<void>(site.scheduler->commands_for("m-1", true, 2));
  site.machine("m-2", 2);
  double lost_at = 0;
  for (double now = 3; now < 90 && !lost_at; now += 1) {
    const auto result = site.scheduler->take_heartbeat(copy, now);
    EXPECT_EQ(result, now - 2 <= 4 ? scheduler::ShardScheduler::HeartbeatResult::older
                                   : scheduler::ShardScheduler::HeartbeatResult::unknown);
    site.report("m-2", now);
    site.report("m-2", now + 0.1);
    site.scheduler->tick(now);
    if (site.scheduler->counters().lost) lost_at = now;
  }
  // The task counts as lost a lease and two heartbeat intervals after the machine's last genuine
  // heartbeat, despite the copies, and not before every lease that a response may have renewed has
  // expired.
  EXPECT_GE(lost_at, 6 + site.settings.lease_s);
  EXPECT_LE(lost_at, 8 + site.settings.lease_s + 2 * site.settings.heartbeat_s);
}

// With the whole fleet rented, up to 1,000 machines were requested at a time, each refusal passed
// their tasks through the chain again, and a controller reached its processor limit.
TEST(Rents, AfterARefusalRequestsStaySmallUntilOneIsGranted) {
  SchedulerSite site;
  site.job(1, 400, 4, false, 0);
  site.commit(0);
  std::size_t first_requested = 0;
  for (const auto& request : site.scheduler->scale_out_requests(0)) {
    first_requested += request.machines.size();
    site.scheduler->rent_refused(request, 0, true, 0);
  }
  EXPECT_GE(first_requested, 50u);
  // Each tier and zone is requested once in full.
  for (double now = 0.5; now < 40; now += 0.5) {
    site.scheduler->tick(now);
    site.scheduler->run_scheduling_pass(now);
    std::size_t requested = 0;
    for (const auto& request : site.scheduler->scale_out_requests(now)) {
      if (now > 5) {
        EXPECT_LE(request.machines.size(), 2u);
        requested += request.machines.size();
      }
      site.scheduler->rent_refused(request, 0, true, now);
    }
    EXPECT_LE(requested, 8u);  // two tiers, two zones
  }
  // Once machines are available, the size of the requests grows.
  std::size_t largest_request = 0;
  int rented = 0;
  for (double now = 60; now < 80; now += 0.5) {
    site.scheduler->tick(now);
    site.scheduler->run_scheduling_pass(now);
    for (const auto& request : site.scheduler->scale_out_requests(now)) {
      std::vector<std::string> names;
      for (std::size_t i = 0; i < request.machines.size(); ++i)
        names.push_back("m-" + std::to_string(5000 + rented++));
      largest_request = std::max(largest_request, names.size());
      site.scheduler->rented(request, names, now);
    }
  }
  EXPECT_GE(largest_request, 32u);
}

// First come, first served kept arrays of 35 s waiting behind arrays of 150 s that had minutes to
// spare.
TEST(ServiceOrder, StandardJobsRunByTheirLatestStartAndNoneStarves) {
  SchedulerSite site;
  site.machine("m-1", 0);
  auto running = site.job(1, 1, 4, false, 0, 1000);
  site.all_report(0.5);
  site.job(2, 1, 4, false, 1, 500);  // submitted first, but with time to spare
  auto tight = site.job(3, 1, 4, false, 2, 60);
  site.all_report(3);
  site.complete("m-1", running.spec.id);
  site.all_report(4);
  ASSERT_EQ(site.live_tasks("m-1"), 1u);
  EXPECT_TRUE(std::any_of(site.workers.at("m-1").tasks.begin(), site.workers.at("m-1").tasks.end(),
                          [&](const auto& task) { return task.id.job == tight.spec.id; }));
  // A job that arrives 120 s later runs after this one, however early its latest start is.
  auto record = make_job(9, 1, 4);
  jobs::Job without_deadline(record, 0, 0, 1, 0, 0);
  EXPECT_DOUBLE_EQ(without_deadline.latest_start(), 120);
}

// In a full fleet a replica waited until a task of an array had been stopped and had saved.
TEST(UrgentHeadroom, AFullFleetKeepsAFewCpusFreeForUrgentJobs) {
  SchedulerSite site;
  for (int i = 0; i < 60; ++i) site.machine("m-" + std::to_string(100 + i), 0, i % 2 ? "a" : "b");
  site.job(1, 3, 1, true, 0);
  site.all_report(1);
  site.scheduler->tick(2);
  site.job(2, 300, 1, false, 2);
  for (int round = 0; round < 4; ++round) site.all_report(3 + round);
  std::size_t running = 0;
  for (const auto& [name, worker] : site.workers) running += site.live_tasks(name);
  EXPECT_GE(running, 240u - 4);
  EXPECT_LE(running, 240u - 2);
  // The next urgent job gets this capacity at once.
  site.job(3, 2, 1, true, 8);
  site.all_report(9);
  running = 0;
  for (const auto& [name, worker] : site.workers) running += site.live_tasks(name);
  EXPECT_GE(running, 240u - 2);
}

// ---- reading the results of ended jobs

}  // namespace
}  // namespace shunttrail::test

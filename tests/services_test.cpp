// Services and job arrays on one scheduler. Each test guards against a failure that was seen in a
// deployment with both (docs/incidents/guimaraes-montagem-1.md).
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/result_cache.h"
#include "jobs/result_reader.h"
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
      worker.execute(site.scheduler->token(), direct.commands, worker.incarnation, -1e9, now,
                     site.rng);
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

// The cache holds the latest results and drops the oldest; adding one again changes nothing.
TEST(ResultCache, DropsTheOldestResult) {
  jobs::ResultCache cache(2);
  wire::JobResultRecord result;
  for (const std::uint32_t tasks : {1, 2, 1, 3}) {
    result.tasks = tasks;
    cache.add("run-" + std::to_string(tasks), result);
  }
  EXPECT_EQ(cache.find("run-1"), nullptr);
  for (const std::uint32_t tasks : {2, 3}) {
    const auto* found = cache.find("run-" + std::to_string(tasks));
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->tasks, tasks);
  }
}

// The result of a job; its team tells which job's it is.
jobs::ResultReader::StoredResult stored_result(const std::string& id) {
  wire::JobResultRecord record;
  record.team = "team of " + id;
  return {id, record};
}

// With requests in the worst order, the youngest job first, each range read answered only one more
// request: 1,000 requests took 1,000 reads.
TEST(ResultReader, TheOrderOfRequestsDoesNotMatter) {
  using jobs::ResultReader;
  for (const int step : {1, -1, 7, -7, 331}) {
    SCOPED_TRACE(step);
    ResultReader reader;
    std::vector<std::string> ids;
    for (int i = 0; i < 1000; ++i) ids.push_back("run-" + std::to_string(100000 + i));
    int answers = 0, read_count = 0;
    for (int i = 0, n = 0; i < 1000; ++i, n = (n + 1000 + step) % 1000)
      ASSERT_TRUE(
          reader.request(ids[static_cast<std::size_t>(n)], [&](const jobs::ResultLookup& lookup) {
            answers += jobs::found_record(lookup) != nullptr;
          }));
    while (auto read = reader.next()) {
      ++read_count;
      if (!read->range) {
        reader.answered(*read, {stored_result(read->id)}, false);
        continue;
      }
      auto from = std::upper_bound(ids.begin(), ids.end(), ResultReader::key_before(read->id));
      const auto count = std::min<std::ptrdiff_t>(100, ids.end() - from);
      std::vector<ResultReader::StoredResult> found;
      for (auto id = from; id != from + count; ++id) found.push_back(stored_result(*id));
      reader.answered(*read, found, from + count != ids.end());
    }
    EXPECT_EQ(answers, 1000);
    EXPECT_LE(read_count, 11);
  }
}

// Guards against a stored result that is taken for one that does not exist: its record could not be
// decoded, so that nothing was remembered of it, and a job that awaited it was refused for good.
TEST(ResultReader, AResultWithoutARecordIsNeverReportedAsAbsent) {
  using jobs::ResultReader;
  for (const int requests : {1, 20}) {
    SCOPED_TRACE(requests);
    ResultReader reader;
    int unread = 0;
    int found = 0;
    auto count = [&](const jobs::ResultLookup& lookup) {
      unread += jobs::is_unread(lookup);
      found += jobs::found_record(lookup) != nullptr;
    };
    std::vector<ResultReader::StoredResult> stored;
    for (int i = 0; i < requests; ++i) {
      stored.push_back(stored_result("run-" + std::to_string(100 + i)));
      ASSERT_TRUE(reader.request(stored.back().id, count));
    }
    stored.front().record.reset();
    const auto read = reader.next();
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->range, requests > 1);
    reader.answered(*read, stored, false);
    EXPECT_EQ(unread, 1);
    EXPECT_EQ(found, requests - 1);
    EXPECT_EQ(reader.waiting(), 0u);
  }
}

// Each request had a read of its own, which was made within three seconds or not at all. With
// thousands of ended jobs and many requests, every answer came too late for its user.
RC_GTEST_PROP(ResultReader, EveryRequestIsAnsweredCorrectlyWithFewReads, ()) {
  using jobs::ResultReader;
  ResultReader reader;
  std::set<std::string> stored_ids;
  struct Request {
    std::string id;
    bool was_stored;  // at the time of the request
    std::optional<jobs::ResultLookup> answer;
  };
  std::vector<std::unique_ptr<Request>> requests;
  auto id = [](int number) { return "run-" + std::to_string(100000 + number); };
  auto send_request = [&] {
    const auto job = id(*rc::gen::inRange(0, 3000));
    requests.push_back(std::make_unique<Request>(Request{job, stored_ids.contains(job), {}}));
    Request* request = requests.back().get();
    RC_ASSERT(reader.request(
        job, [request](const jobs::ResultLookup& lookup) { request->answer = lookup; }));
  };
  // Performs a read with the records that the state service holds; a range holds up to 100 of them.
  auto perform = [&](const ResultReader::Read& read, const std::set<std::string>& stored) {
    std::vector<ResultReader::StoredResult> found;
    if (!read.range) {
      if (stored.contains(read.id)) found.push_back(stored_result(read.id));
      return reader.answered(read, found, false);
    }
    const std::string after = ResultReader::key_before(read.id);
    auto it = stored.upper_bound(after);
    for (; it != stored.end() && found.size() < 100; ++it) found.push_back(stored_result(*it));
    reader.answered(read, found, it != stored.end());
  };
  for (int i = *rc::gen::inRange(0, 2000); i > 0; --i)
    stored_ids.insert(id(*rc::gen::inRange(0, 3000)));
  std::vector<std::pair<ResultReader::Read, std::set<std::string>>> reads_in_flight;
  const int steps = *rc::gen::inRange(10, 60);
  for (int i = 0; i < steps; ++i) {
    for (int remaining = *rc::gen::inRange(0, 30); remaining > 0; --remaining) send_request();
    stored_ids.insert(id(*rc::gen::inRange(0, 3000)));
    while (auto read = reader.next()) reads_in_flight.emplace_back(*read, stored_ids);
    RC_ASSERT(reads_in_flight.size() <= 7u);
    if (reads_in_flight.empty() || *rc::gen::inRange(0, 3) == 0) continue;
    auto [read, stored] = reads_in_flight.front();
    reads_in_flight.erase(reads_in_flight.begin());
    if (*rc::gen::inRange(0, 8) == 0)
      reader.failed(read);
    else
      perform(read, stored);
  }
  // No more faults: the requests that still wait are answered after as many reads as the records
  // need.
  int rounds = 0;
  for (; !reads_in_flight.empty() || reader.waiting(); ++rounds) {
    while (auto read = reader.next()) reads_in_flight.emplace_back(*read, stored_ids);
    RC_ASSERT(!reads_in_flight.empty());
    auto [read, stored] = reads_in_flight.front();
    reads_in_flight.erase(reads_in_flight.begin());
    perform(read, stored);
  }
  // The bound counts the reads that were in flight, one round of ranges with the end of the round
  // under way, and the last few single reads.
  RC_ASSERT(rounds <= 7 + static_cast<int>(stored_ids.size() / 100 + 3) + 7);
  for (const auto& request : requests) {
    RC_ASSERT(request->answer.has_value());
    if (const auto* record = jobs::found_record(*request->answer)) {
      RC_ASSERT(stored_ids.contains(request->id));
      RC_ASSERT(record->team == "team of " + request->id);
    }
    if (jobs::is_not_stored(*request->answer)) RC_ASSERT(!request->was_stored);
  }
}

}  // namespace
}  // namespace shunttrail::test

// Services beside arrays on one scheduler: what a deployment with both showed. Each preconditions
// against a failure that was seen there (docs/incidents/guimaraes-montagem-1.md).
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/result_reader.h"
#include "scheduler_fixture.h"

namespace shunttrail::test {
namespace {

// When arrays were through, replicas stood on hundreds of machines, one or two on each, for as long
// as their services ran.
TEST(ReplicaConsolidation, ReplicasOnNearlyEmptyMachinesAreMovedTogether) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.job(1, 1, 1, true, 0);
  d.all_report(1);
  auto filler = d.job(2, 1, 3, false, 1);
  d.all_report(2);
  ASSERT_EQ(d.live_tasks("m-1"), 2u);
  d.machine("m-2", 2);
  d.job(3, 1, 1, true, 2);
  d.job(4, 1, 1, true, 2);
  d.all_report(3);
  ASSERT_EQ(d.live_tasks("m-2"), 2u);
  d.complete("m-1", filler.spec.id);
  for (double now = 4; now < 40; now += 2) {
    d.all_report(now);
    d.scheduler->tick(now);
    ASSERT_EQ(d.live_tasks("m-1") + d.live_tasks("m-2"), 3u)
        << "moved at " << now << ", before it had settled";
  }
  // The fuller one stays; the other's replica is stopped, and starts again there.
  for (double now = 40; now < 240; now += 1) {
    d.scheduler->tick(now);
    d.commit(now);
    for (auto& o : d.scheduler->direct_commands(
             true, [](const auto&) { return false; }, now)) {
      Worker& k = d.workers.at(o.machine);
      k.execute(d.scheduler->token(), o.commands, k.incarnation, -1e9, now, d.rng);
      d.scheduler->direct_commands_done(o, 200);
      d.scheduler->take_heartbeat(k.heartbeat(), now, true);
    }
    d.all_report(now + 0.5);
  }
  EXPECT_EQ(d.live_tasks("m-2"), 3u);
  EXPECT_EQ(d.live_tasks("m-1"), 0u);
  EXPECT_EQ(d.scheduler->machines_to_return(), std::vector<std::string>{"m-1"});
}

TEST(ReplicaConsolidation, WhatHasJustStartedIsNotMovedAgain) {
  SchedulerSite d;
  for (int i = 0; i < 20; ++i) {
    d.machine("m-" + std::to_string(100 + i), 0);
    d.job(100 + i, 4, 1, true, 0);
    d.all_report(0.1 * i);
  }
  d.machine("m-x", 2);
  d.job(1, 1, 1, true, 2);
  d.all_report(3);
  d.machine("m-y", 3);
  auto filler = d.job(2, 1, 3, false, 3);
  d.all_report(4);
  d.job(3, 2, 1, true, 4);
  d.all_report(5);
  d.complete("m-x", filler.spec.id);
  // Room enough for its replica, and moves enough in hand, from the first look on.
  for (double now = 6; now < 40; now += 2) {
    d.all_report(now);
    d.scheduler->tick(now);
    ASSERT_EQ(d.scheduler->counters().consolidated, 0u) << "at " << now;
  }
  for (double now = 40; now < 50; now += 2) {
    d.all_report(now);
    d.scheduler->tick(now);
  }
  EXPECT_EQ(d.scheduler->counters().consolidated, 1u);
}

// Replicas on a machine that died waited 65 s for the proof by silence.
TEST(FailureDetector, ASilentMachineWithReplicasIsDeletedLongBeforeItsLeaseIsOver) {
  SchedulerSite d;
  for (int i = 1; i <= 4; ++i) {
    d.machine("m-" + std::to_string(i), 0);
    d.job(i, 4, 1, true, 0);
    d.all_report(0.5 + i);
  }
  const std::set<std::string> dead{"m-1"};
  double gone = 0;
  for (double now = 6; now < 20 && !gone; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) d.all_report(now, dead);
    d.scheduler->tick(now);
    d.probe(now, dead);
    for (const auto& name : d.scheduler->machines_to_return()) {
      EXPECT_EQ(name, "m-1");
      gone = now;
    }
  }
  EXPECT_GT(gone, 6);
  EXPECT_LT(gone, 6 + d.settings.lease_s / 2);
  // Nothing of it runs elsewhere before the deletion is answered.
  EXPECT_EQ(d.scheduler->load(gone).capacity, 3);
  d.machine("m-5", gone);
  d.all_report(gone, dead);
  EXPECT_EQ(d.live_tasks("m-5"), 0u);
  d.scheduler->machine_gone("m-1", gone);
  d.commit(gone);
  d.all_report(gone + 1, dead);
  EXPECT_EQ(d.live_tasks("m-5"), 4u);
}

// Where a network is cut, or this node stood still, hundreds are silent at once: none is deleted.
TEST(FailureDetector, ACutZoneIsNotDeletedNorMoreThanAShareAtOnce) {
  SchedulerSite d;
  for (int i = 1; i <= 40; ++i) {
    d.machine("m-" + std::to_string(100 + i), 0, i % 2 ? "a" : "b");
    d.job(i, 4, 1, true, 0);
    d.all_report(0.1 * i);
  }
  std::set<std::string> zone_a, few;
  for (const auto& [name, k] : d.workers)
    if (k.zone == "a") zone_a.insert(name);
  for (double now = 6; now < 16; now += 0.5) {
    if (static_cast<int>(now * 2) % 20 == 0) d.all_report(now, zone_a);
    d.probe(now, zone_a);
  }
  EXPECT_TRUE(d.scheduler->machines_to_return().empty());
  // All are heard again; then nine of the twenty of a zone are dead at once.
  d.all_report(16);
  for (const auto& name : zone_a)
    if (few.size() < 9) few.insert(name);
  for (double now = 17; now < 30; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) d.all_report(now, few);
    d.probe(now, few);
  }
  auto back = d.scheduler->machines_to_return();
  EXPECT_EQ(back.size(), 6u);  // 15% of 40 within a lease
  for (const auto& name : back) EXPECT_TRUE(few.contains(name));
}

// A switch takes most of a zone with it, though not all: the few that answer are no evidence.
TEST(FailureDetector, MostOfAZoneSilentIsACutThoughSomeAnswer) {
  SchedulerSite d;
  std::set<std::string> dead;
  for (int i = 1; i <= 30; ++i) {
    const std::string name = "m-" + std::to_string(100 + i);
    d.machine(name, 0);
    d.job(i, 4, 1, true, 0);
    d.all_report(0.1 * i);
    if (i % 3) dead.insert(name);
  }
  for (double now = 6; now < 30; now += 0.25) {
    if (static_cast<int>(now * 4) % 40 == 0) d.all_report(now, dead);
    d.probe(now, dead);
  }
  // What died before that shows is deleted: one, at the most, since all go silent together.
  EXPECT_LE(d.scheduler->machines_to_return().size(), 1u);
}

// A machine whose reports arrive and whose answers do not looked alive for ever; every start on it
// was lost.
TEST(FailureDetector, AMachineThatLosesResponsesGetsNoWorkAndIsReplaced) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.machine("m-2", 0);
  d.machine("m-3", 0);
  d.all_report(1);
  d.job(1, 3, 4, false, 1);
  d.commit(1);
  // The starts on m-1 are sent in answers that do not get there.
  for (double now = 2; now < 6; now += 1) d.report("m-1", now, true);
  for (const char* m : {"m-2", "m-3"}) d.report(m, 6);
  EXPECT_FALSE(d.probe(6.1, {"m-1"}) == 0);
  d.probe(7, {"m-1"});
  EXPECT_EQ(d.scheduler->machines_to_return(), std::vector<std::string>{"m-1"});
  EXPECT_EQ(d.live_tasks("m-1"), 0u);
}
TEST(FailureDetector, AMachineThatRespondsAgainIsTakenBack) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.machine("m-2", 0);
  d.all_report(1);
  d.job(1, 2, 4, false, 1);
  d.commit(1);
  d.report("m-2", 1.5);
  for (double now = 2; now < 6; now += 1) d.report("m-1", now, true);
  EXPECT_EQ(d.probe(6.1, {}), 1u);
  for (double now = 12; now < 40; now += 2) {
    d.scheduler->tick(now);
    d.all_report(now);
    d.probe(now, {});
  }
  EXPECT_TRUE(d.scheduler->machines_to_return().empty());
  EXPECT_EQ(d.live_tasks("m-1") + d.live_tasks("m-2"), 2u);
}

// Copies of a report come late, over and over: they put off the proof by silence, and were answered
// with starts that nobody got.
TEST(DuplicateHeartbeat, ProvesAndRenewsNothing) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.job(1, 1, 4, false, 0);
  d.all_report(1);
  ASSERT_EQ(d.live_tasks("m-1"), 1u);
  auto copy = d.workers.at("m-1").heartbeat();
  d.scheduler->take_heartbeat(copy, 2);
  static_cast<void>(d.scheduler->commands_for("m-1", true, 2));
  d.machine("m-2", 2);
  double again = 0;
  for (double now = 3; now < 90 && !again; now += 1) {
    const auto heard = d.scheduler->take_heartbeat(copy, now);
    EXPECT_EQ(heard, now - 2 <= 4 ? scheduler::ShardScheduler::HeartbeatResult::older
                                  : scheduler::ShardScheduler::HeartbeatResult::unknown);
    d.report("m-2", now);
    d.report("m-2", now + 0.1);
    d.scheduler->tick(now);
    if (d.scheduler->counters().lost) again = now;
  }
  // It is over a lease and two reports after the last that was heard of it, copies or not, and not
  // before every lease that an answer may have renewed is over.
  EXPECT_GE(again, 6 + d.settings.lease_s);
  EXPECT_LE(again, 8 + d.settings.lease_s + 2 * d.settings.heartbeat_s);
}

// With the whole fleet rented, up to 1,000 machines stood ordered at a time, each refusal sent
// their tasks through the chain again, and a controller was at its processor limit.
TEST(Rents, AreGrantedStepByStepAfterARefusal) {
  SchedulerSite d;
  d.job(1, 400, 4, false, 0);
  d.commit(0);
  std::size_t first = 0;
  for (const auto& w : d.scheduler->scale_out_requests(0)) {
    first += w.machines.size();
    d.scheduler->rent_refused(w, 0, true, 0);
  }
  EXPECT_GE(first, 50u);
  // Each tier and zone is tried once in full.
  for (double now = 0.5; now < 40; now += 0.5) {
    d.scheduler->tick(now);
    d.scheduler->run_scheduling_pass(now);
    std::size_t wished = 0;
    for (const auto& w : d.scheduler->scale_out_requests(now)) {
      if (now > 5) {
        EXPECT_LE(w.machines.size(), 2u);
        wished += w.machines.size();
      }
      d.scheduler->rent_refused(w, 0, true, now);
    }
    EXPECT_LE(wished, 8u);  // two tiers, two zones
  }
  // Once some are to be had it asks for more each time.
  std::size_t most = 0;
  int n = 0;
  for (double now = 60; now < 80; now += 0.5) {
    d.scheduler->tick(now);
    d.scheduler->run_scheduling_pass(now);
    for (const auto& w : d.scheduler->scale_out_requests(now)) {
      std::vector<std::string> names;
      for (std::size_t i = 0; i < w.machines.size(); ++i)
        names.push_back("m-" + std::to_string(5000 + n++));
      most = std::max(most, names.size());
      d.scheduler->rented(w, names, now);
    }
  }
  EXPECT_GE(most, 32u);
}

// First come, first served kept arrays of 35 s behind arrays of 150 s that had minutes to spare.
TEST(ServiceOrder, StandardWorkGoesByItsDueStartAndNothingStarves) {
  SchedulerSite d;
  d.machine("m-1", 0);
  auto running = d.job(1, 1, 4, false, 0, 1000);
  d.all_report(0.5);
  d.job(2, 1, 4, false, 1, 500);  // first, but with time to spare
  auto tight = d.job(3, 1, 4, false, 2, 60);
  d.all_report(3);
  d.complete("m-1", running.spec.id);
  d.all_report(4);
  ASSERT_EQ(d.live_tasks("m-1"), 1u);
  EXPECT_TRUE(std::any_of(d.workers.at("m-1").tasks.begin(), d.workers.at("m-1").tasks.end(),
                          [&](const auto& k) { return k.id.job == tight.spec.id; }));
  // What came 120 s later goes behind it, however tight.
  auto r = make_job(9, 1, 4);
  jobs::Job patient(r, 0, 0, 1, 0, 0);
  EXPECT_DOUBLE_EQ(patient.latest_start(), 120);
}

// In a full fleet a replica waited until an array's task had been stopped and had saved.
TEST(UrgentHeadroom, ALittleRoomIsKeptForUrgentWorkWhereItIsLittle) {
  SchedulerSite d;
  for (int i = 0; i < 60; ++i) d.machine("m-" + std::to_string(100 + i), 0, i % 2 ? "a" : "b");
  d.job(1, 3, 1, true, 0);
  d.all_report(1);
  d.scheduler->tick(2);
  d.job(2, 300, 1, false, 2);
  for (int k = 0; k < 4; ++k) d.all_report(3 + k);
  std::size_t running = 0;
  for (const auto& [name, k] : d.workers) running += d.live_tasks(name);
  EXPECT_GE(running, 240u - 4);
  EXPECT_LE(running, 240u - 2);
  // It goes to the next urgent job at once.
  d.job(3, 2, 1, true, 8);
  d.all_report(9);
  running = 0;
  for (const auto& [name, k] : d.workers) running += d.live_tasks(name);
  EXPECT_GE(running, 240u - 2);
}

// ---- answers about jobs that are over

// Asked about in the worst order, the youngest first, each range held one question more and no
// other: 1,000 questions took 1,000 reads.
TEST(ResultReader, TheOrderOfRequestsDoesNotMatter) {
  using jobs::ResultReader;
  for (const int step : {1, -1, 7, -7, 331}) {
    SCOPED_TRACE(step);
    ResultReader reads;
    std::vector<std::string> all;
    for (int i = 0; i < 1000; ++i) all.push_back("run-" + std::to_string(100000 + i));
    int answers = 0, out = 0;
    for (int i = 0, n = 0; i < 1000; ++i, n = (n + 1000 + step) % 1000)
      ASSERT_TRUE(reads.request(all[static_cast<std::size_t>(n)],
                                [&](jobs::Found f) { answers += f == jobs::Found::yes; }));
    while (auto a = reads.next()) {
      ++out;
      if (!a->range) {
        reads.answered(*a, {a->id}, false);
        continue;
      }
      auto from = std::upper_bound(all.begin(), all.end(), ResultReader::key_before(a->id));
      const auto held = std::min<std::ptrdiff_t>(100, all.end() - from);
      reads.answered(*a, {from, from + held}, from + held != all.end());
    }
    EXPECT_EQ(answers, 1000);
    EXPECT_LE(out, 11);
  }
}

// Each question had a read of its own, served within three seconds or not at all: with thousands of
// jobs over and many asked about, every answer came too late for its user.
RC_GTEST_PROP(ResultReader, EveryRequestIsAnsweredCorrectlyWithinFewReads, ()) {
  using jobs::Found;
  using jobs::ResultReader;
  ResultReader reads;
  std::set<std::string> there;
  struct Question {
    std::string id;
    bool was_there;  // when it was asked
    std::optional<Found> answer;
  };
  std::vector<std::unique_ptr<Question>> all;
  auto id = [](int n) { return "run-" + std::to_string(100000 + n); };
  auto ask = [&] {
    const auto n = id(*rc::gen::inRange(0, 3000));
    all.push_back(std::make_unique<Question>(Question{n, there.contains(n), {}}));
    Question* q = all.back().get();
    RC_ASSERT(reads.request(n, [q](Found f) { q->answer = f; }));
  };
  // What the state service says: a range holds 100 records here.
  auto carry_out = [&](const ResultReader::Read& a, const std::set<std::string>& seen) {
    std::vector<std::string> found;
    if (!a.range) {
      if (seen.contains(a.id)) found.push_back(a.id);
      return reads.answered(a, found, false);
    }
    const std::string after = ResultReader::key_before(a.id);
    auto it = seen.upper_bound(after);
    for (; it != seen.end() && found.size() < 100; ++it) found.push_back(*it);
    reads.answered(a, found, it != seen.end());
  };
  for (int i = *rc::gen::inRange(0, 2000); i > 0; --i) there.insert(id(*rc::gen::inRange(0, 3000)));
  std::vector<std::pair<ResultReader::Read, std::set<std::string>>> out;
  const int steps = *rc::gen::inRange(10, 60);
  for (int i = 0; i < steps; ++i) {
    for (int k = *rc::gen::inRange(0, 30); k > 0; --k) ask();
    there.insert(id(*rc::gen::inRange(0, 3000)));
    while (auto a = reads.next()) out.emplace_back(*a, there);
    RC_ASSERT(out.size() <= 7u);
    if (out.empty() || *rc::gen::inRange(0, 3) == 0) continue;
    auto [a, seen] = out.front();
    out.erase(out.begin());
    if (*rc::gen::inRange(0, 8) == 0)
      reads.failed(a);
    else
      carry_out(a, seen);
  }
  // The faults are over: what still waits is through after as many reads as the records fill.
  int rounds = 0;
  for (; !out.empty() || reads.waiting(); ++rounds) {
    while (auto a = reads.next()) out.emplace_back(*a, there);
    RC_ASSERT(!out.empty());
    auto [a, seen] = out.front();
    out.erase(out.begin());
    carry_out(a, seen);
  }
  // What was out, one round of ranges and the end of the one under way, and the last few singly.
  RC_ASSERT(rounds <= 7 + static_cast<int>(there.size() / 100 + 3) + 7);
  for (const auto& q : all) {
    RC_ASSERT(q->answer.has_value());
    if (*q->answer == Found::yes) RC_ASSERT(there.contains(q->id));
    if (*q->answer == Found::no) RC_ASSERT(!q->was_there);
  }
}

}  // namespace
}  // namespace shunttrail::test

// Large tasks of jobs that wait for long (docs/design.md, X14).
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace shunttrail::test {
namespace {

constexpr double kBegin = 240;  // the largest begin within this

wire::JobRecord sized(int n, double cpus, wire::Priority priority, double estimate_s = 20) {
  auto r = make_job(n, 1, cpus);
  r.spec.spot = false;
  r.spec.priority = priority;
  r.spec.estimate_s = estimate_s;
  return r;
}

// More small tasks than there is room for, urgent ones too, for as long as it goes.
struct Crowd {
  SchedulerSite d;
  int jobs = 100;
  std::mt19937 rng;
  Crowd(unsigned seed, int machines, double limit) : rng(seed) {
    d.rng.seed(seed);
    if (limit > 0) d.settings.teams[0].cpus_max = limit;
    for (int i = 0; i < machines; ++i) d.machine("m-" + std::to_string(i + 1), 0);
  }
  void second(double now, double room) {
    // Tasks run for 22 s on average: somewhat more than the room takes.
    std::poisson_distribution<int> come(1.2 * room / 22);
    for (int n = come(rng); n > 0; --n)
      d.submit(sized(jobs++, 1, rng() % 3 ? wire::Priority::standard : wire::Priority::high), now);
    d.pass_second(now);
  }
};

TEST(Reservations, ALargeTaskBeginsThoughSmallOnesKeepComing) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const int machines = 1 + static_cast<int>(seed % 3);
    Crowd c(seed, machines, 0);
    double now = 1;
    for (; now < 60; ++now) c.second(now, 4 * machines);
    const auto large = c.d.submit(
        sized(1, 4, seed % 2 ? wire::Priority::standard : wire::Priority::critical), now);
    const double at = now;
    while (now < at + 2 * kBegin && !c.d.begun(large.spec.id)) c.second(now++, 4 * machines);
    EXPECT_LE(now - at, kBegin);
  }
}

// There is room enough, and the team's limit is taken by small tasks one by one.
TEST(Reservations, ATeamsLimitIsKeptFreeForALargeTask) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    Crowd c(seed, 3, 6);
    double now = 1;
    for (; now < 60; ++now) c.second(now, 6);
    const auto large = c.d.submit(sized(1, 4, wire::Priority::standard), now);
    const double at = now;
    while (now < at + 2 * kBegin && !c.d.begun(large.spec.id)) c.second(now++, 6);
    EXPECT_LE(now - at, kBegin);
  }
}

// What a reservation keeps free is used again before others have waited beside it for 90 s, though
// what it waits for runs for much longer than was estimated.
TEST(Reservations, RoomIsNotKeptForLong) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.submit(sized(1, 1, wire::Priority::standard), 0);
  d.pass_second(1);
  ASSERT_EQ(d.live_tasks("m-1"), 1u);
  d.workers.at("m-1").tasks[0].ends_at = 1e9;
  const auto large = d.submit(sized(2, 4, wire::Priority::standard), 2);
  double now = 2, longest = 0;
  for (int n = 3; n < 40; ++n) {
    const auto small = d.submit(sized(n, 1, wire::Priority::standard), now);
    const double at = now;
    do d.pass_second(++now);
    while (!d.begun(small.spec.id) && now - at < 200);
    longest = std::max(longest, now - at);
  }
  EXPECT_GT(longest, 20);  // room was kept, by a reservation or the list's order
  EXPECT_LT(longest, 90);
  EXPECT_FALSE(d.begun(large.spec.id));
}

// Replicas have no end: one on each machine kept every machine from a task that needs all of one.
TEST(Reservations, AReplicaMakesRoomForWhatNeedsAWholeMachine) {
  SchedulerSite d;
  d.machine("m-1", 0);
  d.machine("m-2", 0);
  // One on each: the second comes when the first machine is full for a while.
  d.submit(sized(1, 3, wire::Priority::standard), 0);
  const auto one = d.job(2, 1, 1, true, 0);
  d.pass_second(1);
  d.submit(sized(3, 3, wire::Priority::standard), 1);
  const auto other = d.job(4, 1, 1, true, 1);
  d.pass_second(2);
  ASSERT_EQ(d.live_tasks("m-1"), 2u);
  ASSERT_EQ(d.live_tasks("m-2"), 2u);
  const auto large = d.submit(sized(5, 4, wire::Priority::critical), 2);
  double now = 2;
  while (now < 2 + 2 * kBegin && !d.begun(large.spec.id)) d.pass_second(++now);
  EXPECT_LE(now - 2, kBegin);
  for (int i = 0; i < 5; ++i) d.pass_second(++now);
  // Both replicas run, one of them elsewhere than before.
  std::map<std::string, int> live;
  for (const auto& [name, k] : d.workers)
    for (const auto& task : k.tasks) live[task.id.job] += task.state == TaskState::running;
  EXPECT_EQ(live[one.spec.id], 1);
  EXPECT_EQ(live[other.spec.id], 1);
}

}  // namespace
}  // namespace shunttrail::test

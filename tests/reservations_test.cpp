// Tests of reservations for large tasks of jobs that have waited long (docs/design.md, X14).
#include <gtest/gtest.h>

#include "scheduler_fixture.h"

namespace shunttrail::test {
namespace {

// Time, in seconds, within which the large task must have started.
constexpr double kMaxStartDelayS = 240;

wire::JobRecord make_sized_job(int number, double cpus, wire::Priority priority,
                               double estimate_s = 20) {
  auto record = make_job(number, 1, cpus);
  record.spec.spot = false;
  record.spec.priority = priority;
  record.spec.estimate_s = estimate_s;
  return record;
}

// Submits small tasks, a third of them urgent, faster than they can run.
struct SmallTaskLoad {
  SchedulerSite site;
  int next_job = 100;
  std::mt19937 rng;
  SmallTaskLoad(unsigned seed, int machines, double limit) : rng(seed) {
    site.rng.seed(seed);
    if (limit > 0) site.settings.teams[0].cpus_max = limit;
    for (int i = 0; i < machines; ++i) site.machine("m-" + std::to_string(i + 1), 0);
  }
  void run_second(double now, double vcpus) {
    // Tasks run for 22 s on average, so this rate is 20% above what the capacity can take.
    std::poisson_distribution<int> arrivals(1.2 * vcpus / 22);
    for (int n = arrivals(rng); n > 0; --n)
      site.submit(make_sized_job(next_job++, 1,
                                 rng() % 3 ? wire::Priority::standard : wire::Priority::high),
                  now);
    site.pass_second(now);
  }
};

TEST(Reservations, ALargeTaskStartsWhileSmallOnesKeepArriving) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const int machines = 1 + static_cast<int>(seed % 3);
    SmallTaskLoad load(seed, machines, 0);
    double now = 1;
    for (; now < 60; ++now) load.run_second(now, 4 * machines);
    const auto large = load.site.submit(
        make_sized_job(1, 4, seed % 2 ? wire::Priority::standard : wire::Priority::critical), now);
    const double submitted_at = now;
    while (now < submitted_at + 2 * kMaxStartDelayS && !load.site.begun(large.spec.id))
      load.run_second(now++, 4 * machines);
    EXPECT_LE(now - submitted_at, kMaxStartDelayS);
  }
}

// The machines have enough free capacity, but small tasks take the team's limit one by one.
TEST(Reservations, ATeamsLimitIsKeptFreeForALargeTask) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    SmallTaskLoad load(seed, 3, 6);
    double now = 1;
    for (; now < 60; ++now) load.run_second(now, 6);
    const auto large = load.site.submit(make_sized_job(1, 4, wire::Priority::standard), now);
    const double submitted_at = now;
    while (now < submitted_at + 2 * kMaxStartDelayS && !load.site.begun(large.spec.id))
      load.run_second(now++, 6);
    EXPECT_LE(now - submitted_at, kMaxStartDelayS);
  }
}

// A running task lasts much longer than its estimate, so a reservation that waits for it expires.
// The capacity that it kept free must be used again before another task has waited next to it for
// 90 s.
TEST(Reservations, ReservedCapacityIsUsedAgainWithinNinetySeconds) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.submit(make_sized_job(1, 1, wire::Priority::standard), 0);
  site.pass_second(1);
  ASSERT_EQ(site.live_tasks("m-1"), 1u);
  site.workers.at("m-1").tasks[0].ends_at = 1e9;
  const auto large = site.submit(make_sized_job(2, 4, wire::Priority::standard), 2);
  double now = 2, longest_wait_s = 0;
  for (int n = 3; n < 40; ++n) {
    const auto small = site.submit(make_sized_job(n, 1, wire::Priority::standard), now);
    const double submitted_at = now;
    do site.pass_second(++now);
    while (!site.begun(small.spec.id) && now - submitted_at < 200);
    longest_wait_s = std::max(longest_wait_s, now - submitted_at);
  }
  // Capacity was kept free, by a reservation or by the order of the queue.
  EXPECT_GT(longest_wait_s, 20);
  EXPECT_LT(longest_wait_s, 90);
  EXPECT_FALSE(site.begun(large.spec.id));
}

// Replicas do not end on their own: a replica on each machine would keep a task that needs a whole
// machine waiting forever.
TEST(Reservations, AReplicaMovesForATaskThatNeedsAWholeMachine) {
  SchedulerSite site;
  site.machine("m-1", 0);
  site.machine("m-2", 0);
  // Place one replica on each machine: the second one starts while the first machine is full.
  site.submit(make_sized_job(1, 3, wire::Priority::standard), 0);
  const auto first_service = site.job(2, 1, 1, true, 0);
  site.pass_second(1);
  site.submit(make_sized_job(3, 3, wire::Priority::standard), 1);
  const auto second_service = site.job(4, 1, 1, true, 1);
  site.pass_second(2);
  ASSERT_EQ(site.live_tasks("m-1"), 2u);
  ASSERT_EQ(site.live_tasks("m-2"), 2u);
  const auto large = site.submit(make_sized_job(5, 4, wire::Priority::critical), 2);
  double now = 2;
  while (now < 2 + 2 * kMaxStartDelayS && !site.begun(large.spec.id)) site.pass_second(++now);
  EXPECT_LE(now - 2, kMaxStartDelayS);
  for (int i = 0; i < 5; ++i) site.pass_second(++now);
  // Both replicas still run; one of them has moved.
  std::map<std::string, int> running_tasks;
  for (const auto& [name, worker] : site.workers)
    for (const auto& task : worker.tasks)
      running_tasks[task.id.job] += task.state == TaskState::running;
  EXPECT_EQ(running_tasks[first_service.spec.id], 1);
  EXPECT_EQ(running_tasks[second_service.spec.id], 1);
}

}  // namespace
}  // namespace shunttrail::test

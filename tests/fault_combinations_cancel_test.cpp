// From a confirmed cancellation to the last task of its job: docs/safety.md has the sum.
#include <gtest/gtest.h>

#include <map>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

// A start sent directly is held on its way while its job is cancelled and the worker goes on
// reporting: it can be carried out as late as token and incarnation hold. The token cannot be
// raised, since no such commit is taken, and none of the worker's reports gets through once the
// start has come.
struct HeldStart {
  SimulatedCluster cluster;
  double held_from = -1, told = -1, mute_from = 1e18;
  static ClusterOptions options(double margin) {
    ClusterOptions s;
    s.controllers = 2;
    s.machines = 3;
    s.team_limit = 64;
    s.cancel_s = s.lease_s + margin;
    return s;
  }
  HeldStart(unsigned seed, double margin, double hold_s, bool raises)
      : cluster(seed, options(margin)) {
    cluster.run_for(12);
    // Something runs on every machine, so that they are there, and report now and then only.
    for (int i = 0; i < 6; ++i) cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), 200);
    cluster.run_for(20);
    cluster.sim().delivery_of = [this, delivery_of = cluster.sim().delivery_of,
                                 raises](const simulation::Request& r) {
      auto delivery = delivery_of(r);
      if (r.path == "/agent/beat" && cluster.now() >= mute_from) delivery.arrives = false;
      if (r.path == "/commit" && held_from >= 0 && !raises &&
          r.body.find("{\"set\":\"st/o/") != std::string::npos)
        delivery.refusal_status = 503;
      if (r.path == "/orders" && delivery.request_delay_s > 1 && held_from < 0 &&
          r.body.find("\"start\"") != std::string::npos)
        held_from = cluster.now();
      return delivery;
    };
    for (int m = 0; m < cluster.machines().size(); ++m)
      cluster.faults().hold_direct_commands(m, hold_s);
    mute_from = cluster.now() + hold_s - 0.2;
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i)
      jobs.push_back(cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), 200));
    for (int i = 0; i < 200 && held_from < 0; ++i) cluster.run_for(0.02);
    for (const auto& j : jobs) cluster.users().cancel(j);
    cluster.run_for(hold_s + 60);
    for (const auto& j : jobs)
      told = std::max(told, cluster.users().jobs().at(j).cancelled_reported_at);
    cluster.sim().delivery_of = nullptr;
  }
};

TEST(Cancellation, ADelayedStartDoesNotOutliveIt) {
  for (bool raises : {false, true})
    for (double margin : {5.0, 8.0, 20.0})
      for (double beyond : {2.0, 6.0, 30.0}) {
        SCOPED_TRACE(std::to_string(margin) + ", " + std::to_string(beyond));
        const double cancel_s = ClusterOptions{}.lease_s + margin;
        HeldStart h(3, margin, cancel_s + beyond, raises);
        ASSERT_GE(h.held_from, 0);
        ASSERT_GE(h.told, h.held_from);
        ASSERT_LT(h.told, h.held_from + 1);
        EXPECT_EQ(h.cluster.rules().broken(), std::vector<std::string>{});
      }
}

// A machine hangs with a cancelled task, within its lease, and the leader has just taken over when
// it goes on. Its report is on its way while it answers the new leader's resync request: the report
// has been overtaken, and the answer to it renews the lease. Then nothing gets through to the
// machine.
TEST(Cancellation, AnOvertakenHeartbeatDoesNotKeepItsTasks) {
  int overtaken = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions options;
    options.controllers = 1;
    options.machines = 4;
    options.relay = false;
    SimulatedCluster cluster(seed, options);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i) jobs.push_back(cluster.users().submit(spec("red", 2), 300));
    cluster.run_for(20);
    for (const auto& j : jobs) cluster.users().cancel(j);
    for (int m = 0; m < cluster.machines().size(); ++m) cluster.faults().hang(m, 21);
    const double goes_on = cluster.now() + 21;
    cluster.run_for(sim.draw(13, 19));
    cluster.faults().kill(0, 0.3);
    std::map<std::string, double> greeted;  // when each machine's answer to an order left
    std::map<std::string, int> answered;
    sim.delivery_of = [&, delivery_of = sim.delivery_of](const simulation::Request& r) {
      auto delivery = delivery_of(r);
      if (r.path == "/agent/beat" && cluster.now() >= goes_on) {
        delivery.request_delay_s = 0.8;
        delivery.arrives = answered[r.from] == 0;
      }
      // The resync request is the last direct commands that gets there.
      if (r.path == "/orders" && cluster.now() >= goes_on && greeted.contains(r.to))
        delivery.arrives = false;
      return delivery;
    };
    sim.answer_delay_of = [&, answer_delay_of = sim.answer_delay_of](const simulation::Request& r) {
      if (r.path == "/orders" && cluster.now() >= goes_on) greeted[r.to] = cluster.now();
      if (r.path == "/agent/beat" && cluster.now() >= goes_on && answered[r.from]++ == 0)
        overtaken += greeted.contains(r.from);
      return answer_delay_of(r);
    };
    cluster.run_for(60);
    EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(overtaken, 10);
}

}  // namespace
}  // namespace shunttrail::test

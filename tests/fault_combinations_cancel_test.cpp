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
  SimulatedCluster set;
  double held_from = -1, told = -1, mute_from = 1e18;
  static ClusterOptions scale(double margin) {
    ClusterOptions s;
    s.controllers = 2;
    s.machines = 3;
    s.team_limit = 64;
    s.cancel_s = s.lease_s + margin;
    return s;
  }
  HeldStart(unsigned seed, double margin, double hold_s, bool raises) : set(seed, scale(margin)) {
    set.pass(12);
    // Something runs on every machine, so that they are there, and report now and then only.
    for (int i = 0; i < 6; ++i) set.users().submit(spec(i % 2 ? "red" : "blue", 1), 200);
    set.pass(20);
    set.sim().way = [this, way = set.sim().way, raises](const simulation::Request& r) {
      auto w = way(r);
      if (r.path == "/agent/beat" && set.now() >= mute_from) w.arrives = false;
      if (r.path == "/commit" && held_from >= 0 && !raises &&
          r.body.find("{\"set\":\"st/o/") != std::string::npos)
        w.refused = 503;
      if (r.path == "/orders" && w.there_s > 1 && held_from < 0 &&
          r.body.find("\"start\"") != std::string::npos)
        held_from = set.now();
      return w;
    };
    for (int m = 0; m < set.machines().size(); ++m) set.faults().hold_direct_commands(m, hold_s);
    mute_from = set.now() + hold_s - 0.2;
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i)
      jobs.push_back(set.users().submit(spec(i % 2 ? "red" : "blue", 1), 200));
    for (int i = 0; i < 200 && held_from < 0; ++i) set.pass(0.02);
    for (const auto& j : jobs) set.users().cancel(j);
    set.pass(hold_s + 60);
    for (const auto& j : jobs) told = std::max(told, set.users().jobs().at(j).told_cancelled);
    set.sim().way = nullptr;
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
        EXPECT_EQ(h.set.rules().broken(), std::vector<std::string>{});
      }
}

// A machine hangs with a cancelled task, within its lease, and the owner has just taken over when
// it goes on. Its report is on its way while it answers the new owner's greeting: the report has
// been overtaken, and the answer to it renews the lease. Then nothing gets through to the machine.
TEST(Cancellation, AnOvertakenHeartbeatDoesNotKeepItsTasks) {
  int overtaken = 0;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions scale;
    scale.controllers = 1;
    scale.machines = 4;
    scale.relay = false;
    SimulatedCluster set(seed, scale);
    auto& sim = set.sim();
    set.pass(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i) jobs.push_back(set.users().submit(spec("red", 2), 300));
    set.pass(20);
    for (const auto& j : jobs) set.users().cancel(j);
    for (int m = 0; m < set.machines().size(); ++m) set.faults().hang(m, 21);
    const double goes_on = set.now() + 21;
    set.pass(sim.draw(13, 19));
    set.faults().kill(0, 0.3);
    std::map<std::string, double> greeted;  // when each machine's answer to an order left
    std::map<std::string, int> answered;
    sim.way = [&, way = sim.way](const simulation::Request& r) {
      auto w = way(r);
      if (r.path == "/agent/beat" && set.now() >= goes_on) {
        w.there_s = 0.8;
        w.arrives = answered[r.from] == 0;
      }
      // The greeting is the last direct order that gets there.
      if (r.path == "/orders" && set.now() >= goes_on && greeted.contains(r.to)) w.arrives = false;
      return w;
    };
    sim.hold_answer = [&, hold = sim.hold_answer](const simulation::Request& r) {
      if (r.path == "/orders" && set.now() >= goes_on) greeted[r.to] = set.now();
      if (r.path == "/agent/beat" && set.now() >= goes_on && answered[r.from]++ == 0)
        overtaken += greeted.contains(r.from);
      return hold(r);
    };
    set.pass(60);
    EXPECT_EQ(set.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(overtaken, 10);
}

}  // namespace
}  // namespace shunttrail::test

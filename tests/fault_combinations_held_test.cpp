// Starts that are held up while their job is cancelled.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

// A start that is sent straight to a machine as it begins to hang, and whose job is cancelled at
// once. The machine goes on within its lease for a moment, in which it reports what it had, is
// answered, and takes the start; and it hangs again within the lease that this answer has renewed.
TEST(FaultCombinations, AStartHeldByAMachineThatHangsTwiceIsGoneInTime) {
  int hung = 0, obeyed_late = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions scale;
    scale.controllers = 2;
    SimulatedCluster set(seed, scale);
    std::map<std::string, double> reported;  // when each machine last sent a report
    std::string job;
    bool done = false;
    set.sim().way = [&, way = set.sim().way](const simulation::Request& r) {
      if (r.path == "/agent/beat") reported[r.from] = set.now();
      if (done || job.empty() || r.path != "/orders" || r.body.find(job + "/") == std::string::npos)
        return way(r);
      done = true;
      const int machine = set.machine_at(r.to);
      set.cancel(job);
      const double first = reported[r.to] + scale.lease_s - 0.3 - set.now();
      set.hang(machine, first);
      set.sim().at(set.now() + first + 0.05,
                   [&set, machine, &scale] { set.hang(machine, scale.lease_s - 0.3); });
      return way(r);
    };
    set.pass(12);
    set.submit(spec("red", 5), 200);  // so that machines with room are there
    set.pass(20 + set.sim().draw(0, 5));
    job = set.submit(spec("red", 1), 60);
    set.pass(120);
    hung += done;
    obeyed_late += set.after_cancel().obeyed > 10;
    EXPECT_EQ(set.broken(), std::vector<std::string>{});
  }
  EXPECT_GT(hung, 20);
  EXPECT_GT(obeyed_late, 10);
}

// The same on its way: the start arrives some seconds late, while the machine reports as ever, and
// the machine then hangs once, within the lease that its last report has earned.
TEST(FaultCombinations, AStartHeldOnItsWayToAMachineThatThenHangsIsGoneInTime) {
  int held = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions scale;
    scale.controllers = 2;
    scale.cancel_s = scale.lease_s + 5;
    scale.heartbeat_s = 2 + seed % 7;
    SimulatedCluster set(seed, scale);
    std::map<std::string, double> reported;  // when each machine last sent a report
    std::string job;
    bool done = false;
    set.sim().way = [&, way = set.sim().way](const simulation::Request& r) {
      if (r.path == "/agent/beat") reported[r.from] = set.now();
      if (done || job.empty() || r.path != "/orders" || r.body.find(job + "/") == std::string::npos)
        return way(r);
      done = true;
      const int machine = set.machine_at(r.to);
      const double late = 0.3 * (1 + seed);
      set.cancel(job);
      set.hold_direct_commands(machine, late);
      set.sim().at(set.now() + late + 0.05, [&, machine, host = r.to] {
        set.hang(machine, reported[host] + scale.lease_s - 0.3 - set.now());
      });
      return way(r);
    };
    set.pass(12);
    set.submit(spec("red", 5), 200);  // so that machines with room are there
    set.pass(20 + set.sim().draw(0, 5));
    job = set.submit(spec("red", 1), 60);
    set.pass(120);
    held += done;
    EXPECT_EQ(set.broken(), std::vector<std::string>{});
  }
  EXPECT_GT(held, 20);
}

}  // namespace
}  // namespace shunttrail::test

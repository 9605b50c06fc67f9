// Starts that are held up while their job is cancelled.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "meetings.h"

namespace shunt::test {
namespace {

// A start sent straight to a machine arrives some seconds late, while the machine reports as ever;
// its job is cancelled meanwhile. The machine then hangs, within the lease that its last report has
// earned.
TEST(Meetings, AStartHeldOnItsWayToAMachineThatThenHangsIsGoneInTime) {
  int held = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Scale scale;
    scale.controllers = 2;
    scale.cancel_s = scale.lease_s + 5;
    scale.report_s = 2 + seed % 7;
    Set set(seed, scale);
    std::map<std::string, double> reported;  // when each machine last sent a report
    std::string job;
    bool done = false;
    set.sim().way = [&, way = set.sim().way](const rehearsal::Request& r) {
      if (r.path == "/agent/beat") reported[r.from] = set.now();
      if (done || job.empty() || r.path != "/orders" || r.body.find(job + "/") == std::string::npos)
        return way(r);
      done = true;
      const int machine = set.machine_at(r.to);
      const double late = 0.3 * (1 + seed);
      set.cancel(job);
      set.hold_orders(machine, late);
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
}  // namespace shunt::test

// Starts that are held up while their job is cancelled.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

// A cluster of two controllers in which the first direct start of a job meets a fault.
class HeldStart {
 public:
  // When `machine` last sent a heartbeat is known by its host.
  using Fault = std::function<void(HeldStart& start, int machine, const std::string& host)>;

  HeldStart(unsigned seed, const ClusterOptions& options) : cluster(seed, options) {}

  // Submits a job once machines with room are there; as its start is sent, its user cancels it and
  // the fault begins.
  void play(const Fault& fault) {
    cluster.sim().delivery_of =
        [this, fault, delivery_of = cluster.sim().delivery_of](const simulation::Request& r) {
          if (r.path == "/agent/beat") reported_[r.from] = cluster.now();
          if (!met && is_start(r)) {
            met = true;
            fault(*this, cluster.machines().find_host(r.to), r.to);
          }
          return delivery_of(r);
        };
    cluster.run_for(12);
    cluster.users().submit(spec("red", 5), 200);  // so that machines with room are there
    cluster.run_for(20 + cluster.sim().draw(0, 5));
    job_ = cluster.users().submit(spec("red", 1), 60);
    cluster.run_for(120);
  }

  void cancel() { cluster.users().cancel(job_); }
  // Until just before the end of the lease that the last heartbeat from this host has earned.
  double until_lease_end(const std::string& host) {
    return reported_[host] + cluster.options().lease_s - 0.3 - cluster.now();
  }

  SimulatedCluster cluster;
  bool met = false;  // the start has met the fault

 private:
  bool is_start(const simulation::Request& r) const {
    return !job_.empty() && r.path == "/orders" && r.body.find(job_ + "/") != std::string::npos;
  }

  std::string job_;
  std::map<std::string, double> reported_;  // when each machine last sent a heartbeat, by host
};

// A start that is sent straight to a machine as it begins to hang, and whose job is cancelled at
// once. The machine goes on within its lease for a moment, in which it reports what it had, is
// answered, and takes the start; and it hangs again within the lease that this answer has renewed.
TEST(FaultCombinations, AStartHeldByAMachineThatHangsTwiceIsGoneInTime) {
  int hung = 0, obeyed_late = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions options;
    options.controllers = 2;
    HeldStart start(seed, options);
    start.play([&](HeldStart& s, int machine, const std::string& host) {
      s.cancel();
      const double first = s.until_lease_end(host);
      s.cluster.faults().hang(machine, first);
      s.cluster.sim().at(s.cluster.now() + first + 0.05, [&s, machine, &options] {
        s.cluster.faults().hang(machine, options.lease_s - 0.3);
      });
    });
    hung += start.met;
    obeyed_late += start.cluster.rules().after_cancel().start_executed > 10;
    EXPECT_EQ(start.cluster.rules().broken(), std::vector<std::string>{});
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
    ClusterOptions options;
    options.controllers = 2;
    options.cancel_s = options.lease_s + 5;
    options.heartbeat_s = 2 + seed % 7;
    HeldStart start(seed, options);
    start.play([&](HeldStart& s, int machine, const std::string& host) {
      const double late = 0.3 * (1 + seed);
      s.cancel();
      s.cluster.faults().hold_direct_commands(machine, late);
      s.cluster.sim().at(s.cluster.now() + late + 0.05, [&s, machine, host] {
        s.cluster.faults().hang(machine, s.until_lease_end(host));
      });
    });
    held += start.met;
    EXPECT_EQ(start.cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(held, 20);
}

}  // namespace
}  // namespace shunttrail::test

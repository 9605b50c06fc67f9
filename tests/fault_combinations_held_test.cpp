// Start commands that are delayed while their job is cancelled.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

// A cluster in which a fault begins with the first direct start command of a job.
class DelayedStart {
 public:
  // Called as the start is sent to `machine`, whose worker runs on `host`.
  using Fault = std::function<void(DelayedStart& start, int machine, const std::string& host)>;

  DelayedStart(unsigned seed, const ClusterOptions& options) : cluster(seed, options) {}

  // Submits a job once there are machines with free capacity, and begins the fault as its start
  // command is sent.
  void play(const Fault& fault) {
    cluster.sim().delivery_of =
        [this, fault, delivery_of = cluster.sim().delivery_of](const simulation::Request& request) {
          if (request.path == "/agent/beat") last_heartbeat_at_[request.from] = cluster.now();
          if (!fault_began && is_start(request)) {
            fault_began = true;
            fault(*this, cluster.machines().find_host(request.to), request.to);
          }
          return delivery_of(request);
        };
    cluster.run_for(12);
    cluster.users().submit(spec("red", 5), 200);  // so that machines with free capacity exist
    cluster.run_for(20 + cluster.sim().draw(0, 5));
    job_ = cluster.users().submit(spec("red", 1), 60);
    cluster.run_for(120);
  }

  void cancel() { cluster.users().cancel(job_); }
  // Returns the time until 0.3 s before the end of the lease that the last heartbeat from this host
  // renews.
  double seconds_until_lease_end(const std::string& host) {
    return last_heartbeat_at_[host] + cluster.options().lease_s - 0.3 - cluster.now();
  }

  SimulatedCluster cluster;
  bool fault_began = false;  // whether the start command has been sent

 private:
  bool is_start(const simulation::Request& request) const {
    return !job_.empty() && request.path == "/orders" &&
           request.body.find(job_ + "/") != std::string::npos;
  }

  std::string job_;
  std::map<std::string, double> last_heartbeat_at_;  // by host
};

// A start command is sent to a machine as it begins to hang, and its job is cancelled at once. The
// machine resumes within its lease for a moment, in which its heartbeat is answered and it accepts
// the start. Then it hangs again, for less than the lease that this answer has renewed.
TEST(FaultCombinations, AStartDelayedByAMachineThatHangsTwiceIsStoppedInTime) {
  int histories_with_hang = 0, executed_late = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions options;
    options.controllers = 2;
    DelayedStart start(seed, options);
    start.play([&](DelayedStart& scenario, int machine, const std::string& host) {
      scenario.cancel();
      const double first = scenario.seconds_until_lease_end(host);
      scenario.cluster.faults().hang(machine, first);
      scenario.cluster.sim().at(scenario.cluster.now() + first + 0.05,
                                [&scenario, machine, &options] {
                                  scenario.cluster.faults().hang(machine, options.lease_s - 0.3);
                                });
    });
    histories_with_hang += start.fault_began;
    executed_late += start.cluster.rules().after_cancel().start_executed > 10;
    EXPECT_EQ(start.cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(histories_with_hang, 20);
  EXPECT_GT(executed_late, 10);
}

// The start command is delayed by some seconds in transit while the machine sends heartbeats as
// usual. Then the machine hangs once, for less than the lease that its last heartbeat renews.
TEST(FaultCombinations, AStartDelayedInTransitToAMachineThatThenHangsIsStoppedInTime) {
  int histories_with_delay = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    ClusterOptions options;
    options.controllers = 2;
    options.cancel_s = options.lease_s + 5;
    options.heartbeat_s = 2 + seed % 7;
    DelayedStart start(seed, options);
    start.play([&](DelayedStart& scenario, int machine, const std::string& host) {
      const double delay_s = 0.3 * (1 + seed);
      scenario.cancel();
      scenario.cluster.faults().hold_direct_commands(machine, delay_s);
      scenario.cluster.sim().at(
          scenario.cluster.now() + delay_s + 0.05, [&scenario, machine, host] {
            scenario.cluster.faults().hang(machine, scenario.seconds_until_lease_end(host));
          });
    });
    histories_with_delay += start.fault_began;
    EXPECT_EQ(start.cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(histories_with_delay, 20);
}

}  // namespace
}  // namespace shunttrail::test

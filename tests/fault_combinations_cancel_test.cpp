// The time from a confirmed cancellation to the exit of the job's last task. docs/safety.md has the
// calculation.
#include <gtest/gtest.h>

#include <map>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

// A direct start command is delayed while its job is cancelled and the worker still sends
// heartbeats. It can be executed for as long as token and incarnation stay valid. Unless
// `token_advances`, the leader cannot advance its token, since the state service refuses that
// transaction. Once the start has arrived, the worker's heartbeats are lost.
struct DelayedStart {
  SimulatedCluster cluster;
  double start_sent_at = -1, cancelled_reported_at = -1, heartbeats_lost_from = 1e18;
  static ClusterOptions options(double margin_s) {
    ClusterOptions options;
    options.controllers = 2;
    options.machines = 3;
    options.team_limit = 64;
    options.cancel_s = options.lease_s + margin_s;
    return options;
  }
  DelayedStart(unsigned seed, double margin_s, double hold_s, bool token_advances)
      : cluster(seed, options(margin_s)) {
    cluster.run_for(12);
    // A task on every machine keeps the machines rented and their heartbeats infrequent.
    for (int i = 0; i < 6; ++i) cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), 200);
    cluster.run_for(20);
    cluster.sim().delivery_of = [this, delivery_of = cluster.sim().delivery_of,
                                 token_advances](const simulation::Request& request) {
      auto delivery = delivery_of(request);
      if (request.path == "/agent/beat" && cluster.now() >= heartbeats_lost_from)
        delivery.arrives = false;
      if (request.path == "/commit" && start_sent_at >= 0 && !token_advances &&
          request.body.find("{\"set\":\"st/o/") != std::string::npos)
        delivery.refusal_status = 503;
      if (request.path == "/orders" && delivery.request_delay_s > 1 && start_sent_at < 0 &&
          request.body.find("\"start\"") != std::string::npos)
        start_sent_at = cluster.now();
      return delivery;
    };
    for (int machine = 0; machine < cluster.machines().size(); ++machine)
      cluster.faults().hold_direct_commands(machine, hold_s);
    heartbeats_lost_from = cluster.now() + hold_s - 0.2;
    std::vector<std::string> jobs;
    for (int i = 0; i < 4; ++i)
      jobs.push_back(cluster.users().submit(spec(i % 2 ? "red" : "blue", 1), 200));
    for (int i = 0; i < 200 && start_sent_at < 0; ++i) cluster.run_for(0.02);
    for (const auto& job : jobs) cluster.users().cancel(job);
    cluster.run_for(hold_s + 60);
    for (const auto& job : jobs)
      cancelled_reported_at =
          std::max(cancelled_reported_at, cluster.users().jobs().at(job).cancelled_reported_at);
    cluster.sim().delivery_of = nullptr;
  }
};

TEST(Cancellation, ADelayedStartIsStoppedWithinCancelS) {
  for (bool token_advances : {false, true})
    for (double margin_s : {5.0, 8.0, 20.0})
      for (double excess_s : {2.0, 6.0, 30.0}) {
        SCOPED_TRACE(std::to_string(margin_s) + ", " + std::to_string(excess_s));
        const double cancel_s = ClusterOptions{}.lease_s + margin_s;
        DelayedStart scenario(3, margin_s, cancel_s + excess_s, token_advances);
        ASSERT_GE(scenario.start_sent_at, 0);
        ASSERT_GE(scenario.cancelled_reported_at, scenario.start_sent_at);
        ASSERT_LT(scenario.cancelled_reported_at, scenario.start_sent_at + 1);
        EXPECT_EQ(scenario.cluster.rules().broken(), std::vector<std::string>{});
      }
}

// A machine with a cancelled task hangs for less than its lease, and a new leader has taken over
// when it resumes. The machine's heartbeat is in transit while it answers the new leader's resync
// request, which overtakes the heartbeat. The response to the overtaken heartbeat renews the lease.
// After that no message reaches the machine.
TEST(Cancellation, AnOvertakenHeartbeatDoesNotExtendCancelledTasks) {
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
    for (const auto& job : jobs) cluster.users().cancel(job);
    for (int machine = 0; machine < cluster.machines().size(); ++machine)
      cluster.faults().hang(machine, 21);
    const double resumes_at = cluster.now() + 21;
    cluster.run_for(sim.draw(13, 19));
    cluster.faults().kill(0, 0.3);
    std::map<std::string, double>
        order_answered_at;  // when each machine answered an order, by host
    std::map<std::string, int> heartbeats_answered;
    sim.delivery_of = [&, delivery_of = sim.delivery_of](const simulation::Request& request) {
      auto delivery = delivery_of(request);
      if (request.path == "/agent/beat" && cluster.now() >= resumes_at) {
        delivery.request_delay_s = 0.8;
        delivery.arrives = heartbeats_answered[request.from] == 0;
      }
      // The resync request is the last direct command that arrives.
      if (request.path == "/orders" && cluster.now() >= resumes_at &&
          order_answered_at.contains(request.to))
        delivery.arrives = false;
      return delivery;
    };
    sim.answer_delay_of = [&, answer_delay_of =
                                  sim.answer_delay_of](const simulation::Request& request) {
      if (request.path == "/orders" && cluster.now() >= resumes_at)
        order_answered_at[request.to] = cluster.now();
      if (request.path == "/agent/beat" && cluster.now() >= resumes_at &&
          heartbeats_answered[request.from]++ == 0)
        overtaken += order_answered_at.contains(request.from);
      return answer_delay_of(request);
    };
    cluster.run_for(60);
    EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(overtaken, 10);
}

}  // namespace
}  // namespace shunttrail::test

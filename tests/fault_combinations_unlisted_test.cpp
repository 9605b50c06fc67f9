// Machines that leave the cloud at the moment at which the controllers end, so that no later
// process of a controller has ever seen them in the cloud's list, while leader after leader ends.
#include <gtest/gtest.h>

#include "named_faults.h"

namespace shunttrail::test {
namespace {

using Strings = std::vector<std::string>;

constexpr double kStartS = 12;       // until all controllers serve
constexpr double kBackAfterS = 0.3;  // from the end of a process to its restart
constexpr double kLimitS = 300;      // in which an accepted job has to be done
constexpr int kShard = 0;

// One machine at a time, with the protocol times of a local cluster (deploy/local.xml).
ClusterOptions one_machine_options() {
  ClusterOptions options;
  options.machines = 1;
  options.teams = 1;
  options.heartbeat_s = 1;
  options.lease_s = 6;
  options.cancel_s = 14;
  options.list_lag_s = 1;
  return options;
}

void kill_all_controllers(SimulatedCluster& cluster) {
  for (int node = 0; node < cluster.controllers().count(); ++node)
    cluster.faults().kill(node, kBackAfterS);
}

bool is_done(const SimulatedCluster& cluster, const std::string& job) {
  return cluster.users().jobs().at(job).done_reported_at >= 0;
}

// Kills the shard's leader every `lifetime_s` until the job is done, for kLimitS at most. Returns
// whether the job is done.
bool becomes_done_while_leaders_end(SimulatedCluster& cluster, const std::string& job,
                                    double lifetime_s) {
  const double until = cluster.now() + kLimitS;
  while (cluster.now() < until && !is_done(cluster, job)) {
    cluster.run_for(lifetime_s);
    const int leader = cluster.controllers().leader(kShard);
    if (leader >= 0) cluster.faults().kill(leader, kBackAfterS);
  }
  return is_done(cluster, job);
}

// The cloud reclaims the only machine while it runs the job's tasks.
void expect_tasks_run_elsewhere(double lifetime_s) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, one_machine_options());
    cluster.run_for(kStartS);
    const std::string job = cluster.users().submit(spec("red", 4), 20);
    cluster.run_for(10);
    ASSERT_EQ(cluster.machines().with_job(job).size(), 1u);
    kill_all_controllers(cluster);
    cluster.faults().reclaim_machine(0, 0);
    EXPECT_TRUE(becomes_done_while_leaders_end(cluster, job, lifetime_s));
    EXPECT_EQ(cluster.rules().broken(), Strings{});
  }
}

// No leader lives until the machine's silence proves that its tasks have stopped.
TEST(UnlistedMachines, TasksRunElsewhereWhileLeadersEndBeforeLeasesDo) {
  expect_tasks_run_elsewhere(9);
}

// The tasks are free to start again, but no leader lives until the machine's boot time-out, and
// until then they would wait for that machine.
TEST(UnlistedMachines, TasksRunElsewhereWhileLeadersEndBeforeTheBootTimeout) {
  expect_tasks_run_elsewhere(20);
}

}  // namespace
}  // namespace shunttrail::test

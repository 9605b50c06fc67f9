// A state service that lowers its size limits to the announced ones, while jobs wait whose records
// are about as long as the lower limits allow.
#include <gtest/gtest.h>

#include "named_faults.h"
#include "wire/record_codec.h"

namespace shunttrail::test {
namespace {

using Strings = std::vector<std::string>;

constexpr double kStartS = 12;  // until all controllers serve
// A job may wait for this long beside free capacity.
constexpr double kMaxWaitS = 90;
constexpr std::size_t kLimitBytes = 2048;  // of a value, once the limits are lowered
constexpr std::size_t kMaxPadding = 60;    // of a job's class
// Sizes that are tried below the limit: a record grew by fewer bytes when its job became ready.
constexpr std::size_t kLongestGrowth = 20;
// Any time of day that a record holds has at most this many characters.
constexpr double kLongestTimeOfDay = 1796364123.1234567;

constexpr simulation::StateSizeLimits kFirstLimits{4, 12};
constexpr simulation::StateSizeLimits kLowerLimits{2, 4};

ClusterOptions limits_with_announced(const simulation::StateSizeLimits& announced) {
  ClusterOptions options;
  options.state_sizes = kFirstLimits;
  options.next_state_sizes = announced;
  return options;
}

// Returns a job that names so many machine types that its record has `bytes` while it waits for
// `needed`. All ids of a history have the same length.
wire::JobSpec spec_with_record(std::size_t bytes, const std::string& needed) {
  wire::JobRecord record{spec("red", 1), kLongestTimeOfDay};
  record.spec.id = needed;
  record.spec.dependencies = {needed};
  const auto missing = [&] { return bytes - wire::encode_record(record).size(); };
  record.spec.types = {"t4"};
  while (missing() > kMaxPadding) record.spec.types->push_back("a-machine-type-of-another-zone");
  record.spec.job_class += std::string(missing(), '-');
  return record.spec;
}

wire::JobSpec spec_after(const std::string& needed) {
  wire::JobSpec job = spec("red", 1);
  job.dependencies = {needed};
  return job;
}

Strings not_done(const SimulatedCluster& cluster, const Strings& jobs) {
  Strings waiting;
  for (const auto& job : jobs)
    if (cluster.users().jobs().at(job).done_reported_at < 0) waiting.push_back(job);
  return waiting;
}

// Guards against accepted jobs that never become ready once the state service's limits are lowered,
// since the record of a ready job was longer than that of a waiting one, and against jobs that wait
// behind such a job.
TEST(StateLimits, JobsAtTheLimitBecomeReadyAfterTheLimitsAreLowered) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, limits_with_announced(kLowerLimits));
    cluster.run_for(kStartS);
    const std::string needed = cluster.users().submit(spec("red", 1), 20);
    cluster.run_for(2);
    Strings jobs;
    for (std::size_t below = 0; below <= kLongestGrowth; ++below)
      jobs.push_back(cluster.users().submit(spec_with_record(kLimitBytes - below, needed), 1));
    for (int i = 0; i < 3; ++i) jobs.push_back(cluster.users().submit(spec_after(needed), 1));
    cluster.run_for(2);
    for (const auto& job : jobs) EXPECT_TRUE(cluster.users().jobs().at(job).accepted);
    ASSERT_EQ(not_done(cluster, {needed}), Strings{needed});
    cluster.faults().change_state_limits(kLowerLimits);
    cluster.run_for(20 + kMaxWaitS);
    EXPECT_EQ(not_done(cluster, jobs), Strings{});
    EXPECT_EQ(cluster.oversized_transactions(), 0u);
    EXPECT_EQ(cluster.rules().broken(), Strings{});
  }
}

// Guards against jobs that wait behind one whose record the state service no longer accepts in any
// form, since its limits are lower than announced. That job stays known, and becomes ready once its
// record is accepted again.
TEST(StateLimits, AJobAboveTheLimitsKeepsNoOtherJobWaiting) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, limits_with_announced(kFirstLimits));
    cluster.run_for(kStartS);
    const std::string needed = cluster.users().submit(spec("red", 1), 20);
    cluster.run_for(2);
    // In the order of ids, which is that of the submissions, the long jobs come first.
    Strings too_long, others;
    for (int i = 0; i < 3; ++i)
      too_long.push_back(cluster.users().submit(spec_with_record(3000, needed), 1));
    for (int i = 0; i < 8; ++i) others.push_back(cluster.users().submit(spec_after(needed), 1));
    cluster.run_for(2);
    cluster.faults().change_state_limits(kLowerLimits);
    cluster.run_for(20 + kMaxWaitS);
    EXPECT_EQ(not_done(cluster, others), Strings{});
    EXPECT_EQ(not_done(cluster, too_long), too_long);
    cluster.faults().change_state_limits(kFirstLimits);
    cluster.run_for(kMaxWaitS);
    EXPECT_EQ(not_done(cluster, too_long), Strings{});
    cluster.query_all_controllers();
    EXPECT_EQ(cluster.rules().broken(), Strings{});
  }
}

// Submits jobs with up to 40 tasks, most of which wait for earlier ones.
void submit_pipeline(SimulatedCluster& cluster, int count, Strings& jobs) {
  auto& sim = cluster.sim();
  for (int i = 0; i < count; ++i) {
    const auto tasks = static_cast<std::uint32_t>(1 + sim.rng()() % 40);
    wire::JobSpec job = spec(sim.chance(0.5) ? "red" : "blue", tasks);
    if (!jobs.empty() && sim.chance(0.7)) job.dependencies = {jobs[sim.rng()() % jobs.size()]};
    jobs.push_back(cluster.users().submit(std::move(job), sim.draw(1, 4)));
    cluster.run_for(sim.draw(0, 2));
  }
}

// Guards against any record that is written under the first limits and can't be rewritten under
// lower ones: the limits are lowered amid work, as announced or not, and the leader ends.
TEST(StateLimits, WorkGoesOnAfterTheLimitsAreLowered) {
  each_seed(10, [](unsigned seed) {
    const bool is_announced = seed % 2 == 0;
    SimulatedCluster cluster(seed,
                             limits_with_announced(is_announced ? kLowerLimits : kFirstLimits));
    cluster.run_for(kStartS);
    Strings jobs;
    submit_pipeline(cluster, 12, jobs);
    cluster.faults().change_state_limits(kLowerLimits);
    submit_pipeline(cluster, 6, jobs);
    cluster.faults().kill(cluster.controllers().random_leader(), cluster.sim().draw(0.2, 10));
    submit_pipeline(cluster, 6, jobs);
    cluster.run_for(20);
    cluster.rules().faults_have_ended();
    cluster.run_for(400);
    cluster.query_all_controllers();
    EXPECT_EQ(not_done(cluster, jobs), Strings{});
    EXPECT_EQ(cluster.rules().broken(), Strings{});
    if (is_announced) {
      EXPECT_EQ(cluster.oversized_transactions(), 0u);
    }
  });
}

}  // namespace
}  // namespace shunttrail::test

// Waiting tasks that run on another shard's machines (docs/delegation.md), while there are faults
// of both leaders, of the state service and of machines, and users cancel jobs.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

using Strings = std::vector<std::string>;

constexpr double kLongestFaultS = 80;
constexpr double kQuietS = 420;  // until every job that can end has ended

const char* const kTeams[] = {"red", "blue", "green", "white"};

// The numbers of transactions that open and close a delegation, as sent to the state service.
struct DelegationWrites {
  int opened = 0, closed = 0;
};

void count_writes(SimulatedCluster& cluster, DelegationWrites& writes) {
  cluster.sim().delivery_of = [delivery_of = cluster.sim().delivery_of,
                               &writes](const simulation::Request& request) {
    if (request.path == "/commit" && request.body.find("\"set\":\"st/j/") != std::string::npos) {
      const bool is_delegated = request.body.find("\"delegation\":") != std::string::npos;
      const bool is_closed = request.body.find("\"closed\":1") != std::string::npos;
      writes.closed += is_closed;
      writes.opened += is_delegated && !is_closed;
    }
    return delivery_of(request);
  };
}

// There are as many machines as teams, and the cloud has no others. A small task of its own holds
// every shard's machine; one team has far more tasks than fit on its machine.
struct BusyTeamScenario {
  DelegationWrites writes;
  SimulatedCluster cluster;
  Strings jobs;

  static ClusterOptions options(unsigned seed) {
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 4);
    options.teams = 4;
    options.machines = 4;
    options.team_limit = seed % 3 == 0 ? 6 : 10;
    return options;
  }

  explicit BusyTeamScenario(unsigned seed) : cluster(seed, options(seed)) {
    count_writes(cluster, writes);
    auto& sim = cluster.sim();
    cluster.run_for(12);
    for (const char* team : kTeams)
      jobs.push_back(cluster.users().submit(spec(team, 1, 1), sim.draw(120, 200)));
    cluster.run_for(12);
    const int busy = static_cast<int>(sim.rng()() % 4);
    for (int i = 0; i < 6; ++i) {
      wire::JobSpec job = spec(kTeams[busy], 1 + sim.rng()() % 4, sim.chance(0.3) ? 2 : 1);
      job.gang = job.tasks > 1 && job.tasks * job.cpus <= 4 && sim.chance(0.2);
      job.same_zone = sim.chance(0.1);
      job.anti_affinity = !job.same_zone && sim.chance(0.1);
      if (sim.chance(0.1)) job.zone = "a";
      if (sim.chance(0.3)) {
        job.checkpoint_s = sim.draw(5, 20);
        job.save_s = sim.draw(1, 8);
      }
      jobs.push_back(cluster.users().submit(job, sim.draw(10, 45)));
    }
    cluster.run_for(sim.draw(18, 26));
  }

  void end_faults_and_finish() {
    ClusterOptions& options = cluster.options();
    options.late_writes = options.lost_answers = options.heartbeat_copies = 0;
    options.copies_for_next_leader = options.max_link_delay_s = 0;
    cluster.rules().faults_have_ended();
    cluster.run_for(kQuietS);
    cluster.query_all_controllers();
  }

  Strings unfinished() const {
    Strings out;
    for (const auto& [id, job] : cluster.users().jobs())
      if (job.accepted && !job.is_end_reported()) out.push_back(describe(cluster, job));
    return out;
  }
};

TEST(Delegation, WithoutFaultsABusyTeamUsesFreeCapacityOfOtherShards) {
  int opened = 0;
  each_seed(12, [&](unsigned seed) {
    BusyTeamScenario scenario(seed);
    scenario.end_faults_and_finish();
    EXPECT_EQ(scenario.cluster.rules().broken(), Strings{});
    EXPECT_EQ(scenario.unfinished(), Strings{});
    EXPECT_EQ(scenario.cluster.rules().restarts_after_completion(), 0u);
    opened += scenario.writes.opened;
  });
  EXPECT_GT(opened, 6);
}

// Two random faults begin twice, while users cancel jobs.
TEST(Delegation, RandomFaultsBreakNoRuleAndLeaveNoJobUnfinished) {
  int seeds = 0, opened = 0, closed = 0;
  each_seed(30, [&](unsigned seed) {
    ++seeds;
    BusyTeamScenario scenario(seed);
    SimulatedCluster& cluster = scenario.cluster;
    auto& sim = cluster.sim();
    std::string names;
    for (int round = 0; round < 2; ++round) {
      for (int i = 0; i < 2; ++i) {
        const NamedFault& fault = named_faults()[sim.rng()() % named_faults().size()];
        names += std::string(fault.name) + " ";
        fault.begin(cluster);
        cluster.run_for(sim.draw(0, 6));
      }
      if (sim.chance(0.5)) faults::cancel_some(cluster, 0.2);
      cluster.run_for(sim.draw(5, 25));
    }
    cluster.run_for(kLongestFaultS);
    scenario.end_faults_and_finish();
    EXPECT_EQ(cluster.rules().broken(), Strings{}) << names;
    EXPECT_EQ(scenario.unfinished(), Strings{}) << names;
    opened += scenario.writes.opened;
    closed += scenario.writes.closed;
  });
  EXPECT_GT(opened, seeds / 2);
  EXPECT_GT(closed, seeds / 4);
}

// One leader or both fail as a delegation is written or its tasks start, while transactions are
// lost, applied late, or applied without an answer.
TEST(Delegation, LeadersFailAtAnyStepOfADelegation) {
  int seeds = 0, delegation_steps = 0;
  each_seed(30, [&](unsigned seed) {
    ++seeds;
    BusyTeamScenario scenario(seed);
    SimulatedCluster& cluster = scenario.cluster;
    auto& sim = cluster.sim();
    if (sim.chance(0.5)) cluster.options().late_writes = sim.draw(0.05, 0.3);
    if (sim.chance(0.5)) cluster.options().lost_answers = sim.draw(0.05, 0.4);
    for (int step = 0; step < 240; ++step) {
      const int writes_before = scenario.writes.opened + scenario.writes.closed;
      cluster.run_for(0.25);
      if (scenario.writes.opened + scenario.writes.closed == writes_before || !sim.chance(0.5))
        continue;
      ++delegation_steps;
      const double delay_s = sim.draw(0, 1.5);
      const bool both = sim.chance(0.3);
      sim.at(sim.now() + delay_s, [&cluster, &sim, both] {
        for (int shard = 0; shard < cluster.options().controllers; ++shard) {
          const int leader = cluster.controllers().leader(shard);
          if (leader < 0 || !(both || sim.chance(0.4))) continue;
          if (sim.chance(0.5))
            cluster.faults().kill(leader, sim.draw(0.05, 12));
          else if (sim.chance(0.5))
            cluster.faults().freeze(leader, sim.draw(1, 20));
          else
            cluster.faults().cut(leader, FaultInjector::state, sim.draw(2, 30));
        }
      });
      if (sim.chance(0.3)) faults::cancel_some(cluster, 0.2);
    }
    cluster.run_for(kLongestFaultS);
    scenario.end_faults_and_finish();
    EXPECT_EQ(cluster.rules().broken(), Strings{});
    EXPECT_EQ(scenario.unfinished(), Strings{});
  });
  EXPECT_GT(delegation_steps, seeds / 2);
}

// Each team is at its quota, and tasks of cancelled jobs are on machines that cannot be reached.
TEST(Delegation, CancelledTasksOnUnreachableMachinesCountAgainstTheQuota) {
  int seeds = 0, opened = 0;
  each_seed(20, [&](unsigned seed) {
    ++seeds;
    BusyTeamScenario scenario(seed * 3);  // the lower quota
    SimulatedCluster& cluster = scenario.cluster;
    auto& sim = cluster.sim();
    for (int round = 0; round < 6; ++round) {
      for (int machine = 0; machine < cluster.machines().size(); ++machine) {
        if (!sim.chance(0.4)) continue;
        const double for_s = sim.draw(3, 40);
        if (sim.chance(0.3))
          cluster.faults().hang(machine, for_s);
        else if (sim.chance(0.5))
          cluster.faults().lose_responses(machine, for_s);
        else
          cluster.faults().cut_heartbeats(machine, for_s);
      }
      faults::cancel_some(cluster, 0.25);
      for (const char* team : kTeams)
        if (sim.chance(0.5)) cluster.users().submit(spec(team, 3, 1), sim.draw(10, 30));
      cluster.run_for(sim.draw(3, 15));
      if (sim.chance(0.4))
        cluster.faults().kill(cluster.controllers().random_leader(), sim.draw(0.05, 10));
    }
    cluster.run_for(kLongestFaultS);
    scenario.end_faults_and_finish();
    EXPECT_EQ(cluster.rules().broken(), Strings{});
    EXPECT_EQ(scenario.unfinished(), Strings{});
    opened += scenario.writes.opened;
  });
  EXPECT_GT(opened, seeds / 2);
}

// Known to fail. A gang's task waits for 90 s with free capacity on another shard's machine while
// other tasks of its gang run or are done. A gang is delegated only as a whole, since its tasks
// find one another by a common attempt, and each shard numbers attempts on its own (`beside_gang` 1
// in its shard's log line from 67 s on; "at 179.255197: neglected: run-100004/1 ... on m-000004").
TEST(Delegation, TheRestOfAGangDoesNotWaitBesideRoom) {
  BusyTeamScenario scenario(427);
  scenario.end_faults_and_finish();
  EXPECT_EQ(scenario.cluster.rules().broken(), Strings{});
}

// Known to fail. A job's record holds one delegation. While a task of the job runs in one shard,
// which has no more free capacity, another task of it waits for 90 s with free capacity in a third
// one
// (`beside_in_progress` 1 from 26 s on; "at 151.747634: neglected: run-100009/1 ... on m-000001").
TEST(Delegation, TasksOfOneJobGoToTwoShardsAtOnce) {
  BusyTeamScenario scenario(238);
  scenario.end_faults_and_finish();
  EXPECT_EQ(scenario.cluster.rules().broken(), Strings{});
}

}  // namespace
}  // namespace shunttrail::test

// Combinations of faults: the product's own controllers in simulated time. The protocol's rules are
// checked on the machines and in the answers to users.
#include "fault_combinations.h"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>

namespace shunttrail::test {
namespace {

const bool kLogsAreOff = [] {
  spdlog::set_level(std::getenv("SHUNT_LOG") ? spdlog::level::info : spdlog::level::off);
  return true;
}();

TEST(FaultCombinations, WithoutFaultsAllJobsComplete) {
  SimulatedCluster cluster(1, ClusterOptions{});
  cluster.run_for(15);
  for (int i = 0; i < 6; ++i) cluster.users().submit(spec(i % 2 ? "red" : "blue", 5), 10);
  cluster.run_for(150);
  for (const auto& [id, job] : cluster.users().jobs()) {
    EXPECT_TRUE(job.accepted) << id;
    EXPECT_GE(job.done_reported_at, 0) << id;
  }
  cluster.query_all_controllers();
  EXPECT_EQ(cluster.rules().broken(), std::vector<std::string>{});
  EXPECT_EQ(cluster.rules().completed_tasks(), 30u);
  EXPECT_EQ(cluster.machines().leases_lost(), 0u);
}

// The fault combination that has broken rules most often. The state service refuses the leader's
// requests while another controller confirms cancellations. Then it has an outage for longer than
// cancel_s, in which the workers still reach the leader. `controllers_cancel_s`: see
// ClusterOptions.
struct LeaderRefusedBeforeOutage {
  SimulatedCluster cluster;
  int cancelled = 0;
  static ClusterOptions options(unsigned seed, double controllers_cancel_s) {
    ClusterOptions options;
    options.controllers = 2 + static_cast<int>(seed % 4);
    options.controllers_cancel_s = controllers_cancel_s;
    return options;
  }
  LeaderRefusedBeforeOutage(unsigned seed, double controllers_cancel_s)
      : cluster(seed, options(seed, controllers_cancel_s)) {
    auto& sim = cluster.sim();
    cluster.run_for(12);
    std::vector<std::string> jobs;
    for (int i = 0; i < 8; ++i)
      jobs.push_back(
          cluster.users().submit(spec(i % 2 ? "red" : "blue", 1 + i % 3), sim.draw(90, 160)));
    cluster.run_for(sim.draw(8, 25));
    const int leader = cluster.controllers().leader(0);
    const double until_outage_s = sim.draw(1, 14);  // time until the outage for all controllers
    if (leader < 0) return;
    cluster.faults().refuse(leader, until_outage_s + sim.draw(0, 30));
    // Jobs are cancelled in every state of a task; some have only just been submitted.
    const double first = sim.draw(0, 0.8 * until_outage_s);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      if (!sim.chance(0.8)) continue;
      ++cancelled;
      const int other =
          (leader + 1 + static_cast<int>(sim.rng()() % (cluster.options().controllers - 1))) %
          cluster.options().controllers;
      sim.at(sim.now() + sim.draw(first, until_outage_s),
             [this, id = jobs[i], other] { cluster.users().cancel(id, other); });
    }
    cluster.run_for(until_outage_s);
    const double outage_s = cluster.options().cancel_s + sim.draw(5, 30);
    cluster.faults().outage(outage_s);
    if (sim.chance(0.3))
      cluster.faults().kill((leader + 1) % cluster.options().controllers, sim.draw(0.05, 8));
    if (sim.chance(0.2)) cluster.faults().freeze(leader, sim.draw(1, 20));
    cluster.run_for(outage_s + 40);
  }
};

TEST(FaultCombinations, CancellationsWhileTheLeaderIsRefusedBeforeAnOutageBreakNoRule) {
  int cancelled = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE(seed);
    LeaderRefusedBeforeOutage scenario(seed, 0);
    cancelled += scenario.cancelled;
    scenario.cluster.query_all_controllers();
    ASSERT_EQ(scenario.cluster.rules().broken(), std::vector<std::string>{});
  }
  EXPECT_GT(cancelled, 60 * 4);
}

// The staleness bound S keeps the rule ran_cancelled. Without the bound, or with one that is too
// long by the lease, the rule is broken and the checker reports it.
TEST(FaultCombinations, WithoutTheStalenessBoundCancelledTasksRunTooLong) {
  for (double excess_s : {1e6, 26.5}) {
    int broken = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      LeaderRefusedBeforeOutage scenario(seed, ClusterOptions{}.cancel_s + excess_s);
      for (const auto& violation : scenario.cluster.rules().broken())
        broken += violation.find("ran_cancelled") != std::string::npos;
    }
    EXPECT_GT(broken, 0) << excess_s;
  }
}

// A leader that is cut off from the state service is replaced. It reads of its successor at the
// last moment of S and freezes between that read and any of its next turns. The successor reaches
// none of the old leader's machines and cannot delete them, so that only their silence proves that
// their leases have expired. Answers that the old leader gives when it resumes must not renew a
// lease beyond that proof.
TEST(FaultCombinations, ALeaderFrozenAsItLearnsOfItsSuccessorRenewsNoLease) {
  int taken_over = 0, restarted_tasks = 0;
  for (std::uint64_t turn = 1; turn <= 30; ++turn)
    for (double cut_s : {13.5, 14.5, 15.5}) {
      SCOPED_TRACE(std::to_string(turn) + ", " + std::to_string(cut_s));
      ClusterOptions options;
      options.controllers = 2;
      options.machines = 12;
      options.relay = false;
      SimulatedCluster cluster(static_cast<unsigned>(turn), options);
      cluster.run_for(12);
      for (int i = 0; i < 4; ++i) cluster.users().submit(spec("red", 3), 120);
      cluster.run_for(15);
      const int old_leader = cluster.controllers().leader(0);
      ASSERT_GE(old_leader, 0);
      const std::string successor = "node-" + std::to_string(1 - old_leader);
      const int machines_before = cluster.machines().size();
      const double until = cluster.now() + 100;
      cluster.sim().delivery_of = [delivery_of = cluster.sim().delivery_of, &cluster, successor,
                                   machines_before, until](const simulation::Request& request) {
        auto delivery = delivery_of(request);
        if (cluster.now() > until) return delivery;
        if (request.path == "/rentals/delete") delivery.refusal_status = 503;
        const std::string& other = request.from == successor ? request.to : request.from;
        if (other.starts_with("w-") && (request.from == successor || request.to == successor) &&
            std::stoi(other.substr(2)) <= machines_before)
          delivery.arrives = false;
        return delivery;
      };
      cluster.faults().cut(old_leader, FaultInjector::state | FaultInjector::peers, cut_s);
      cluster.run_for(cut_s - 0.05);
      taken_over += cluster.controllers().leads(1 - old_leader, 0);
      // The first read that shows the successor is being answered.
      auto successor_seen = std::make_shared<bool>(false);
      cluster.sim().answer_delay_of = [answer_delay_of = cluster.sim().answer_delay_of, &cluster,
                                       successor_seen, old_leader,
                                       turn](const simulation::Request& request) {
        const double delay_s = answer_delay_of(request);
        if (!*successor_seen && delay_s >= 0 &&
            request.from == "node-" + std::to_string(old_leader) &&
            request.path.starts_with("/watch")) {
          *successor_seen = true;
          cluster.faults().freeze_after(old_leader, turn, 16.5);
        }
        return delay_s;
      };
      const std::uint64_t starts = cluster.rules().starts();
      cluster.run_for(150);
      restarted_tasks += cluster.rules().starts() > starts;
      ASSERT_EQ(cluster.rules().broken(), std::vector<std::string>{});
    }
  EXPECT_EQ(taken_over, 90);
  EXPECT_GT(restarted_tasks, 20);
}

// The fault combinations that the operators named, each together with other random faults.
struct NamedCombination {
  const char* name;
  std::vector<std::string> faults;
};
void PrintTo(const NamedCombination& combination, std::ostream* out) { *out << combination.name; }
class NamedFaults : public ::testing::TestWithParam<NamedCombination> {};
TEST_P(NamedFaults, BreakNoRuleAndForgetNoJob) {
  unsigned first = 1, last = 25;
  read_seed_range(first, last);
  expect_no_violations(first, last, GetParam().faults);
}
INSTANTIATE_TEST_SUITE_P(
    Operators, NamedFaults,
    ::testing::Values(
        NamedCombination{"OldHeartbeatsAcrossALeaderChange",
                         {"late reports", "leader cut from state"}},
        NamedCombination{"OldHeartbeatsAcrossARestart", {"late reports", "leader ends"}},
        NamedCombination{"ResultsReceivedByALeaderThatCannotPersistThem",
                         {"leader refused alone", "leader ends"}},
        NamedCombination{"SlowThenRefusingThenUnavailableStateService",
                         {"slow state service", "leader refused alone", "outage"}},
        NamedCombination{"LeaderEndsWhileMachinesHang",
                         {"machines hang", "leader ends", "cloud down"}},
        NamedCombination{"LeaderEndsWhileResponsesAreLost",
                         {"machines deaf", "leader ends", "cloud down"}},
        NamedCombination{"LeaderCutWhileMachinesHang",
                         {"machines hang", "leader cut from state", "cloud down"}},
        NamedCombination{"RollingRestartWithAFrozenController",
                         {"roll and back", "a node stands still"}},
        NamedCombination{"AllControllersEndTwice", {"all end", "roll and back"}},
        NamedCombination{"LateWritesAcrossALeaderChange", {"late writes", "leader cut from state"}},
        NamedCombination{"LateWritesAcrossRestarts", {"late writes", "all end"}},
        NamedCombination{"DirectCommandsDelayedWhileMachinesHang",
                         {"direct orders held", "machines hang"}},
        NamedCombination{"DirectCommandsDelayedAndHeartbeatsRelayed",
                         {"direct orders held", "leader cut from workers"}},
        NamedCombination{"LeaderCutFromAllButItsWorkers",
                         {"leader cut from state and peers", "late reports"}},
        NamedCombination{"CancelledWhilePreempted",
                         {"others make room and are cancelled", "leader cut from state"}},
        NamedCombination{
            "SpotMachinesReclaimedWhileTheLeaderEnds",
            {"spot machines are taken", "others make room and are cancelled", "leader ends"}},
        NamedCombination{"HangsBeyondTheLeaseWithCancellations",
                         {"machines hang for long", "many cancelled and their machines hang"}},
        NamedCombination{"RepeatedHangsWhileTheLeaderIsCut",
                         {"machines hang in chains", "many cancelled and their machines hang",
                          "leader cut from state"}},
        NamedCombination{
            "CancelledWhileHeartbeatsAreLost",
            {"machines mute", "many cancelled and their machines hang", "leader ends"}},
        NamedCombination{"WritesAppliedAndNotAnswered",
                         {"writes answered by nothing but done", "leader refused alone"}},
        NamedCombination{"HeartbeatsRepeatedToTheNextLeader",
                         {"reports kept for the next leader", "roll and back"}},
        NamedCombination{"ZoneCutWithItsController",
                         {"a zone cut with its controller", "late reports"}},
        NamedCombination{"AllControllersDownBeyondTheLease",
                         {"all away for longer than the lease", "machines hang"}},
        NamedCombination{"TenLeaderChanges", {"leaders change ten times"}},
        NamedCombination{"PreemptionOverSlowLinks",
                         {"slow links", "others make room and are cancelled"}},
        NamedCombination{"NewMachinesWhileWritesLagAndTheLeaderEnds",
                         {"new machines up at once", "late writes", "leader ends"}},
        NamedCombination{"DirectCommandsAndAnswersDelayedWhileHeartbeatsAreRelayed",
                         {"orders held and reports passed on"}},
        NamedCombination{"LeaderRefusedWithCancellationsThenOutage",
                         {"refused alone with cancellations, then out"}}),
    [](const auto& test) { return std::string(test.param.name); });

// The faults have their intended effects: tasks save checkpoints, and cancelled tasks stay on
// machines for more than 10 s after the confirmation.
TEST(FaultCombinations, TasksSaveAndCancelledOnesOutlastTheirConfirmation) {
  std::uint64_t saves = 0;
  double longest_on_machine_s = 0;
  for (unsigned seed = 1; seed <= 8; ++seed) {
    saves += play_history(seed, {"others make room and are cancelled"}).saves;
    longest_on_machine_s = std::max(
        longest_on_machine_s,
        play_history(seed, {"many cancelled and their machines hang"}).after_cancel.on_machine);
  }
  EXPECT_GT(saves, 0u);
  EXPECT_GT(longest_on_machine_s, 10);
}

// Two or three random faults at a time.
class DrawnFaults : public ::testing::TestWithParam<unsigned> {};
TEST_P(DrawnFaults, BreakNoRuleAndForgetNoJob) {
  unsigned first = GetParam() * 60 + 1, last = first + 59;
  if (read_seed_range(first, last) && GetParam()) GTEST_SKIP() << "the first one plays them all";
  expect_no_violations(first, last);
}
INSTANTIATE_TEST_SUITE_P(Seeds, DrawnFaults, ::testing::Range(0u, 4u));

}  // namespace
}  // namespace shunttrail::test

// Late copies of direct start commands that were carried out and answered before.
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "fault_combinations.h"

namespace shunttrail::test {
namespace {

using Fault = emulators::WorkerEmulator::Fault;

// How the first attempt of the task ends.
enum class End { failed, refused, cancelled, preempted, done };

// A task is started directly, its first attempt ends, and the worker is told to forget the attempt.
// Then a copy of the request with the start arrives at the machine.
class CopiedStart {
 public:
  CopiedStart(unsigned seed, End end) : cluster(seed, options()), end_(end) {}

  // Returns whether a copy has been sent.
  bool play(bool leader_restarts) {
    keep_first_start();
    cluster.run_for(12);
    // One task on each machine leaves it little free capacity, and keeps it rented.
    for (int i = 0; i < kMachines; ++i) cluster.users().submit(urgent_spec(1, 3), 400);
    cluster.run_for(25);
    job_ = cluster.users().submit(job_spec(), end_ == End::done ? 3 : 300);
    end_first_attempt();
    if (!kept_ || !is_forgotten()) return false;
    const int leader = cluster.controllers().leader(0);
    if (leader_restarts && leader >= 0) cluster.faults().kill(leader, 0.2);
    cluster.run_for(0.3);
    const std::uint64_t starts_before = cluster.rules().starts();
    cluster.sim().send_copy(*kept_, {kept_->to, simulation::kWorkerPort});
    cluster.run_for(0.001);
    EXPECT_EQ(cluster.rules().starts(), starts_before);
    cluster.run_for(30);
    return true;
  }

  SimulatedCluster cluster;

 private:
  static constexpr int kMachines = 8;

  static ClusterOptions options() {
    ClusterOptions options;
    options.controllers = 2;
    options.machines = kMachines;
    options.team_limit = 64;
    return options;
  }

  static wire::JobSpec urgent_spec(std::uint32_t tasks, double cpus) {
    wire::JobSpec job = spec("red", tasks, cpus);
    job.priority = wire::Priority::critical;
    return job;
  }

  [[nodiscard]] wire::JobSpec job_spec() const {
    wire::JobSpec job = spec("red", 1);
    job.image_gb = 0.01;  // the task runs at once
    job.service = end_ == End::failed || end_ == End::refused || end_ == End::cancelled;
    if (end_ == End::preempted) job.priority = wire::Priority::idle;
    return job;
  }

  void keep_first_start() {
    cluster.sim().delivery_of =
        [this, delivery_of = cluster.sim().delivery_of](const simulation::Request& request) {
          if (!kept_ && is_start(request)) {
            kept_ = request;
            const int machine = cluster.machines().find_host(request.to);
            if (end_ == End::failed) cluster.faults().make_faulty(machine, Fault::tasks_fail, 3);
            if (end_ == End::refused)
              cluster.faults().make_faulty(machine, Fault::starts_refused, 0.5);
          }
          return delivery_of(request);
        };
  }

  [[nodiscard]] bool is_start(const simulation::Request& request) const {
    return !job_.empty() && request.path == "/orders" &&
           request.body.find("\"start\"") != std::string::npos &&
           request.body.find(job_ + "/") != std::string::npos;
  }

  // Long enough for the attempt's end, its acknowledgement and the start of the next attempt.
  void end_first_attempt() {
    cluster.run_for(4);
    if (end_ == End::cancelled) cluster.users().cancel(job_);
    if (end_ == End::preempted) cluster.users().submit(urgent_spec(2 * kMachines, 1), 100);
    cluster.run_for(40);
  }

  [[nodiscard]] bool is_forgotten() const {
    const auto& worker = cluster.machines()[cluster.machines().find_host(kept_->to)].worker;
    return worker && std::none_of(worker->tasks().begin(), worker->tasks().end(),
                                  [&](const auto& task) { return task.id.job == job_; });
  }

  const End end_;
  std::string job_;
  std::optional<simulation::Request> kept_;  // the first direct start of the job
};

void expect_no_start_by_copies(End end) {
  int copies = 0;
  for (unsigned seed = 1; seed <= 6; ++seed)
    for (const bool leader_restarts : {false, true}) {
      SCOPED_TRACE(std::to_string(seed) + (leader_restarts ? ", the leader restarts" : ""));
      CopiedStart scenario(seed, end);
      copies += scenario.play(leader_restarts);
      const RuleChecker& rules = scenario.cluster.rules();
      EXPECT_EQ(rules.broken(), std::vector<std::string>{});
      EXPECT_EQ(rules.restarts_after_completion(), 0u);
      EXPECT_LT(rules.after_cancel().run_started, 0);
    }
  EXPECT_GT(copies, 6);
}

TEST(StartCopies, DoNotRunAFailedTaskOnASecondMachine) { expect_no_start_by_copies(End::failed); }
TEST(StartCopies, DoNotRunARefusedTaskOnASecondMachine) { expect_no_start_by_copies(End::refused); }
TEST(StartCopies, DoNotRunACancelledTaskAgain) { expect_no_start_by_copies(End::cancelled); }
TEST(StartCopies, DoNotRunAPreemptedTaskAgain) { expect_no_start_by_copies(End::preempted); }
TEST(StartCopies, DoNotRunAFinishedTaskAgain) { expect_no_start_by_copies(End::done); }

// Two or three random faults at a time, among them a leader that restarts.
TEST(StartCopies, InDrawnHistoriesBreakNoRuleAndForgetNoJob) {
  std::uint64_t copied = 0;
  each_seed(24, [&](unsigned seed) {
    ClusterOptions options = random_options(seed);
    options.command_copies = options.command_copies_at_return = 0.5;
    const HistoryResult result =
        HistoryPlayer(seed, {seed % 2 ? "leader ends" : "roll and back"}, options).play();
    copied += result.commands_copied;
    expect_no_violations(seed, result);
  });
  EXPECT_GT(copied, 0u);
}

}  // namespace
}  // namespace shunttrail::test

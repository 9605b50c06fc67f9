/// Random histories with combinations of faults, and the checks of their results.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "named_faults.h"
#include "simulation/simulated_cluster.h"

namespace shunttrail::test {

/// The result of a history.
struct HistoryResult {
  std::vector<std::string> broken;      ///< the broken rules, see RuleChecker::broken
  std::vector<std::string> faults;      ///< names of the faults, in the order of their beginnings
  std::vector<std::string> unfinished;  ///< descriptions of the accepted jobs that have not ended
  std::size_t completed_tasks = 0;
  std::uint64_t restarts_after_completion = 0;  ///< see RuleChecker
  std::uint64_t saves = 0;
  std::uint64_t commands_copied = 0;  ///< see FaultInjector
  RuleChecker::AfterCancel after_cancel;
  std::uint64_t digest = 0;  ///< of the whole history, see Simulation::digest
};

/// Returns options that depend on the seed. A share of the seeds gets any valid protocol times, and
/// a share gets request rates close to what a cluster needs.
inline ClusterOptions random_options(unsigned seed) {
  std::mt19937 rng(seed * 7919u + 17);
  auto draw = [&](double from, double to) {
    return std::uniform_real_distribution<>(from, to)(rng);
  };
  ClusterOptions options;
  options.controllers = 2 + static_cast<int>(seed % 4);
  options.machines = 4 + static_cast<int>(seed % 5);
  if (draw(0, 1) < 0.4) {
    options.heartbeat_s = draw(1, 8);
    options.lease_s = draw(12, 40);
    options.cancel_s = options.lease_s + 5 + (draw(0, 1) < 0.5 ? 0 : draw(0, 20));
  }
  if (draw(0, 1) < 0.3) {
    options.state_rps = draw(60, 150);
    options.state_write_rps = draw(15, 40);
    options.cloud_rps = draw(2, 8);
  }
  return options;
}

/// Returns a job's specification and state for failure messages.
inline std::string describe(const SimulatedCluster& cluster, const SimulatedJob& j) {
  const wire::JobSpec& s = j.spec;
  std::string out = s.id + ": " + s.team + ", priority " +
                    std::to_string(static_cast<int>(s.priority)) + ", " + std::to_string(s.tasks) +
                    " tasks of " + std::to_string(s.cpus) + " vcpus, " + std::to_string(j.run_s) +
                    " s, image " + std::to_string(s.image_gb) + " GB, save time " +
                    std::to_string(s.save_s) + (s.same_zone ? ", one zone" : "") +
                    (s.anti_affinity ? ", anti-affinity" : "") +
                    (s.zone ? ", zone " + *s.zone : "") + (j.cancel_requested ? ", cancelled" : "");
  for (const auto& a : s.dependencies) out += ", depends on " + a;
  for (int m : cluster.machines().with_job(s.id)) out += ", on machine " + std::to_string(m);
  return out;
}

/// Plays one history. Twice, two or three faults begin within a few seconds of each other while
/// users submit, query and cancel jobs. After the end of the faults every controller has to know
/// every accepted job, and every accepted job has to end.
class HistoryPlayer {
 public:
  /// `required_faults`: names of faults that are always among those that begin.
  HistoryPlayer(unsigned seed, std::vector<std::string> required_faults)
      : HistoryPlayer(seed, std::move(required_faults), random_options(seed)) {}
  HistoryPlayer(unsigned seed, std::vector<std::string> required_faults,
                const ClusterOptions& options)
      : required_faults_(std::move(required_faults)), cluster_(seed, options) {}

  HistoryResult play() {
    cluster_.run_for(12);
    submit_jobs(6);
    cluster_.run_for(sim_.draw(5, 20));
    for (int round = 0; round < 2; ++round) {
      begin_faults();
      continue_workload();
    }
    end_faults();
    end_services();
    collect();
    return std::move(result_);
  }

 private:
  // The order of the draws is part of every history's digest.
  wire::JobSpec random_job() {
    const auto tasks = static_cast<std::uint32_t>(1 + sim_.rng()() % 3);
    wire::JobSpec job = spec(sim_.chance(0.5) ? "red" : "blue", tasks);
    job.same_zone = sim_.chance(0.15);
    job.anti_affinity = !job.same_zone && sim_.chance(0.15);
    if (sim_.chance(0.1)) job.zone = "b";
    // A service's tasks run to the end of the history and may hold a zone's machines until then.
    // They have the default size and priority, so that other jobs find free capacity beside them.
    job.service = sim_.chance(0.1);
    if (!job.service) {
      job.priority = static_cast<wire::Priority>(sim_.rng()() % wire::kPriorities);
      if (sim_.chance(0.15)) job.cpus = 2;
    }
    if (sim_.chance(0.1)) job.image_gb = sim_.draw(2, 20);
    if (sim_.chance(0.35)) {
      job.checkpoint_s = sim_.draw(5, 30);
      job.save_s = sim_.draw(2, 25);
    }
    if (sim_.chance(0.25) && !submitted_jobs_.empty()) {
      const std::string& other = random_submitted_job();
      const SimulatedJob& known = cluster_.users().jobs().at(other);
      if (known.accepted && !known.spec.service) job.dependencies = {other};
    }
    return job;
  }

  const std::string& random_submitted_job() {
    return submitted_jobs_[sim_.rng()() % submitted_jobs_.size()];
  }

  void submit_jobs(int count) {
    for (int i = 0; i < count; ++i) {
      wire::JobSpec job = random_job();
      const double run_s = sim_.chance(0.3) ? sim_.draw(30, 60) : sim_.draw(2, 15);
      submitted_jobs_.push_back(cluster_.users().submit(std::move(job), run_s));
    }
  }

  std::vector<std::size_t> random_faults() {
    const auto& all = named_faults();
    std::vector<std::size_t> drawn;
    for (std::size_t n = 0; n < all.size(); ++n)
      if (std::find(required_faults_.begin(), required_faults_.end(), all[n].name) !=
          required_faults_.end())
        drawn.push_back(n);
    EXPECT_EQ(drawn.size(), required_faults_.size());
    std::shuffle(drawn.begin(), drawn.end(), sim_.rng());
    const std::size_t count = 2 + sim_.rng()() % 2;
    while (drawn.size() < count) drawn.push_back(sim_.rng()() % all.size());
    return drawn;
  }

  // Where direct commands are copied, attempts also end early: started ones fail, others are
  // refused.
  void make_machines_faulty() {
    using Fault = emulators::WorkerEmulator::Fault;
    if (cluster_.options().command_copies <= 0 || cluster_.machines().size() == 0) return;
    for (const Fault fault : {Fault::tasks_fail, Fault::starts_refused}) {
      const double for_s = sim_.draw(2, 15);
      cluster_.faults().make_faulty(faults::random_machine(cluster_), fault, for_s);
    }
  }

  void begin_faults() {
    make_machines_faulty();
    for (const std::size_t n : random_faults()) {
      const NamedFault& fault = named_faults()[n];
      result_.faults.emplace_back(fault.name);
      if (cluster_.machines().size() > 0) fault.begin(cluster_);
      cluster_.run_for(sim_.draw(0, 6));
    }
  }

  void continue_workload() {
    for (int i = 0; i < 6; ++i) {
      submit_jobs(static_cast<int>(sim_.rng()() % 3));
      if (sim_.chance(0.6)) cluster_.users().cancel(random_submitted_job());
      cluster_.run_for(sim_.draw(1, 12));
    }
  }

  void end_faults() {
    cluster_.run_for(80);  // longer than the longest fault
    ClusterOptions& options = cluster_.options();
    options.late_writes = options.heartbeat_copies = options.lost_answers = 0;
    options.command_copies = options.command_copies_at_return = 0;
    cluster_.run_for(420);
    cluster_.query_all_controllers();
    machines_after_faults_ = cluster_.rules().describe_machines();
  }

  static bool has_ended(const SimulatedJob& job) {
    return job.spec.service || !job.accepted || job.is_end_reported();
  }

  bool has_services() const {
    const auto& jobs = cluster_.users().jobs();
    return std::any_of(jobs.begin(), jobs.end(), [](const auto& known) {
      const SimulatedJob& job = known.second;
      return job.spec.service && job.accepted && job.cancelled_reported_at < 0;
    });
  }

  // The tasks of services may use all machines of a zone until the services are cancelled. In a
  // history with services an unfinished job without capacity is therefore excused until the
  // services have ended.
  void end_services() {
    const bool with_services = has_services();
    for (const auto& [id, job] : cluster_.users().jobs())
      if (!has_ended(job) && (!with_services || cluster_.rules().has_capacity_for(id)))
        unfinished_despite_capacity_.insert(id);
    for (const auto& [id, job] : cluster_.users().jobs())
      if (job.spec.service) cluster_.users().cancel(id);
    cluster_.run_for(60);
    if (with_services) cluster_.run_for(300);
  }

  void collect() {
    for (const auto& [id, job] : cluster_.users().jobs())
      if (unfinished_despite_capacity_.contains(id) || !has_ended(job))
        result_.unfinished.push_back(describe(cluster_, job));
    if (!result_.unfinished.empty())
      result_.unfinished.push_back("machines: " + machines_after_faults_);
    const RuleChecker& rules = cluster_.rules();
    result_.broken = rules.broken();
    result_.completed_tasks = rules.completed_tasks();
    result_.restarts_after_completion = rules.restarts_after_completion();
    result_.saves = rules.saves();
    result_.after_cancel = rules.after_cancel();
    result_.commands_copied = cluster_.faults().commands_copied();
    result_.digest = cluster_.digest();
  }

  const std::vector<std::string> required_faults_;
  SimulatedCluster cluster_;
  simulation::Simulation& sim_ = cluster_.sim();
  std::vector<std::string> submitted_jobs_;
  // Jobs that had capacity and had not ended after the faults.
  std::set<std::string> unfinished_despite_capacity_;
  std::string machines_after_faults_;  // descriptions of the machines after the end of the faults
  HistoryResult result_;
};

/// Plays the history of this seed. `required_faults`: see HistoryPlayer.
inline HistoryResult play_history(unsigned seed,
                                  const std::vector<std::string>& required_faults = {}) {
  return HistoryPlayer(seed, required_faults).play();
}

/// Returns the names, separated by commas.
inline std::string join_names(const std::vector<std::string>& names) {
  std::string out;
  for (const auto& n : names) out += (out.empty() ? "" : ", ") + n;
  return out;
}

/// Expects that no rule was broken in the history of this seed, every accepted job ended, and no
/// completed task was started again.
inline void expect_no_violations(unsigned seed, const HistoryResult& result) {
  EXPECT_EQ(result.broken, std::vector<std::string>{})
      << "seed " << seed << ": " << join_names(result.faults);
  EXPECT_EQ(result.unfinished, std::vector<std::string>{})
      << "seed " << seed << ": " << join_names(result.faults);
  EXPECT_EQ(result.restarts_after_completion, 0u)
      << "seed " << seed << ": " << join_names(result.faults);
}

/// Plays the histories of the seeds from `first` to `last`, both included. Expects that no rule is
/// broken, every accepted job ends, and no completed task is started again.
inline void expect_no_violations(unsigned first, unsigned last,
                                 const std::vector<std::string>& required_faults = {}) {
  std::size_t completed_tasks = 0;
  RuleChecker::AfterCancel latest;
  for (unsigned seed = first; seed <= last; ++seed) {
    HistoryResult result = play_history(seed, required_faults);
    expect_no_violations(seed, result);
    completed_tasks += result.completed_tasks;
    latest.start_executed = std::max(latest.start_executed, result.after_cancel.start_executed);
    latest.run_started = std::max(latest.run_started, result.after_cancel.run_started);
    latest.on_machine = std::max(latest.on_machine, result.after_cancel.on_machine);
  }
  EXPECT_GT(completed_tasks, (last - first + 1) * 10u);
  // These delays are recorded in the test report; no rule limits them.
  ::testing::Test::RecordProperty("obeyed_after_cancel_s", std::to_string(latest.start_executed));
  ::testing::Test::RecordProperty("begun_after_cancel_s", std::to_string(latest.run_started));
  ::testing::Test::RecordProperty("on_machine_after_cancel_s", std::to_string(latest.on_machine));
}

}  // namespace shunttrail::test

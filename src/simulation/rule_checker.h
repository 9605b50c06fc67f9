/// The rules that a simulated cluster has to keep. They know nothing of the controllers' state:
/// only what is on the machines and what users are told (docs/simulation.md lists them).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulators/worker.h"
#include "net/http.h"
#include "simulation/cluster_options.h"
#include "simulation/job_records.h"
#include "simulation/simulated_machines.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

/// What a user asked for when a controller answered about a job.
enum class UserRequest { state, submission, cancellation };

class RuleChecker {
 public:
  /// Delays after a user was told that a job is cancelled, in seconds; -1: there was none.
  struct AfterCancel {
    double start_executed = -1;  ///< until the latest start command that a worker obeyed
    double run_started = -1;     ///< until the latest start of a task's run
    double on_machine = -1;      ///< longest that a task was still on a machine
  };

  RuleChecker(const Simulation& simulation, const ClusterOptions& options,
              const SimulatedMachines& machines, JobRecords& jobs);

  // ---- what has happened

  /// A worker's task has changed its state (WorkerEmulator::Watched). True if it has completed and
  /// had never before.
  bool task_state_changed(const emulators::WorkerEmulator& worker,
                          const emulators::WorkerEmulator::Task& task, wire::TaskState was);
  /// A worker has forgotten an exited task by command.
  void task_acknowledged(const emulators::WorkerEmulator::Task& task);
  /// Checks the answer to a user's request that was sent at `asked_at`. Returns the job's state
  /// that it tells, if it tells one. Throws wire::Malformed.
  std::optional<wire::JobState> check_answer(const std::string& id, const net::Result& result,
                                             double asked_at, UserRequest request);
  /// Checks what is on the machines now: quota, ran_cancelled.
  void check_machines();
  /// Checks that no task waits beside room: neglected. Has no effect before `faults_are_over`.
  void check_waiting(const std::function<bool(int machine)>& is_reachable);
  /// From now on no task may wait for 90 s beside a machine that has room for it.
  void faults_have_ended() { faults_ended_at_ = simulation_.now(); }
  /// Records a broken rule, with the time.
  void report(const std::string& what);

  // ---- results

  /// The broken rules: "at <time>: <rule>: <details>".
  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  /// Start commands that workers obeyed.
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  /// Tasks that were stopped and began to save.
  [[nodiscard]] std::uint64_t saves() const { return saves_; }
  /// Starts of tasks whose completion had been acknowledged.
  [[nodiscard]] std::uint64_t restarts_after_completion() const {
    return restarts_after_completion_;
  }
  [[nodiscard]] std::size_t completed_tasks() const { return jobs_.completed_tasks(); }
  /// When the first of the job's tasks came to run; -1: none has.
  [[nodiscard]] double first_run_at(const std::string& job) const;
  [[nodiscard]] const AfterCancel& after_cancel() const { return after_cancel_; }
  /// vcpus of the team's tasks on machines, in any state but exited.
  [[nodiscard]] double used_cpus(const std::string& team) const;
  /// Whether a task of the job could begin on a machine that is empty or holds its own team's tasks
  /// only. Others may belong to another shard, and machines move between shards only when they are
  /// empty (KNOWN-RED.txt).
  [[nodiscard]] bool has_capacity_for(const std::string& job) const;
  /// Zone, vcpus in use and in all, and tasks by machine; for messages.
  [[nodiscard]] std::string describe_machines() const;

 private:
  struct FreeCapacity {
    const SimulatedMachine* machine;
    double cpus;
    double memory_gb;
  };
  /// What is on the machines at one moment.
  struct Usage {
    std::vector<FreeCapacity> free_capacities;  // of reachable machines
    std::map<std::string, double> cpus_by_team;
    std::map<std::string, std::map<std::string, int>> by_zone;  // a job's tasks
    std::set<std::string> placed;                               // tasks by name
  };
  using TaskOnMachine = std::pair<std::string, std::string>;  // names

  void count_start(const std::string& name, double cancelled_reported_at);
  void check_start(const emulators::WorkerEmulator& worker,
                   const emulators::WorkerEmulator::Task& task);
  void check_place(const emulators::WorkerEmulator& worker, const wire::TaskId& task,
                   std::uint32_t same_zone, std::uint32_t other_zones);
  void check_cancelled(const emulators::WorkerEmulator::Task& task);
  void check_accepted_answer(const std::string& id, int status);
  void check_final_state(const std::string& id, const SimulatedJob& job, wire::JobState state,
                         double asked_at);
  [[nodiscard]] bool waits_only_for_capacity(const SimulatedJob& job) const;
  [[nodiscard]] Usage usage(const std::function<bool(int machine)>& is_reachable) const;
  [[nodiscard]] std::vector<std::string> waiting_tasks(const SimulatedJob& job,
                                                       const Usage& usage) const;
  [[nodiscard]] std::vector<const SimulatedMachine*> machines_for(const SimulatedJob& job,
                                                                  std::size_t started_together,
                                                                  const Usage& usage) const;
  void record_waiting(const std::string& task, const SimulatedMachine& machine,
                      std::map<TaskOnMachine, double>& could_run_since);

  const Simulation& simulation_;
  const ClusterOptions& options_;
  const SimulatedMachines& machines_;
  JobRecords& jobs_;
  std::vector<std::string> broken_;
  std::set<std::string> acknowledged_;          // completed tasks that workers have forgotten
  std::map<std::string, double> first_run_at_;  // by job
  AfterCancel after_cancel_;
  std::uint64_t starts_ = 0, saves_ = 0, restarts_after_completion_ = 0;
  double faults_ended_at_ = -1, waiting_checked_at_ = 0;
  std::map<TaskOnMachine, double>
      could_run_since_;              // since when a task has waited beside the machine
  std::set<std::string> neglected_;  // tasks that were reported
};

}  // namespace shunttrail::simulation

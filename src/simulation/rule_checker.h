/// Checks the rules that a simulated cluster has to keep (docs/simulation.md lists them). The
/// checks use only the tasks on the machines and the answers to users, never the controllers'
/// state.
#pragma once
#include <compare>
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

/// The kind of a user's request about a job.
enum class UserRequest { state, submission, cancellation };

class RuleChecker {
 public:
  /// The longest delays, in seconds, between the report to a user that a job is cancelled and later
  /// events of its tasks. -1: there was no such event.
  struct AfterCancel {
    double start_executed = -1;  ///< until a worker executed a start command
    double run_started = -1;     ///< until a task began to run
    double on_machine = -1;      ///< until a task was last seen running or saving on a machine
  };

  RuleChecker(const Simulation& simulation, const ClusterOptions& options,
              const SimulatedMachines& machines, JobRecords& jobs);

  // ---- events

  /// Checks a change of a worker's task (WorkerEmulator::Observer). Returns true if the task has
  /// completed for the first time.
  bool task_state_changed(const emulators::WorkerEmulator& worker,
                          const emulators::WorkerEmulator::Task& task, wire::TaskState previous);
  /// Records the start commands of a request to a worker, when it is sent.
  void direct_commands_sent(const Request& request);
  /// Checks that a worker may remove an exited task after an acknowledge command. Rule:
  /// unfenced_start.
  void task_acknowledged(const emulators::WorkerEmulator& worker,
                         const emulators::WorkerEmulator::Task& task);
  /// Checks the answer to a user's request that was sent at `asked_at`. Returns the job's state in
  /// the answer, if it has one. Throws wire::Malformed if the body cannot be decoded.
  std::optional<wire::JobState> check_answer(const std::string& id, const net::Result& result,
                                             double asked_at, UserRequest request);
  /// Checks the answer to a submission of a job that can run, which was sent when all jobs that it
  /// depends on had been accepted. Rule: refused.
  void check_dependent_submission(const std::string& id, const net::Result& result);
  /// Checks the tasks that are on the machines now. Rules: quota, ran_cancelled.
  void check_machines();
  /// Checks that no task waits while a reachable machine has free capacity for it. Rule: neglected.
  /// Has no effect before `faults_have_ended`.
  void check_waiting(const std::function<bool(int machine)>& is_reachable);
  /// Enables the rule `neglected`: from now on no task may wait for 90 s while a machine has free
  /// capacity for it.
  void faults_have_ended() { faults_ended_at_ = simulation_.now(); }
  /// Records a broken rule with the present time.
  void report(const std::string& violation);

  // ---- results

  /// The broken rules: "at <time>: <rule>: <details>".
  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  /// The number of start commands that workers accepted.
  [[nodiscard]] std::uint64_t starts() const { return starts_; }
  /// The number of times that a stopped task began to save a checkpoint.
  [[nodiscard]] std::uint64_t saves() const { return saves_; }
  /// The number of starts of tasks whose completion had been acknowledged before.
  [[nodiscard]] std::uint64_t restarts_after_completion() const {
    return restarts_after_completion_;
  }
  [[nodiscard]] std::size_t completed_tasks() const { return jobs_.completed_tasks(); }
  /// Returns when the first of the job's tasks began to run, or -1 if none has.
  [[nodiscard]] double first_run_at(const std::string& job) const;
  [[nodiscard]] const AfterCancel& after_cancel() const { return after_cancel_; }
  /// Returns the vcpus of the team's tasks on machines, in any state but exited.
  [[nodiscard]] double used_cpus(const std::string& team) const;
  /// Returns whether a task of the job could start on a machine that is empty or runs tasks of the
  /// job's own team only. Other machines may belong to another shard, and machines move between
  /// shards only when they are empty (KNOWN-RED.txt).
  [[nodiscard]] bool has_capacity_for(const std::string& job) const;
  /// Returns the zone, used and total vcpus, and tasks of each machine, for failure messages.
  [[nodiscard]] std::string describe_machines() const;

 private:
  struct FreeCapacity {
    const SimulatedMachine* machine;
    double cpus;
    double memory_gb;
  };
  /// The tasks and the free capacity of all machines at one moment.
  struct Usage {
    std::vector<FreeCapacity> free_capacities;  // of reachable machines only
    std::map<std::string, double> cpus_by_team;
    std::map<std::string, std::map<std::string, int>> by_zone;  // number of tasks by job and zone
    std::set<std::string> placed;                               // names of tasks
  };
  using TaskOnMachine = std::pair<std::string, std::string>;  // names of a task and a machine
  /// One attempt of a task on a machine.
  struct AttemptOnMachine {
    std::string host;
    std::string task;
    std::uint64_t attempt;
    friend auto operator<=>(const AttemptOnMachine&, const AttemptOnMachine&) = default;
  };
  /// What a worker compares before it executes direct commands. The newer one is the greater one.
  struct Validity {
    std::uint64_t incarnation = 0;
    std::uint64_t token = 0;
    friend auto operator<=>(const Validity&, const Validity&) = default;
  };

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
  std::map<AttemptOnMachine, Validity> direct_starts_;  // the newest of each attempt
  std::set<std::string> acknowledged_;                  // completed tasks that workers have removed
  std::map<std::string, double> first_run_at_;          // by job
  AfterCancel after_cancel_;
  std::uint64_t starts_ = 0, saves_ = 0, restarts_after_completion_ = 0;
  double faults_ended_at_ = -1, waiting_checked_at_ = 0;
  // When a waiting task was first seen while the machine had free capacity for it.
  std::map<TaskOnMachine, double> could_run_since_;
  std::set<std::string> neglected_;  // tasks that were reported for the rule `neglected`
};

}  // namespace shunttrail::simulation

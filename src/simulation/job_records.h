/// What the simulated users know of their jobs, and which tasks have completed on a machine.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "emulators/worker.h"
#include "wire/types.h"

namespace shunttrail::simulation {

/// A task's name in messages: "job/index".
[[nodiscard]] inline std::string task_name(const wire::TaskId& task) {
  return task.job + "/" + std::to_string(task.index);
}

/// A job as its user knows it. Times are simulated seconds; below 0: not yet.
struct SimulatedJob {
  wire::JobSpec spec;
  double run_s = 10;                  ///< run time of the shortest tasks
  bool accepted = false;              ///< a submission was answered 200 or 201
  bool cancel_requested = false;      ///< a user has asked for its cancellation
  double cancelled_reported_at = -1;  ///< when a user was first told that it is cancelled
  double done_reported_at = -1;       ///< when a user was first told that it is done
  double last_answered_at = -1;       ///< when a question about it was last answered
  double first_reported_at = -1;      ///< when a user was first told of it at all
  std::uint32_t completed_tasks = 0;  ///< tasks that have completed on a machine
};

/// The jobs of all users by id, and the tasks that have completed.
class JobRecords {
 public:
  /// Adds a job under its spec's id.
  void add(wire::JobSpec spec, double run_s);
  /// Must be known.
  SimulatedJob& at(const std::string& id) { return jobs_.at(id); }
  [[nodiscard]] const SimulatedJob& at(const std::string& id) const { return jobs_.at(id); }
  /// Null for a job that nobody has submitted.
  SimulatedJob* find(const std::string& id);
  [[nodiscard]] const std::map<std::string, SimulatedJob>& all() const { return jobs_; }

  /// Records that a task has completed; false if it had before.
  bool complete(const wire::TaskId& task) { return completed_.insert(task_name(task)).second; }
  [[nodiscard]] bool is_completed(const wire::TaskId& task) const {
    return completed_.contains(task_name(task));
  }
  [[nodiscard]] std::size_t completed_tasks() const { return completed_.size(); }
  /// Whether every task of the job has completed.
  [[nodiscard]] bool all_completed(const std::string& id) const;
  /// Whether a user has asked to cancel the job or, directly or not, one that it depends on.
  [[nodiscard]] bool is_cancelled_by_users(const std::string& id) const;
  /// What a worker has to run for this task; none: no such job. Tasks run for once, twice or three
  /// times the job's `run_s`, by index; a service's until they are stopped.
  [[nodiscard]] std::optional<emulators::WorkerEmulator::Work> work_of(
      const wire::TaskId& task) const;

 private:
  std::map<std::string, SimulatedJob> jobs_;
  std::set<std::string> completed_;  // by task_name
};

}  // namespace shunttrail::simulation

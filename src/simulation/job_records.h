/// The jobs of the simulated users, with the answers that users have received about them, and the
/// tasks that have completed on a machine.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "emulators/worker.h"
#include "wire/types.h"

namespace shunttrail::simulation {

/// Returns a task's name in messages: "job/index".
[[nodiscard]] inline std::string task_name(const wire::TaskId& task) {
  return task.job + "/" + std::to_string(task.index);
}

/// A job as its user knows it. Times are simulated seconds; a negative one has not been reached.
struct SimulatedJob {
  wire::JobSpec spec;
  double run_s = 10;                  ///< run time of the job's shortest tasks
  bool accepted = false;              ///< a submission was answered 200 or 201
  bool cancel_requested = false;      ///< a user has requested its cancellation
  double cancelled_reported_at = -1;  ///< when an answer first had the state cancelled
  double done_reported_at = -1;       ///< when an answer first had the state done
  double last_answered_at = -1;       ///< when an answer last had any state
  double first_reported_at = -1;      ///< when an answer first had any state
  std::uint32_t completed_tasks = 0;  ///< tasks that have completed on a machine
  /// Returns whether an answer had a final state.
  [[nodiscard]] bool is_end_reported() const {
    return done_reported_at >= 0 || cancelled_reported_at >= 0;
  }
};

/// The jobs of all users by id, and the tasks that have completed.
class JobRecords {
 public:
  /// Adds a job under its spec's id.
  void add(wire::JobSpec spec, double run_s);
  /// Returns the job with this id, which must exist.
  SimulatedJob& at(const std::string& id) { return jobs_.at(id); }
  [[nodiscard]] const SimulatedJob& at(const std::string& id) const { return jobs_.at(id); }
  /// Returns the job with this id, or null if nobody has submitted it.
  SimulatedJob* find(const std::string& id);
  [[nodiscard]] const std::map<std::string, SimulatedJob>& all() const { return jobs_; }

  /// Records that a task has completed. Returns false if it had completed before.
  bool complete(const wire::TaskId& task) { return completed_.insert(task_name(task)).second; }
  [[nodiscard]] bool is_completed(const wire::TaskId& task) const {
    return completed_.contains(task_name(task));
  }
  [[nodiscard]] std::size_t completed_tasks() const { return completed_.size(); }
  /// Returns whether every task of the job has completed.
  [[nodiscard]] bool all_completed(const std::string& id) const;
  /// Returns whether a user has requested the cancellation of the job or of one that it depends on,
  /// directly or indirectly.
  [[nodiscard]] bool is_cancelled_by_users(const std::string& id) const;
  /// Returns whether the job depends on others, of which all have been accepted and none is a
  /// service.
  [[nodiscard]] bool are_dependencies_accepted(const std::string& id) const;
  /// Returns whether the job can never run: its tasks run at the same time and have to be in two
  /// zones, and it is bound to one.
  [[nodiscard]] bool can_never_run(const std::string& id) const;
  /// Returns the work of a task for its worker, or nothing if the job does not exist. Tasks run for
  /// one, two or three times the job's `run_s`, depending on their index; tasks of a service run
  /// until they are stopped.
  [[nodiscard]] std::optional<emulators::WorkerEmulator::Work> work_of(
      const wire::TaskId& task) const;

 private:
  std::map<std::string, SimulatedJob> jobs_;
  std::set<std::string> completed_;  // by task_name
};

}  // namespace shunttrail::simulation

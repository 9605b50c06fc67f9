// A job's description in the artifact store, under "jobs/ID": the command and environment of its
// tasks. Users write it once, before they submit the job. Workers read it when they receive a
// command to start one of its tasks.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace shunttrail::client_protocol {

/// Description of a job, with the specification that is submitted.
struct JobDescription {
  wire::JobSpec job;
  std::vector<std::string> command;  ///< program and arguments; the program is looked up in PATH
  std::map<std::string, std::string> env;  ///< variables that are added to the agent's environment
  std::string image;                       ///< hash of a tar file; empty: no image
  double limit_s = 0;                      ///< a task that runs longer is killed; 0: no limit
  /// A task that exits with one of these statuses is run again on another machine. Every other exit
  /// status ends the task.
  std::vector<int> retry_exits = {75};
};

std::string encode_description(const JobDescription& description);
/// Throws wire::Malformed.
JobDescription decode_description(std::string_view body);

// --- Names in the artifact store

inline std::string description_name(const std::string& job) { return "jobs/" + job; }
inline std::string result_name(const wire::TaskId& task) {
  return "results/" + task.job + "/" + std::to_string(task.index);
}
inline std::string checkpoint_name(const wire::TaskId& task) {
  return "saves/" + task.job + "/" + std::to_string(task.index);
}
inline std::string image_name(const std::string& image) { return "images/" + image; }

/// Result of a finished task, stored under its result name. It is written once: the first result
/// counts.
struct TaskResult {
  std::uint64_t attempt = 0;
  std::string machine;
  int exit = 0;
  std::string reason;    ///< reason in words, if the exit status alone does not tell it
  std::string out, err;  ///< hashes of standard output and error; empty: no output
  double ran_s = 0;
};
std::string encode_result(const TaskResult& result);
/// Throws wire::Malformed.
TaskResult decode_result(std::string_view body);

}  // namespace shunttrail::client_protocol

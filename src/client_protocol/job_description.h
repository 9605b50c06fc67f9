// A job's description in the artifact store, under "jobs/ID": what its tasks run. Users write it
// once, before they submit the job; workers read it when they are told to start one of its tasks.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace shunttrail::client_protocol {

struct JobDescription {
  wire::JobSpec job;
  std::vector<std::string> command;  ///< program and arguments; the program is looked up in PATH
  std::map<std::string, std::string> env;  ///< added to the agent's own
  std::string image;                       ///< the hash of a tar file; empty: none
  double limit_s = 0;                      ///< a task that runs longer is killed; 0: none
  /// A task that exits with one of these asks to be run elsewhere; every other exit ends it.
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

/// What a finished task leaves, under its result's name, written once: the first one counts.
struct TaskResult {
  std::uint64_t attempt = 0;
  std::string machine;
  int exit = 0;
  std::string reason;    ///< in words, where the exit status alone does not tell
  std::string out, err;  ///< hashes of its standard output and error; empty: there is none
  double ran_s = 0;
};
std::string encode_result(const TaskResult& result);
/// Throws wire::Malformed.
TaskResult decode_result(std::string_view body);

}  // namespace shunttrail::client_protocol

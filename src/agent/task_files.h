// The files of a task's directory, through which the agent and the task's supervisor communicate:
// their names and their stored forms.
//
//   lock           held by the supervisor as long as it lives
//   order.json     the command to run; an agent that has given up this attempt removes the file,
//                  so that a supervisor that starts late does not run the task
//   shepherd.json  the supervisor's identity
//   shepherd.log   the supervisor's standard error
//   stop.json      how to stop the task; SIGUSR1 makes the supervisor read it
//   end.json       how the task ended; written only when none of its processes is left
//   work/          the task's working directory
//   stdout, stderr
//   save/next      the checkpoint that the task is writing; moved to kept-N when the task reports
//                  that it is complete
//   save/last      the checkpoint of an earlier attempt
#pragma once
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "agent/processes.h"
#include "wire/types.h"

namespace shunttrail::agent {

/// The directory of one attempt of a task.
struct TaskDirectory {
  std::filesystem::path path;

  std::filesystem::path lock() const { return path / "lock"; }
  std::filesystem::path launch_order() const { return path / "order.json"; }
  std::filesystem::path supervisor_identity() const { return path / "shepherd.json"; }
  std::filesystem::path supervisor_log() const { return path / "shepherd.log"; }
  std::filesystem::path stop_order() const { return path / "stop.json"; }
  std::filesystem::path end() const { return path / "end.json"; }
  std::filesystem::path work() const { return path / "work"; }
  std::filesystem::path standard_output() const { return path / "stdout"; }
  std::filesystem::path standard_error() const { return path / "stderr"; }
  /// Where the task finds and writes its checkpoints.
  std::filesystem::path save() const { return path / "save"; }
  std::filesystem::path next_checkpoint() const { return save() / "next"; }
  std::filesystem::path restored_checkpoint() const { return save() / "last"; }
  /// The checkpoint to restore while it is downloaded, and while it is unpacked.
  std::filesystem::path downloaded_checkpoint() const { return path / "save.tar"; }
  std::filesystem::path unpacked_checkpoint() const { return save() / "new"; }
  /// The directory of a complete checkpoint of this attempt. Checkpoints are numbered from 1.
  std::filesystem::path checkpoint(std::uint64_t number) const;
  /// The archive in which a checkpoint is uploaded.
  std::filesystem::path packed_checkpoint() const { return path / "kept.tar"; }
  /// Returns the highest number of a complete checkpoint, or 0 if there is none.
  std::uint64_t highest_checkpoint() const;
};

/// The task that a supervisor has to run (order.json).
struct LaunchOrder {
  static constexpr int kFormat = 1;
  std::string task;  ///< JOB/INDEX
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;  ///< the agent's incarnation, as in the lease file
  std::vector<std::string> command;
  std::map<std::string, std::string> env;  ///< the task's complete environment
  std::vector<int> retry_exits;            ///< exit statuses that request another attempt
  double limit_s = 0;                      ///< a task that runs longer is killed; 0 means no limit
  std::uint64_t file_bytes = 0;    ///< the largest file that the task may write; 0 means no limit
  std::uint64_t memory_bytes = 0;  ///< limit of the task's data segment; 0 means no limit
};
std::string encode(const LaunchOrder& order);
/// Throws wire::Malformed.
LaunchOrder decode_order(const std::string& text);

/// How to stop a task (stop.json).
struct StopOrder {
  bool save = false;   ///< the task may save a checkpoint first
  double grace_s = 0;  ///< time to save the checkpoint
};
std::string encode(const StopOrder& order);
/// Throws wire::Malformed.
StopOrder decode_stop(const std::string& text);

/// How a task ended (end.json).
struct TaskEnd {
  static constexpr int kFormat = 1;
  wire::ExitReason exit_reason = wire::ExitReason::error;  ///< done, stopped or error
  int exit_status = 0;
  std::string detail;                    ///< explanation, where the exit status is not enough
  std::uint64_t highest_checkpoint = 0;  ///< 0 if none
  bool saved_after_stop = false;
  double ran_s = 0;
};
/// Returns the stored name of an exit reason: "done", "stopped", or "error" for all others.
const char* exit_reason_name(wire::ExitReason reason);
std::string encode(const TaskEnd& end);
/// Throws wire::Malformed.
TaskEnd decode_end(const std::string& text);

/// The supervisor's identity (shepherd.json).
std::string encode(const Identity& identity);
/// Reads the supervisor's identity. Returns one that matches no process if the file is absent or
/// damaged.
Identity read_identity(const std::filesystem::path& file);

}  // namespace shunttrail::agent

// The task supervisor: a small process for each task. It starts the task, watches the lease, passes
// the stop signal on, kills the processes that the task has left, and records how the task ended.
// It continues to run when the agent dies, hangs or is replaced. The two communicate through the
// files of the task's directory (task_files.h).
#pragma once
#include <filesystem>

#include "agent/task_files.h"

namespace shunttrail::agent {

/// Runs the supervisor of this task directory to its end. Returns the exit status of the process:
/// 0; 3 if another supervisor or the agent has locked the directory; 4 if there is no task to
/// start; 5 for an error.
int run_task_supervisor(const std::filesystem::path& dir, const std::filesystem::path& lease_file);

}  // namespace shunttrail::agent

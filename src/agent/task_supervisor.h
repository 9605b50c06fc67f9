// The supervisor: a small process of its own for each task. It starts the task, watches the lease,
// passes the stop signal on, ends whatever the task has left, and writes down how it ended. It goes
// on when the agent dies, hangs or is replaced; the two speak through the files of the task's
// directory (task_files.h).
#pragma once
#include <filesystem>

#include "agent/task_files.h"

namespace shunttrail::agent {

/// The whole life of a supervisor process for this task directory; its exit status: 0, 3 if another
/// supervisor or the agent has the directory, 4 if there is nothing to start, 5 for an error.
int run_task_supervisor(const std::filesystem::path& dir, const std::filesystem::path& lease_file);

}  // namespace shunttrail::agent

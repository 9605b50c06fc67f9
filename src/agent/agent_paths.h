// Where the agent keeps its files.
#pragma once
#include <filesystem>

#include "agent/attempt_table.h"
#include "agent/task_files.h"

namespace shunttrail::agent {

/// The files and directories below the agent's directory.
struct AgentPaths {
  std::filesystem::path dir;

  std::filesystem::path journal() const { return dir / "record.db"; }
  /// The page of memory that holds the lease, see LeaseFile.
  std::filesystem::path lease() const { return dir / "lease"; }
  /// Locked by the agent that runs in this directory.
  std::filesystem::path lock() const { return dir / "lock"; }
  std::filesystem::path tasks() const { return dir / "tasks"; }
  std::filesystem::path images() const { return dir / "images"; }
  /// Written by whoever knows that the machine is reclaimed; holds the seconds that are left.
  std::filesystem::path spot_notice() const { return dir / "recall"; }
  TaskDirectory task(const Key& key) const;
};

/// Ends every task of the agent in this directory, supervisors first, and its incarnation with
/// them: what a machine's end does. The agent itself must not run. False: some process did not go.
bool end_all(const AgentPaths& paths);

}  // namespace shunttrail::agent

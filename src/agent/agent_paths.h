// Paths of the agent's files.
#pragma once
#include <filesystem>

#include "agent/attempt_table.h"
#include "agent/task_files.h"

namespace shunttrail::agent {

/// The files and directories below the agent's directory.
struct AgentPaths {
  std::filesystem::path dir;

  std::filesystem::path journal() const { return dir / "record.db"; }
  /// The memory-mapped lease, see LeaseFile.
  std::filesystem::path lease() const { return dir / "lease"; }
  /// Locked by the agent that runs in this directory.
  std::filesystem::path lock() const { return dir / "lock"; }
  std::filesystem::path tasks() const { return dir / "tasks"; }
  std::filesystem::path images() const { return dir / "images"; }
  /// The spot notice: written from outside the agent when the machine is about to be reclaimed. It
  /// holds the remaining seconds.
  std::filesystem::path spot_notice() const { return dir / "recall"; }
  TaskDirectory task(const Key& key) const;
};

/// Kills every task of the agent in this directory, with its supervisor, and ends the agent's
/// incarnation, as the loss of the machine would. No agent process may act on the directory
/// meanwhile. Returns false if some process could not be killed.
bool kill_all_tasks(const AgentPaths& paths);

}  // namespace shunttrail::agent

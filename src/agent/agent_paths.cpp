#include "agent/agent_paths.h"

#include <string>

#include "agent/lease_file.h"
#include "agent/processes.h"

namespace shunttrail::agent {

TaskDirectory AgentPaths::task(const Key& key) const {
  return {tasks() /
          (key.job + "." + std::to_string(key.index) + "." + std::to_string(key.attempt))};
}

bool kill_all_tasks(const AgentPaths& paths) {
  if (!std::filesystem::exists(paths.tasks())) return true;
  // A supervisor that has not started its task yet reads the lease first, and does not start it.
  LeaseFile(paths.lease(), LeaseFile::Open::write).set(0, 0);
  return kill_task_processes(paths.tasks());
}

}  // namespace shunttrail::agent

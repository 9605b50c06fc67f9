// A chaos run on one machine: a local cluster runs short tasks while its agents, task supervisors
// and controllers are killed at random. Then the history of every task is checked.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace shunttrail::chaos {

struct ChaosPlan {
  std::filesystem::path dir;       ///< an empty directory
  std::filesystem::path programs;  ///< directory of shunttrail-local and the other programs
  std::uint32_t tasks = 2000;
  std::uint32_t machines = 20;
  double kill_every_s = 0.5;  ///< mean interval between kills; 0: no kills
  double limit_s = 900;       ///< a job that is not done after this time is a fault
  std::uint32_t seed = 1;
};

struct ChaosResult {
  std::vector<std::string> faults;  ///< one line each
  std::uint32_t jobs = 0, tasks = 0;
  std::uint64_t begins = 0, ends = 0;  ///< of attempts, counted in the tasks' log
  std::uint64_t agents_killed = 0, supervisors_killed = 0, controllers_killed = 0;
  double took_s = 0;
  double seen_p50_s = 0, seen_p99_s = 0;   ///< delay from a job's last "end" to `done` at its user
  double agent_cpu_s = 0;                  ///< total of all agents
  double agent_mb = 0, supervisor_mb = 0;  ///< largest measured resident set
  std::uint64_t left_behind = 0;           ///< processes that remain after the cluster has stopped
};

/// Executes the chaos run. Throws std::runtime_error or cli::RequestFailed if it cannot continue.
ChaosResult run(const ChaosPlan& plan);
std::string to_json(const ChaosResult& result);

}  // namespace shunttrail::chaos

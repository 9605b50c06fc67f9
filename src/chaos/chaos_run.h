// A chaos run on one machine: a local cluster runs short tasks while its agents, supervisors and
// controllers are killed at random; then every task's history is checked.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace shunttrail::chaos {

struct ChaosPlan {
  std::filesystem::path dir;       ///< an empty directory
  std::filesystem::path programs;  ///< where shunttrail-local and the others are
  std::uint32_t tasks = 2000;
  std::uint32_t machines = 20;
  double kill_every_s = 0.5;  ///< on the average; 0: nothing is killed
  double limit_s = 900;       ///< a job that is not done by then is a fault
  std::uint32_t seed = 1;
};

struct ChaosResult {
  std::vector<std::string> faults;  ///< one line each
  std::uint32_t jobs = 0, tasks = 0;
  std::uint64_t begins = 0, ends = 0;  ///< of attempts, by what tasks have written
  std::uint64_t agents_killed = 0, supervisors_killed = 0, controllers_killed = 0;
  double took_s = 0;
  double seen_p50_s = 0, seen_p99_s = 0;   ///< from a job's last end to `done` seen by its user
  double agent_cpu_s = 0;                  ///< of all agents
  double agent_mb = 0, supervisor_mb = 0;  ///< the largest resident set seen
  std::uint64_t left_behind = 0;           ///< processes after the cluster has ended
};

/// Throws std::runtime_error or cli::RequestFailed where the run cannot go on.
ChaosResult run(const ChaosPlan& plan);
std::string to_json(const ChaosResult& result);

}  // namespace shunttrail::chaos

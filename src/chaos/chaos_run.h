// A trial on one machine: the embedded set runs emulator tasks while its agents, supervisors and
// controllers are killed at random; then every task's history is checked.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace shunttrail::chaos {

struct ChaosPlan {
  std::filesystem::path dir, programs;  // an empty directory; where shunt-local and the others are
  std::uint32_t tasks = 2000, machines = 20;
  double kill_every_s = 0.5;  // 0: nothing is killed
  double limit_s = 900;
  std::uint32_t seed = 1;
};

struct ChaosResult {
  std::vector<std::string> faults;
  std::uint32_t jobs = 0, tasks = 0;
  std::uint64_t begins = 0, ends = 0;
  std::uint64_t agents_killed = 0, supervisors_killed = 0, controllers_killed = 0;
  double took_s = 0;
  double seen_p50_s = 0, seen_p99_s = 0;   // from a job's last end to `done` seen by its user
  double agent_cpu_s = 0;                  // of all agents
  double agent_mb = 0, supervisor_mb = 0;  // the largest resident set seen
  std::uint64_t left_behind = 0;           // processes after the set has ended
};

ChaosResult run(const ChaosPlan& p);
std::string to_json(const ChaosResult& o);

}  // namespace shunttrail::chaos

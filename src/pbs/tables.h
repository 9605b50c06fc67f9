// The operator's tables: what PBS's queues, priorities, projects and groups mean here, and how much
// a script may ask for (deploy/pbs.xml).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace shunttrail::pbs {

/// The most that a script may ask for; nothing: no limit.
struct Limits {
  std::optional<double> cpus, mem_gb, gpus;  ///< of a chunk
  std::optional<double> walltime_s;
  std::optional<std::uint32_t> tasks;
};

struct Queue {
  std::string name;
  std::string job_class;
  std::string team;  ///< of jobs that name none
  wire::Priority priority = wire::Priority::standard;
  bool spot = true;
  Limits limits;
};

struct Team {
  std::string name;
  double cpus_max = 0;                ///< what its tasks may use at any time; 0: not told
  std::vector<std::string> projects;  ///< names by which -P and group_list mean it
  std::vector<std::string> queues;    ///< those it may use; empty: all
};

struct Tables {
  std::string server = "shunttrail";
  std::string default_queue;
  std::vector<Queue> queues;
  std::vector<Team> teams;
  /// -p: the priority from this number on, lowest first. A queue's own, where -p is not given.
  std::map<int, wire::Priority> priorities;
  /// Where a script does not say.
  double ncpus = 1, mem_gb = 0.5, walltime_s = 3600;

  /// Null: there is none of this name.
  [[nodiscard]] const Queue* queue(const std::string& name) const;
  [[nodiscard]] const Team* team(const std::string& name) const;
  /// The team of a project, or of its own name.
  [[nodiscard]] const Team* team_of(const std::string& project) const;
};

/// Throws config::SettingsError, one line that names the place.
Tables parse_tables(const std::string& xml);

}  // namespace shunttrail::pbs

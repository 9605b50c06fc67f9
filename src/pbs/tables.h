// The operator's tables (deploy/pbs.xml), which map PBS's queues, priorities, projects and groups
// to those of this service and limit the requests of a script.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire/types.h"

namespace shunttrail::pbs {

/// The largest amounts that a script may request. An empty field means no limit.
struct Limits {
  std::optional<double> cpus, mem_gb, gpus;  ///< of each chunk
  std::optional<double> walltime_s;
  std::optional<std::uint32_t> tasks;
};

struct Queue {
  std::string name;
  std::string job_class;
  std::string team;  ///< team of jobs that name no project
  wire::Priority priority = wire::Priority::standard;
  bool spot = true;
  Limits limits;
};

struct Team {
  std::string name;
  double cpus_max = 0;                ///< most CPUs of its running tasks; 0: no limit is set
  std::vector<std::string> projects;  ///< names that refer to it in -P and group_list
  std::vector<std::string> queues;    ///< queues that it may use; empty: all
};

struct Tables {
  std::string server = "shunttrail";
  std::string default_queue;
  std::vector<Queue> queues;
  std::vector<Team> teams;
  /// Maps the least value of -p to its priority. Without -p, or below the first entry, the queue's
  /// priority applies.
  std::map<int, wire::Priority> priorities;
  /// Defaults for scripts that do not request these resources.
  double ncpus = 1, mem_gb = 0.5, walltime_s = 3600;

  /// Both return null if there is no entry of this name.
  [[nodiscard]] const Queue* queue(const std::string& name) const;
  [[nodiscard]] const Team* team(const std::string& name) const;
  /// Returns the team with this name or with this project, or null if there is none.
  [[nodiscard]] const Team* team_of(const std::string& project) const;
};

/// Parses the tables. Throws config::SettingsError with one line that names the element.
Tables parse_tables(const std::string& xml);

}  // namespace shunttrail::pbs

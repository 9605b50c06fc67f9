/// The controllers of a simulated cluster: each is the library's own, in a process that can end,
/// start again and stand still.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "controller/controller.h"
#include "simulation/cluster_options.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

inline constexpr int kPublicPort = 80;    ///< of a controller, for users and workers
inline constexpr int kInternalPort = 81;  ///< of a controller, for other controllers

/// Controllers are numbered from 0; so are the shards, of which there are as many.
class SimulatedControllers {
 public:
  SimulatedControllers(Simulation& simulation, const ClusterOptions& options);

  void start_all();
  /// Starts the process of one that is not running.
  void start(int node);
  /// Ends the process at once.
  void stop(int node);
  /// The process stands still for so many seconds; no effect on one that is not running.
  void freeze(int node, double for_s);
  /// As `freeze`, once the process has taken so many more of its turns.
  void freeze_after(int node, std::uint64_t turns, double for_s);

  [[nodiscard]] int count() const { return static_cast<int>(processes_.size()); }
  /// What all controllers are configured with.
  [[nodiscard]] const config::Settings& settings() const { return shared_settings_; }
  /// Host names by number.
  [[nodiscard]] const std::vector<std::string>& hosts() const { return shared_settings_.nodes; }
  /// The number of the controller on this host; -1: none.
  [[nodiscard]] int find_host(const std::string& host) const;
  [[nodiscard]] const std::string& zone_of(int node) const;
  /// Whether this controller's scheduler for the shard is open.
  [[nodiscard]] bool leads(int node, int shard) const;
  /// The first controller that leads the shard; -1: none.
  [[nodiscard]] int leader(int shard) const;
  /// The leader of one of the first two teams' shards, drawn; 0 while it has none.
  int random_leader();

 private:
  struct Process {
    std::unique_ptr<Host> host;
    config::Settings settings;
    std::unique_ptr<controller::Controller> controller;
  };
  Process& process(int node) { return processes_[static_cast<std::size_t>(node)]; }

  Simulation& simulation_;
  const ClusterOptions& options_;
  config::Settings shared_settings_;
  config::Tuning tuning_;
  std::vector<Process> processes_;
};

}  // namespace shunttrail::simulation

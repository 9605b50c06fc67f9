/// The controllers of a simulated cluster: the product's own controllers, each in a simulated
/// process that can be stopped, started and frozen.
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

inline constexpr int kPublicPort = 80;    ///< a controller's port for users and workers
inline constexpr int kInternalPort = 81;  ///< a controller's port for other controllers

/// Controllers are numbered from 0. There are as many shards, also numbered from 0.
class SimulatedControllers {
 public:
  SimulatedControllers(Simulation& simulation, const ClusterOptions& options);

  void start_all();
  /// Starts a controller's process. No effect on one that is running.
  void start(int node);
  /// Ends a controller's process at once.
  void stop(int node);
  /// Freezes a controller's process for `for_s` seconds. No effect on one that is not running.
  void freeze(int node, double for_s);
  /// Like `freeze`, once the process has handled `turns` more events.
  void freeze_after(int node, std::uint64_t turns, double for_s);

  [[nodiscard]] int count() const { return static_cast<int>(processes_.size()); }
  /// The settings that all controllers share.
  [[nodiscard]] const config::Settings& settings() const { return shared_settings_; }
  /// The controllers' host names by number.
  [[nodiscard]] const std::vector<std::string>& hosts() const { return shared_settings_.nodes; }
  /// Returns the number of the controller on this host, or -1 if there is none.
  [[nodiscard]] int find_host(const std::string& host) const;
  [[nodiscard]] const std::string& zone_of(int node) const;
  /// Returns whether this controller runs and considers itself the shard's leader.
  [[nodiscard]] bool leads(int node, int shard) const;
  /// Returns the first controller that considers itself the shard's leader, or -1 if none does.
  [[nodiscard]] int leader(int shard) const;
  /// Returns the leader of a shard that is drawn from those of the first two teams, or 0 if the
  /// shard has no leader.
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

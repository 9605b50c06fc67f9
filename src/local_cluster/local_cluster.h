// The whole service on one machine: controllers, an artifact store, a state service, and the agents
// of an emulated cloud's machines, all as child processes. The cluster's state stays in its
// directory, and a later start resumes from it.
#pragma once
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "agent/processes.h"
#include "emulators/cloud.h"
#include "local_cluster/children.h"
#include "local_cluster/load_balancer.h"
#include "local_cluster/settings.h"

namespace shunttrail::local_cluster {

/// Directories, programs and port of a local cluster.
struct ClusterOptions {
  std::filesystem::path dir;       ///< holds all files of the cluster
  std::filesystem::path programs;  ///< directory of shunttrail-controller and shunttrail-agent
  /// The program that serves as the state service and the artifact store (shunttrail-local).
  std::filesystem::path services_program;
  std::uint16_t port = 0;  ///< port for users; 0: any free port
};

class LocalCluster : public actor::Actor {
 public:
  /// Calls `ready` with the URL for users once the cluster can serve them. Throws
  /// std::runtime_error if another cluster uses the directory, or no address is available.
  LocalCluster(actor::Loop& loop, Settings settings, ClusterOptions options,
               std::function<void(std::string url)> ready);

  /// Stops every process and every task, in an order that loses no state, and then calls `done`.
  void end(std::function<void()> done);

 private:
  [[nodiscard]] config::Endpoint take_address();
  [[nodiscard]] std::filesystem::path machine_dir(const std::string& name) const;
  [[nodiscard]] std::string agent_program() const;
  void take_addresses();
  void start_services();
  void start_controllers();
  void start_cloud();
  void start_load_balancer();
  void power_on(const emulators::CloudEmulator::Machine& machine);
  void power_off(const std::vector<std::string>& machines, const std::function<void()>& done);
  void power_off_one(const std::string& machine, const std::function<void()>& done);
  void end_tasks(const std::string& machine, const std::function<void(int)>& done);
  void check_ready();
  void end_machines(const std::function<void()>& done);
  void end_services(const std::function<void()>& done);

  const Settings settings_;
  const ClusterOptions options_;
  agent::Fd lock_;
  std::set<std::uint16_t> taken_ports_;
  std::uint16_t next_port_;
  std::vector<ControllerAddresses> controllers_;
  config::Endpoint front_address_, state_address_, artifacts_address_, cloud_address_;
  Children children_;
  std::unique_ptr<emulators::CloudEmulator> cloud_;
  std::unique_ptr<LoadBalancer> load_balancer_;
  std::unique_ptr<net::Client> artifacts_probe_;
  std::function<void(std::string)> ready_;  // empty after its call
  bool is_ending_ = false;
  actor::Timer timer_;
};

}  // namespace shunttrail::local_cluster

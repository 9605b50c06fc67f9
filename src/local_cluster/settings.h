// Settings of the cluster that runs on one machine (deploy/local.xml), and the settings made from
// them for its processes.
#pragma once
#include <string>
#include <vector>

#include "config/settings.h"
#include "emulators/cloud.h"

namespace shunttrail::local_cluster {

struct Settings {
  int controllers = 3;
  std::vector<std::string> zones;
  std::vector<config::Team> teams;
  std::vector<emulators::EmulatedMachineType> types;
  double report_s = 1, lease_s = 6, cancel_s = 14;  ///< as the controllers' settings have them
  double cloud_rps = 20;                            ///< requests that the cloud takes in a second
  double list_lag_s = 1;                            ///< how late its lists may be
  double disk_reserve_mb = 256, file_mb = 1024, cache_gb = 10;  ///< as the agents' have them
};

/// Throws config::SettingsError, one line that names the element and the reason.
Settings parse_settings(const std::string& xml);

/// Where a controller is.
struct ControllerAddresses {
  std::string name, zone;
  config::Endpoint front;     ///< for users and agents
  config::Endpoint internal;  ///< for other controllers and operators
};

/// What controller `self` of `controllers` is started with: the platform's JSON file.
[[nodiscard]] std::string controller_settings(const Settings& settings,
                                              const std::vector<ControllerAddresses>& controllers,
                                              std::size_t self, const config::Endpoint& state,
                                              const config::Endpoint& cloud);
/// What a machine's agent is started with: its XML file.
[[nodiscard]] std::string agent_settings(const Settings& settings,
                                         const std::vector<ControllerAddresses>& controllers,
                                         const emulators::CloudEmulator::Machine& machine,
                                         const config::Endpoint& artifacts);

/// HOST:PORT
[[nodiscard]] std::string to_text(const config::Endpoint& endpoint);

}  // namespace shunttrail::local_cluster

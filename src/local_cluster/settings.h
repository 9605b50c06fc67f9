// Settings of a local cluster (deploy/local.xml), and the settings of its processes that are
// derived from them.
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
  double report_s = 1, lease_s = 6, cancel_s = 14;  ///< as in the controllers' settings
  double cloud_rps = 20;  ///< the emulated cloud's request limit per second
  double list_lag_s = 1;  ///< how stale the cloud's lists may be
  double disk_reserve_mb = 256, file_mb = 1024, cache_gb = 10;  ///< as in the agents' settings
};

/// Parses the settings. Throws config::SettingsError with one line that names the element and the
/// reason.
Settings parse_settings(const std::string& xml);

/// Name, zone and addresses of a controller.
struct ControllerAddresses {
  std::string name, zone;
  config::Endpoint front;     ///< address for users and agents
  config::Endpoint internal;  ///< address for other controllers and operators
};

/// Returns the settings of controller `self` of `controllers`, as the platform's JSON file.
[[nodiscard]] std::string controller_settings(const Settings& settings,
                                              const std::vector<ControllerAddresses>& controllers,
                                              std::size_t self, const config::Endpoint& state,
                                              const config::Endpoint& cloud);
/// Returns the settings of a machine's agent, as its XML file.
[[nodiscard]] std::string agent_settings(const Settings& settings,
                                         const std::vector<ControllerAddresses>& controllers,
                                         const emulators::CloudEmulator::Machine& machine,
                                         const config::Endpoint& artifacts);

/// Returns the endpoint as HOST:PORT.
[[nodiscard]] std::string to_text(const config::Endpoint& endpoint);

}  // namespace shunttrail::local_cluster

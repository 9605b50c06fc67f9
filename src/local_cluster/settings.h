// Settings of the set that runs on one machine (deploy/local.xml), and the files made from them for
// its processes. Errors are config::BadSettings, one line that names the element and the reason.
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
  double report_s = 1, lease_s = 6, cancel_s = 14;
  double cloud_rps = 20, list_lag_s = 1;
  double disk_reserve_mb = 256, file_mb = 1024, cache_gb = 10;
};

Settings parse_settings(const std::string& xml);

struct AgentPlace {
  std::string name, zone;
  config::Endpoint front, internal;
};
// What a controller is started with: the platform's JSON file.
std::string controller_settings(const Settings& s, const std::vector<AgentPlace>& all,
                                std::size_t self, const config::Endpoint& state,
                                const config::Endpoint& cloud);
// What a machine's agent is started with: its XML file.
std::string agent_settings(const Settings& s, const std::vector<AgentPlace>& all,
                           const emulators::CloudEmulator::Machine& m,
                           const config::Endpoint& artifacts);

std::string text(const config::Endpoint& e);

}  // namespace shunttrail::local_cluster

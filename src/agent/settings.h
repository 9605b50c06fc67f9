// The agent's settings, an XML file that the operator writes (docs/agent.md).
#pragma once
#include <string>
#include <vector>

#include "agent/attempt_table.h"
#include "config/settings.h"

namespace shunttrail::agent {

struct Settings {
  struct Controller {
    std::string name;
    config::Endpoint address;
  };

  std::string machine, type, zone;
  config::Endpoint address;  ///< the agent listens here for direct commands; heartbeats report it
  bool spot = false;
  Resources capacity;  ///< the machine's capacity
  double report_s = 3,
         lease_s = 20;  ///< heartbeat interval and lease; must match the controllers' settings
  std::vector<Controller> controllers;
  config::Endpoint artifacts;    ///< the artifact store
  double cache_gb = 10;          ///< maximum size of the image cache
  double disk_reserve_mb = 256;  ///< if less disk space is free, starts are refused as `no_room`
  double file_mb = 1024;     ///< largest file that a task may write, including stdout and stderr
  double recall_s = 30;      ///< time until the machine is reclaimed after a spot notice by SIGUSR2
  bool memory_limit = true;  ///< limits a task's data segment to its mem_gb
};

/// Parses the file's text. Throws config::SettingsError with one line that names the element and
/// the reason.
Settings parse_settings(const std::string& xml);

}  // namespace shunttrail::agent

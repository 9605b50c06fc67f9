// The agent's settings: an XML file of the operator's (docs/agent.md).
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
  config::Endpoint address;  ///< where direct commands are taken, and what heartbeats name
  bool spot = false;
  Resources room;                     ///< what the machine has
  double report_s = 3, lease_s = 20;  ///< as the controllers' settings have them
  std::vector<Controller> controllers;
  config::Endpoint artifacts;    ///< the artifact store
  double cache_gb = 10;          ///< images kept for later tasks
  double disk_reserve_mb = 256;  ///< less free space than this: starts are refused as `no_room`
  double file_mb = 1024;         ///< largest file that a task may write, its output included
  double recall_s = 30;          ///< time that is left after a spot notice by SIGUSR2
  bool memory_limit = true;      ///< a task's data may be no larger than its mem_gb
};

/// Throws config::SettingsError, one line that names the element and the reason.
Settings parse_settings(const std::string& xml);

}  // namespace shunttrail::agent

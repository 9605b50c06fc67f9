// The agent's settings: an XML file of the operator's. Errors are config::BadSettings, one line
// that names the element and the reason.
#pragma once
#include <string>
#include <vector>

#include "agent/attempt_table.h"
#include "config/settings.h"

namespace shunttrail::agent {

struct Settings {
  std::string machine, type, zone;
  config::Endpoint address;  // where orders are taken, and what reports name
  bool spot = false;
  Resources room;
  double report_s = 3, lease_s = 20;  // as the controllers' settings have them
  struct Controller {
    std::string name;
    config::Endpoint address;
  };
  std::vector<Controller> controllers;
  config::Endpoint artifacts;
  double cache_gb = 10;          // images kept for later tasks
  double disk_reserve_mb = 256;  // less free space than this: starts are refused as `full`
  double file_mb = 1024;         // largest file that a task may write, its output included
  double recall_s = 30;          // notice given by SIGUSR2
  bool memory_limit = true;      // a task's data may be no larger than its mem_gb
};

Settings parse_settings(const std::string& xml);

}  // namespace shunttrail::agent

#include "agent/settings.h"

#include "config/xml.h"

namespace shunttrail::agent {

using namespace config;

namespace {

using Reader = std::function<void(pugi::xml_node, const std::string& place)>;

Reader text_into(std::string& to) {
  return [&to](pugi::xml_node node, const std::string& place) { to = xml_text(node, place); };
}

Reader flag_into(bool& to) {
  return [&to](pugi::xml_node node, const std::string& place) {
    to = xml_flag(node.child_value(), place);
  };
}

Reader endpoint_into(Endpoint& to) {
  return [&to](pugi::xml_node node, const std::string& place) {
    to = parse_endpoint(node.child_value(), place);
  };
}

Settings::Controller read_controller(pugi::xml_node node, const std::string& place) {
  return {xml_attribute(node, place, "name"),
          parse_endpoint(xml_attribute(node, place, "address"), place)};
}

Reader controllers_into(std::vector<Settings::Controller>& to) {
  return [&to](pugi::xml_node list, const std::string& list_place) {
    read_children(list, list_place,
                  {{"controller", [&to](pugi::xml_node node, const std::string& place) {
                      to.push_back(read_controller(node, place));
                    }}});
  };
}

void check(const Settings& settings) {
  if (settings.controllers.empty())
    throw_settings_error("shunt-agent.controllers", "lists no controller");
  if (settings.lease_s < 2 * settings.report_s)
    throw_settings_error("shunt-agent.lease-s", "is less than twice report-s");
}

}  // namespace

Settings parse_settings(const std::string& xml) {
  pugi::xml_document document;
  const pugi::xml_node root = load_xml(document, xml, "shunt-agent");
  Settings settings;
  read_children(root, "shunt-agent",
                {{"machine", text_into(settings.machine)},
                 {"type", text_into(settings.type)},
                 {"zone", text_into(settings.zone)},
                 {"address", endpoint_into(settings.address)},
                 {"spot", flag_into(settings.spot)},
                 {"cpus", xml_into(settings.capacity.cpus, 0, 1e6)},
                 {"gpus", xml_into(settings.capacity.gpus, 0, 1e6)},
                 {"mem-gb", xml_into(settings.capacity.mem_gb, 0, 1e6)},
                 {"report-s", xml_into(settings.report_s, 0.1, 3600)},
                 {"lease-s", xml_into(settings.lease_s, 1, 86400)},
                 {"controllers", controllers_into(settings.controllers)},
                 {"depot", endpoint_into(settings.artifacts)},
                 {"cache-gb", xml_into(settings.cache_gb, 0, 1e6)},
                 {"disk-reserve-mb", xml_into(settings.disk_reserve_mb, 0, 1e9)},
                 {"file-mb", xml_into(settings.file_mb, 0, 1e9)},
                 {"recall-s", xml_into(settings.recall_s, 0, 86400)},
                 {"memory-limit", flag_into(settings.memory_limit)}},
                {"machine", "type", "zone", "address", "cpus", "mem-gb", "controllers", "depot"});
  check(settings);
  return settings;
}

}  // namespace shunttrail::agent

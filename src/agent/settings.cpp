#include "agent/settings.h"

#include "config/xml.h"

namespace shunttrail::agent {

using namespace config;

Settings parse_settings(const std::string& xml) {
  pugi::xml_document doc;
  pugi::xml_node root = load_xml(doc, xml, "shunt-agent");
  Settings s;
  auto text = [](std::string& to) {
    return [&to](pugi::xml_node n, const std::string& at) { to = xml_text(n, at); };
  };
  auto flag = [](bool& to) {
    return [&to](pugi::xml_node n, const std::string& at) { to = xml_flag(n.child_value(), at); };
  };
  auto endpoint = [](Endpoint& to) {
    return [&to](pugi::xml_node n, const std::string& at) {
      to = parse_endpoint(n.child_value(), at);
    };
  };
  read_children(root, "shunt-agent",
                {{"machine", text(s.machine)},
                 {"type", text(s.type)},
                 {"zone", text(s.zone)},
                 {"address", endpoint(s.address)},
                 {"spot", flag(s.spot)},
                 {"cpus", xml_into(s.room.cpus, 0, 1e6)},
                 {"gpus", xml_into(s.room.gpus, 0, 1e6)},
                 {"mem-gb", xml_into(s.room.mem_gb, 0, 1e6)},
                 {"report-s", xml_into(s.report_s, 0.1, 3600)},
                 {"lease-s", xml_into(s.lease_s, 1, 86400)},
                 {"controllers",
                  [&](pugi::xml_node n, const std::string& at) {
                    read_children(
                        n, at, {{"controller", [&](pugi::xml_node c, const std::string& where) {
                                   s.controllers.push_back(
                                       {xml_attribute(c, where, "name"),
                                        parse_endpoint(xml_attribute(c, where, "address"), where)});
                                 }}});
                  }},
                 {"depot", endpoint(s.artifacts)},
                 {"cache-gb", xml_into(s.cache_gb, 0, 1e6)},
                 {"disk-reserve-mb", xml_into(s.disk_reserve_mb, 0, 1e9)},
                 {"file-mb", xml_into(s.file_mb, 0, 1e9)},
                 {"recall-s", xml_into(s.recall_s, 0, 86400)},
                 {"memory-limit", flag(s.memory_limit)}},
                {"machine", "type", "zone", "address", "cpus", "mem-gb", "controllers", "depot"});
  if (s.controllers.empty()) bad_at("shunt-agent.controllers", "names none");
  if (s.lease_s < 2 * s.report_s) bad_at("shunt-agent.lease-s", "leaves no room above report-s");
  return s;
}

}  // namespace shunttrail::agent

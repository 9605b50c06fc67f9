#include "agent/settings.h"

#include "config/xml.h"

namespace shunt::agent {

using namespace config;

Settings parse_settings(const std::string& xml) {
  pugi::xml_document doc;
  pugi::xml_node root = load_xml(doc, xml, "shunt-agent");
  Settings s;
  auto text = [](std::string& to) {
    return [&to](pugi::xml_node n, const std::string& at) { to = xml_text(n, at); };
  };
  auto number = [](double& to, double least, double most) {
    return [&to, least, most](pugi::xml_node n, const std::string& at) {
      to = xml_number(n.child_value(), at, least, most);
    };
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
                 {"cpus", number(s.room.cpus, 0, 1e6)},
                 {"gpus", number(s.room.gpus, 0, 1e6)},
                 {"mem-gb", number(s.room.mem_gb, 0, 1e6)},
                 {"report-s", number(s.report_s, 0.1, 3600)},
                 {"lease-s", number(s.lease_s, 1, 86400)},
                 {"controllers",
                  [&](pugi::xml_node n, const std::string& at) {
                    read_children(
                        n, at, {{"controller", [&](pugi::xml_node c, const std::string& where) {
                                   s.controllers.push_back(
                                       {xml_attribute(c, where, "name"),
                                        parse_endpoint(xml_attribute(c, where, "address"), where)});
                                 }}});
                  }},
                 {"depot", endpoint(s.depot)},
                 {"cache-gb", number(s.cache_gb, 0, 1e6)},
                 {"disk-reserve-mb", number(s.disk_reserve_mb, 0, 1e9)},
                 {"file-mb", number(s.file_mb, 0, 1e9)},
                 {"recall-s", number(s.recall_s, 0, 86400)},
                 {"memory-limit", flag(s.memory_limit)}},
                {"machine", "type", "zone", "address", "cpus", "mem-gb", "controllers", "depot"});
  if (s.controllers.empty()) bad_at("shunt-agent.controllers", "names none");
  if (s.lease_s < 2 * s.report_s) bad_at("shunt-agent.lease-s", "leaves no room above report-s");
  return s;
}

}  // namespace shunt::agent

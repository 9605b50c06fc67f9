#include "local_cluster/settings.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "config/xml.h"

namespace shunttrail::local_cluster {

using namespace config;

Settings parse_settings(const std::string& xml) {
  pugi::xml_document doc;
  pugi::xml_node root = load_xml(doc, xml, "shunt-local");
  Settings s;
  auto attribute = [](pugi::xml_node n, const std::string& at, const char* name, double fallback) {
    pugi::xml_attribute a = n.attribute(name);
    return a ? xml_number(a.value(), at + "@" + name, 0, 1e6) : fallback;
  };
  read_children(
      root, "shunt-local",
      {{"controllers",
        [&](pugi::xml_node n, const std::string& at) {
          s.controllers = static_cast<int>(xml_number(n.child_value(), at, 1, 9));
        }},
       {"zones",
        [&](pugi::xml_node n, const std::string& at) {
          read_children(n, at, {{"zone", [&](pugi::xml_node z, const std::string& where) {
                                   s.zones.push_back(xml_text(z, where));
                                 }}});
        }},
       {"teams",
        [&](pugi::xml_node n, const std::string& at) {
          read_children(n, at, {{"team", [&](pugi::xml_node t, const std::string& where) {
                                   s.teams.push_back({xml_attribute(t, where, "name"),
                                                      attribute(t, where, "cpus", 0),
                                                      attribute(t, where, "cpus-max", 0),
                                                      attribute(t, where, "gpus", 0),
                                                      attribute(t, where, "gpus-max", 0)});
                                 }}});
        }},
       {"types",
        [&](pugi::xml_node n, const std::string& at) {
          read_children(n, at, {{"type", [&](pugi::xml_node t, const std::string& where) {
                                   emulators::EmulatedMachineType c;
                                   c.spec.name = xml_attribute(t, where, "name");
                                   c.spec.cpus = attribute(t, where, "cpus", 1);
                                   c.spec.gpus = attribute(t, where, "gpus", 0);
                                   c.spec.mem_gb = attribute(t, where, "mem-gb", 1);
                                   c.spec.price = attribute(t, where, "hourly", 0.1);
                                   c.spec.spot_price = attribute(t, where, "spot", c.spec.price);
                                   c.spec.boot_s = attribute(t, where, "boot-s", 1);
                                   c.spec.cache_gb = s.cache_gb;
                                   c.most = static_cast<int>(attribute(t, where, "most", 4));
                                   s.types.push_back(std::move(c));
                                 }}});
        }},
       {"report-s", xml_into(s.report_s, 0.5, 3600)},
       {"lease-s", xml_into(s.lease_s, 2, 86400)},
       {"cancel-s", xml_into(s.cancel_s, 7, 86400)},
       {"cloud-rps", xml_into(s.cloud_rps, 1, 1e6)},
       {"list-lag-s", xml_into(s.list_lag_s, 0, 3600)},
       {"disk-reserve-mb", xml_into(s.disk_reserve_mb, 0, 1e9)},
       {"file-mb", xml_into(s.file_mb, 1, 1e9)},
       {"cache-gb", xml_into(s.cache_gb, 0, 1e6)}},
      {"zones", "teams", "types"});
  if (s.zones.empty()) bad_at("shunt-local.zones", "names none");
  if (s.teams.empty()) bad_at("shunt-local.teams", "names none");
  if (s.types.empty()) bad_at("shunt-local.types", "names none");
  if (s.cancel_s < s.lease_s + 5) bad_at("shunt-local.cancel-s", "leaves no room above lease-s");
  for (auto& t : s.types) t.spec.zones = s.zones;
  return s;
}

std::string text(const Endpoint& e) { return e.host + ":" + std::to_string(e.port); }

std::string controller_settings(const Settings& s, const std::vector<AgentPlace>& all,
                                std::size_t self, const Endpoint& state, const Endpoint& cloud) {
  using nlohmann::json;
  json siblings = json::array(), teams = json::array();
  for (std::size_t i = 0; i < all.size(); ++i)
    if (i != self)
      siblings.push_back(
          {{"host_name", all[i].name}, {"zone", all[i].zone}, {"addr", text(all[i].internal)}});
  for (const auto& t : s.teams)
    teams.push_back({{"name", t.name},
                     {"cpus", t.cpus},
                     {"cpus_max", t.cpus_max},
                     {"gpus", t.gpus},
                     {"gpus_max", t.gpus_max}});
  return json{
      {"host_name", all[self].name},
      {"zone", all[self].zone},
      {"front", text(all[self].front)},
      {"internal_addr", text(all[self].internal)},
      {"siblings", siblings},
      {"services", {{"cloud", text(cloud)}, {"state", text(state)}}},
      {"cluster",
       {{"size", all.size()},
        {"zones", s.zones},
        {"teams", teams},
        {"objectives", json::array()},
        {"workers", {{"report_s", s.report_s}, {"lease_s", s.lease_s}, {"cancel_s", s.cancel_s}}},
        {"state", {{"rps", 3000}, {"write_rps", 1500}, {"value_kb", 32}, {"txn_ops", 64}}},
        {"cloud", {{"rps", s.cloud_rps}, {"list_lag_s", s.list_lag_s}}},
        {"quota", {{"cpu_share", 1.0}, {"ram_mb", 512}, {"max_sockets", 4000}}},
        {"clock_off_ms", 100}}}}
      .dump(1);
}

std::string agent_settings(const Settings& s, const std::vector<AgentPlace>& all,
                           const emulators::CloudEmulator::Machine& m, const Endpoint& artifacts) {
  pugi::xml_document doc;
  pugi::xml_node root = doc.append_child("shunt-agent");
  auto put = [&](const char* name, const std::string& value) {
    root.append_child(name).text().set(value.c_str());
  };
  auto number = [](double d) {
    std::ostringstream out;
    out.imbue(std::locale::classic());
    out << d;
    return out.str();
  };
  put("machine", m.name);
  put("type", m.type);
  put("zone", m.zone);
  put("address", m.address);
  put("spot", m.spot ? "true" : "false");
  for (const auto& t : s.types) {
    if (t.spec.name != m.type) continue;
    put("cpus", number(t.spec.cpus));
    put("gpus", number(t.spec.gpus));
    put("mem-gb", number(t.spec.mem_gb));
  }
  put("report-s", number(s.report_s));
  put("lease-s", number(s.lease_s));
  pugi::xml_node controllers = root.append_child("controllers");
  for (const auto& c : all) {
    pugi::xml_node n = controllers.append_child("controller");
    n.append_attribute("name").set_value(c.name.c_str());
    n.append_attribute("address").set_value(text(c.front).c_str());
  }
  put("depot", text(artifacts));
  put("cache-gb", number(s.cache_gb));
  put("disk-reserve-mb", number(s.disk_reserve_mb));
  put("file-mb", number(s.file_mb));
  std::ostringstream out;
  doc.save(out, "  ");
  return out.str();
}

}  // namespace shunttrail::local_cluster

#include "local_cluster/settings.h"

#include <locale>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/xml.h"

namespace shunttrail::local_cluster {

using namespace config;
using nlohmann::json;

namespace {

constexpr double kMaxAmount = 1e6;
constexpr double kCancelMarginS = 5;  // cancel-s exceeds lease-s by at least this

// Limits of the emulated services, as every controller's settings state them.
constexpr int kStateRps = 3000, kStateWriteRps = 1500;
constexpr int kStateValueKb = 32, kStateTransactionOps = 64;
constexpr double kCpuShare = 1.0;
constexpr int kMemoryMb = 512, kMaxSockets = 4000;
constexpr int kClockErrorMs = 100;

double read_amount(pugi::xml_node node, const std::string& xml_path, const char* name,
                   double fallback) {
  const pugi::xml_attribute attribute = node.attribute(name);
  return attribute ? xml_number(attribute.value(), xml_path + "@" + name, 0, kMaxAmount) : fallback;
}

Team read_team(pugi::xml_node node, const std::string& xml_path) {
  return {xml_attribute(node, xml_path, "name"), read_amount(node, xml_path, "cpus", 0),
          read_amount(node, xml_path, "cpus-max", 0), read_amount(node, xml_path, "gpus", 0),
          read_amount(node, xml_path, "gpus-max", 0)};
}

emulators::EmulatedMachineType read_machine_type(pugi::xml_node node, const std::string& xml_path,
                                                 double cache_gb) {
  emulators::EmulatedMachineType type;
  type.spec.name = xml_attribute(node, xml_path, "name");
  type.spec.cpus = read_amount(node, xml_path, "cpus", 1);
  type.spec.gpus = read_amount(node, xml_path, "gpus", 0);
  type.spec.mem_gb = read_amount(node, xml_path, "mem-gb", 1);
  type.spec.price = read_amount(node, xml_path, "hourly", 0.1);
  type.spec.spot_price = read_amount(node, xml_path, "spot", type.spec.price);
  type.spec.boot_s = read_amount(node, xml_path, "boot-s", 1);
  type.spec.cache_gb = cache_gb;
  type.max_machines = static_cast<int>(read_amount(node, xml_path, "most", 4));
  return type;
}

using Reader = std::function<void(pugi::xml_node, const std::string& xml_path)>;

// Returns a reader of an element whose children all have this name.
Reader list_of(const char* name, Reader read_child) {
  return [name, read_child](pugi::xml_node node, const std::string& xml_path) {
    read_children(node, xml_path, {{name, read_child}});
  };
}

void check(const Settings& settings) {
  if (settings.zones.empty()) throw_settings_error("shunt-local.zones", "has no zone");
  if (settings.teams.empty()) throw_settings_error("shunt-local.teams", "has no team");
  if (settings.types.empty()) throw_settings_error("shunt-local.types", "has no type");
  if (settings.cancel_s < settings.lease_s + kCancelMarginS)
    throw_settings_error("shunt-local.cancel-s",
                         "has to exceed lease-s by at least " +
                             std::to_string(static_cast<int>(kCancelMarginS)) + " s");
}

json siblings_of(const std::vector<ControllerAddresses>& controllers, std::size_t self) {
  json siblings = json::array();
  for (std::size_t i = 0; i < controllers.size(); ++i)
    if (i != self)
      siblings.push_back({{"host_name", controllers[i].name},
                          {"zone", controllers[i].zone},
                          {"addr", to_text(controllers[i].internal)}});
  return siblings;
}

json to_json(const std::vector<Team>& teams) {
  json list = json::array();
  for (const Team& team : teams)
    list.push_back({{"name", team.name},
                    {"cpus", team.cpus},
                    {"cpus_max", team.cpus_max},
                    {"gpus", team.gpus},
                    {"gpus_max", team.gpus_max}});
  return list;
}

json cluster_settings(const Settings& settings, std::size_t controllers) {
  return {
      {"size", controllers},
      {"zones", settings.zones},
      {"teams", to_json(settings.teams)},
      {"objectives", json::array()},
      {"workers",
       {{"report_s", settings.report_s},
        {"lease_s", settings.lease_s},
        {"cancel_s", settings.cancel_s}}},
      {"state",
       {{"rps", kStateRps},
        {"write_rps", kStateWriteRps},
        {"value_kb", kStateValueKb},
        {"txn_ops", kStateTransactionOps}}},
      {"cloud", {{"rps", settings.cloud_rps}, {"list_lag_s", settings.list_lag_s}}},
      {"quota", {{"cpu_share", kCpuShare}, {"ram_mb", kMemoryMb}, {"max_sockets", kMaxSockets}}},
      {"clock_off_ms", kClockErrorMs}};
}

std::string format_number(double number) {
  std::ostringstream out;
  out.imbue(std::locale::classic());
  out << number;
  return out.str();
}

// Builds an XML document whose root holds text elements.
class SettingsWriter {
 public:
  explicit SettingsWriter(const char* root) : root_(document_.append_child(root)) {}

  void put(const char* name, const std::string& value) {
    root_.append_child(name).text().set(value.c_str());
  }
  void put(const char* name, double value) { put(name, format_number(value)); }
  pugi::xml_node add(const char* name) { return root_.append_child(name); }
  std::string text() const {
    std::ostringstream out;
    document_.save(out, "  ");
    return out.str();
  }

 private:
  pugi::xml_document document_;
  pugi::xml_node root_;
};

}  // namespace

Settings parse_settings(const std::string& xml) {
  pugi::xml_document document;
  const pugi::xml_node root = load_xml(document, xml, "shunt-local");
  Settings settings;
  read_children(root, "shunt-local",
                {{"controllers",
                  [&](pugi::xml_node node, const std::string& xml_path) {
                    settings.controllers =
                        static_cast<int>(xml_number(node.child_value(), xml_path, 1, 9));
                  }},
                 {"zones", list_of("zone",
                                   [&](pugi::xml_node node, const std::string& xml_path) {
                                     settings.zones.push_back(xml_text(node, xml_path));
                                   })},
                 {"teams", list_of("team",
                                   [&](pugi::xml_node node, const std::string& xml_path) {
                                     settings.teams.push_back(read_team(node, xml_path));
                                   })},
                 {"types", list_of("type",
                                   [&](pugi::xml_node node, const std::string& xml_path) {
                                     settings.types.push_back(
                                         read_machine_type(node, xml_path, settings.cache_gb));
                                   })},
                 {"report-s", xml_into(settings.report_s, 0.5, 3600)},
                 {"lease-s", xml_into(settings.lease_s, 2, 86400)},
                 {"cancel-s", xml_into(settings.cancel_s, 7, 86400)},
                 {"cloud-rps", xml_into(settings.cloud_rps, 1, 1e6)},
                 {"list-lag-s", xml_into(settings.list_lag_s, 0, 3600)},
                 {"disk-reserve-mb", xml_into(settings.disk_reserve_mb, 0, 1e9)},
                 {"file-mb", xml_into(settings.file_mb, 1, 1e9)},
                 {"cache-gb", xml_into(settings.cache_gb, 0, 1e6)}},
                {"zones", "teams", "types"});
  check(settings);
  for (auto& type : settings.types) type.spec.zones = settings.zones;
  return settings;
}

std::string to_text(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::string controller_settings(const Settings& settings,
                                const std::vector<ControllerAddresses>& controllers,
                                std::size_t self, const Endpoint& state, const Endpoint& cloud) {
  const ControllerAddresses& own = controllers[self];
  return json{{"host_name", own.name},
              {"zone", own.zone},
              {"front", to_text(own.front)},
              {"internal_addr", to_text(own.internal)},
              {"siblings", siblings_of(controllers, self)},
              {"services", {{"cloud", to_text(cloud)}, {"state", to_text(state)}}},
              {"cluster", cluster_settings(settings, controllers.size())}}
      .dump(1);
}

std::string agent_settings(const Settings& settings,
                           const std::vector<ControllerAddresses>& controllers,
                           const emulators::CloudEmulator::Machine& machine,
                           const Endpoint& artifacts) {
  SettingsWriter writer("shunt-agent");
  writer.put("machine", machine.name);
  writer.put("type", machine.type);
  writer.put("zone", machine.zone);
  writer.put("address", machine.address);
  writer.put("spot", std::string(machine.spot ? "true" : "false"));
  for (const auto& type : settings.types) {
    if (type.spec.name != machine.type) continue;
    writer.put("cpus", type.spec.cpus);
    writer.put("gpus", type.spec.gpus);
    writer.put("mem-gb", type.spec.mem_gb);
  }
  writer.put("report-s", settings.report_s);
  writer.put("lease-s", settings.lease_s);
  pugi::xml_node list = writer.add("controllers");
  for (const ControllerAddresses& controller : controllers) {
    pugi::xml_node element = list.append_child("controller");
    element.append_attribute("name").set_value(controller.name.c_str());
    element.append_attribute("address").set_value(to_text(controller.front).c_str());
  }
  writer.put("depot", to_text(artifacts));
  writer.put("cache-gb", settings.cache_gb);
  writer.put("disk-reserve-mb", settings.disk_reserve_mb);
  writer.put("file-mb", settings.file_mb);
  return writer.text();
}

}  // namespace shunttrail::local_cluster

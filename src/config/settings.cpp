#include "config/settings.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

#include "config/xml.h"

namespace shunttrail::config {
namespace {

using nlohmann::json;

[[noreturn]] void bad(const std::string& field, const std::string& why) {
  throw SettingsError(field + ": " + why);
}

const json& need(const json& at, const std::string& path, const char* name) {
  if (!at.is_object()) bad(path, "is not an object");
  auto it = at.find(name);
  if (it == at.end()) bad(path.empty() ? name : path + "." + name, "is missing");
  return *it;
}

std::string join(const std::string& path, const char* name) {
  return path.empty() ? name : path + "." + name;
}

std::string text(const json& at, const std::string& path, const char* name) {
  const json& v = need(at, path, name);
  if (!v.is_string() || v.get_ref<const std::string&>().empty())
    bad(join(path, name), "is not a non-empty string");
  return v.get<std::string>();
}

double number(const json& at, const std::string& path, const char* name, double least,
              double most = 1e12) {
  const json& v = need(at, path, name);
  if (!v.is_number()) bad(join(path, name), "is not a number");
  double d = v.get<double>();
  if (!std::isfinite(d) || d < least || d > most) bad(join(path, name), "is out of range");
  return d;
}

Endpoint endpoint(const json& at, const std::string& path, const char* name) {
  return parse_endpoint(text(at, path, name), join(path, name));
}

template <class List, class Get>
int find_name(const List& list, const std::string& name, Get get) {
  for (std::size_t i = 0; i < list.size(); ++i)
    if (get(list[i]) == name) return static_cast<int>(i);
  return -1;
}

}  // namespace

int Settings::node_index(const std::string& name) const {
  return find_name(nodes, name, [](const std::string& s) { return s; });
}
int Settings::team_index(const std::string& name) const {
  return find_name(teams, name, [](const Team& t) { return t.name; });
}
int Settings::zone_index(const std::string& name) const {
  return find_name(zones, name, [](const std::string& s) { return s; });
}

double team_limit(double stated) {
  return stated > 0 ? stated : std::numeric_limits<double>::infinity();
}

double Settings::staleness_bound_s() const { return std::max(2.0, cancel_s - lease_s - 3.0); }

Settings parse_settings(const std::string& input) {
  json root = json::parse(input, nullptr, false);
  if (root.is_discarded()) bad("settings", "are not JSON");
  if (!root.is_object()) bad("settings", "are not an object");
  Settings s;
  s.node = text(root, "", "host_name");
  s.zone = text(root, "", "zone");
  s.front = endpoint(root, "", "front");
  s.internal = endpoint(root, "", "internal_addr");
  const json& peers = need(root, "", "siblings");
  if (!peers.is_array()) bad("siblings", "is not a list");
  for (std::size_t i = 0; i < peers.size(); ++i) {
    std::string at = "siblings[" + std::to_string(i) + "]";
    s.peers.push_back({text(peers[i], at, "host_name"), text(peers[i], at, "zone"),
                       endpoint(peers[i], at, "addr")});
    s.nodes.push_back(s.peers.back().node);
  }
  s.nodes.push_back(s.node);
  std::sort(s.nodes.begin(), s.nodes.end());
  if (std::adjacent_find(s.nodes.begin(), s.nodes.end()) != s.nodes.end())
    bad("siblings", "name a node twice");
  s.self = s.node_index(s.node);
  const json& services = need(root, "", "services");
  s.cloud = endpoint(services, "services", "cloud");
  s.state = endpoint(services, "services", "state");
  const json& c = need(root, "", "cluster");
  if (static_cast<int>(number(c, "cluster", "size", 1, 1000)) != s.shards())
    bad("cluster.size", "does not match the siblings");
  const json& zones = need(c, "cluster", "zones");
  if (!zones.is_array() || zones.empty()) bad("cluster.zones", "is not a non-empty list");
  for (const json& z : zones) {
    if (!z.is_string()) bad("cluster.zones", "holds something that is not a string");
    s.zones.push_back(z.get<std::string>());
  }
  const json& teams = need(c, "cluster", "teams");
  if (!teams.is_array()) bad("cluster.teams", "is not a list");
  for (std::size_t i = 0; i < teams.size(); ++i) {
    std::string at = "cluster.teams[" + std::to_string(i) + "]";
    Team t;
    t.name = text(teams[i], at, "name");
    t.cpus = number(teams[i], at, "cpus", 0);
    t.cpus_max = team_limit(number(teams[i], at, "cpus_max", 0));
    t.gpus = number(teams[i], at, "gpus", 0);
    t.gpus_max = team_limit(number(teams[i], at, "gpus_max", 0));
    if (t.cpus_max < t.cpus) bad(at + ".cpus_max", "is below the guarantee");
    if (t.gpus_max < t.gpus) bad(at + ".gpus_max", "is below the guarantee");
    if (s.team_index(t.name) >= 0) bad(at + ".name", "is used twice");
    s.teams.push_back(t);
  }
  const json& w = need(c, "cluster", "workers");
  s.heartbeat_s = number(w, "cluster.workers", "report_s", 0.1, 3600);
  s.lease_s = number(w, "cluster.workers", "lease_s", 1, 86400);
  s.cancel_s = number(w, "cluster.workers", "cancel_s", 1, 86400);
  if (s.cancel_s < s.lease_s + 5) bad("cluster.workers.cancel_s", "leaves no room above lease_s");
  const json& st = need(c, "cluster", "state");
  s.state_limits = {number(st, "cluster.state", "rps", 1),
                    number(st, "cluster.state", "write_rps", 1),
                    number(st, "cluster.state", "value_kb", 1, 64),
                    static_cast<int>(number(st, "cluster.state", "txn_ops", 4, 100000))};
  s.state_next = s.state_limits;
  if (auto it = st.find("next"); it != st.end() && !it->is_null()) {
    const std::string at = "cluster.state.next";
    if (!it->is_object()) bad(at, "is not an object");
    auto may = [&](const char* name, double now, double least, double most) {
      return it->contains(name) ? number(*it, at, name, least, most) : now;
    };
    s.state_next = {may("rps", s.state_limits.rps, 1, 1e12),
                    may("write_rps", s.state_limits.write_rps, 1, 1e12),
                    may("value_kb", s.state_limits.value_kb, 1, 64),
                    static_cast<int>(may("txn_ops", s.state_limits.txn_ops, 2, 100000))};
  }
  const json& cl = need(c, "cluster", "cloud");
  s.cloud_rps = number(cl, "cluster.cloud", "rps", 0.01);
  s.list_lag_s = number(cl, "cluster.cloud", "list_lag_s", 0);
  const json& q = need(c, "cluster", "quota");
  s.memory_mb = number(q, "cluster.quota", "ram_mb", 1);
  s.max_sockets = static_cast<int>(number(q, "cluster.quota", "max_sockets", 8));
  s.clock_off_ms = number(c, "cluster", "clock_off_ms", 0);

  std::vector<int> order(s.teams.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    const Team &x = s.teams[a], &y = s.teams[b];
    double wx = x.cpus + 16 * x.gpus, wy = y.cpus + 16 * y.gpus;
    return wx != wy ? wx > wy : x.name < y.name;
  });
  std::vector<double> load(s.shards(), 0.0);
  s.team_shard.assign(s.teams.size(), 0);
  for (int t : order) {
    int k = static_cast<int>(std::min_element(load.begin(), load.end()) - load.begin());
    s.team_shard[t] = k;
    load[k] += s.teams[t].cpus + 16 * s.teams[t].gpus + 1e-6;
  }
  return s;
}

Tuning parse_tuning(const std::string& input) {
  Tuning t;
  auto count = [](int& to, int least, int most) {
    return [&to, least, most](pugi::xml_node n, const std::string& at) {
      double v = xml_number(n.child_value(), at, least, most);
      if (v != std::floor(v)) bad(at, "is not a whole number");
      to = static_cast<int>(v);
    };
  };
  pugi::xml_document doc;
  read_children(load_xml(doc, input, "shunttrail"), "tuning",
                {{"waiting-bar", count(t.waiting_bar, 0, 10000)},
                 {"ring", count(t.ring, 1, 1000)},
                 {"lambda", xml_into(t.lambda, 1.0001, 100)},
                 {"idle-start-s", xml_into(t.idle_start_s, 0.001, 86400)},
                 {"idle-cap", xml_into(t.idle_cap, 1, 10000)},
                 {"wait-weight", xml_into(t.wait_weight, 0, 1e6)},
                 {"late-weight", xml_into(t.late_weight, 0, 1e9)},
                 {"hold-s", xml_into(t.node_lease_s, 1, 600)},
                 {"reply-hold-s", xml_into(t.response_hold_s, 0, 3)},
                 {"relay", [&t](pugi::xml_node n, const std::string& at) {
                    t.relay = xml_flag(n.child_value(), at);
                  }}});
  return t;
}

std::string read_file(const std::string& path, const char* what) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  if (!in || !(out << in.rdbuf())) bad(what, "cannot be read: " + path);
  return out.str();
}

}  // namespace shunttrail::config

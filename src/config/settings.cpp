#include "config/settings.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

#include "config/settings_json.h"
#include "config/xml.h"

namespace shunttrail::config {
namespace {

using nlohmann::json;

/// Most nodes of a cluster.
constexpr double kMaxNodes = 1000;
constexpr double kMaxDurationS = 86400;
/// The state service's own limits of a value and a transaction.
constexpr double kMaxValueKb = 64;
constexpr double kMaxTransactionOps = 100000;
/// A cancellation has to be read, answered and carried out in the time above the lease.
constexpr double kMinCancelMarginS = 5;
/// What a GPU weighs beside a CPU when teams are divided among shards.
constexpr double kCpusPerGpu = 16;
/// Makes a team without guarantees count a little, so that such teams are divided as well.
constexpr double kMinTeamWeight = 1e-6;

template <class List, class GetName>
int find_name(const List& list, const std::string& name, GetName get_name) {
  for (std::size_t i = 0; i < list.size(); ++i)
    if (get_name(list[i]) == name) return static_cast<int>(i);
  return -1;
}

const std::string& identity(const std::string& name) { return name; }

void read_node(const Section& root, Settings& settings) {
  settings.node = root.text("host_name");
  settings.zone = root.text("zone");
  settings.front = root.endpoint("front");
  settings.internal = root.endpoint("internal_addr");
}

void read_peers(const Section& root, Settings& settings) {
  const json& peers = root.required("siblings");
  if (!peers.is_array()) throw_settings_error("siblings", "is not a list");
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const Section peer(peers[i], "siblings[" + std::to_string(i) + "]");
    settings.peers.push_back({peer.text("host_name"), peer.text("zone"), peer.endpoint("addr")});
    settings.nodes.push_back(settings.peers.back().node);
  }
  settings.nodes.push_back(settings.node);
  std::sort(settings.nodes.begin(), settings.nodes.end());
  if (std::adjacent_find(settings.nodes.begin(), settings.nodes.end()) != settings.nodes.end())
    throw_settings_error("siblings", "name a node twice");
  settings.self = settings.node_index(settings.node);
}

void read_services(const Section& services, Settings& settings) {
  settings.cloud = services.endpoint("cloud");
  settings.state = services.endpoint("state");
}

void read_zones(const Section& cluster, Settings& settings) {
  const json& zones = cluster.required("zones");
  if (!zones.is_array() || zones.empty())
    throw_settings_error("cluster.zones", "is not a non-empty list");
  for (const json& zone : zones) {
    if (!zone.is_string())
      throw_settings_error("cluster.zones", "holds something that is not a string");
    settings.zones.push_back(zone.get<std::string>());
  }
}

Team read_team(const Section& section) {
  Team team;
  team.name = section.text("name");
  team.cpus = section.number("cpus", 0);
  team.cpus_max = team_limit(section.number("cpus_max", 0));
  team.gpus = section.number("gpus", 0);
  team.gpus_max = team_limit(section.number("gpus_max", 0));
  if (team.cpus_max < team.cpus)
    throw_settings_error(section.path("cpus_max"), "is below the guarantee");
  if (team.gpus_max < team.gpus)
    throw_settings_error(section.path("gpus_max"), "is below the guarantee");
  return team;
}

void read_teams(const Section& cluster, Settings& settings) {
  const json& teams = cluster.required("teams");
  if (!teams.is_array()) throw_settings_error("cluster.teams", "is not a list");
  for (std::size_t i = 0; i < teams.size(); ++i) {
    const Section section(teams[i], "cluster.teams[" + std::to_string(i) + "]");
    Team team = read_team(section);
    if (settings.team_index(team.name) >= 0)
      throw_settings_error(section.path("name"), "is used twice");
    settings.teams.push_back(std::move(team));
  }
}

void read_workers(const Section& workers, Settings& settings) {
  settings.heartbeat_s = workers.number("report_s", 0.1, 3600);
  settings.lease_s = workers.number("lease_s", 1, kMaxDurationS);
  settings.cancel_s = workers.number("cancel_s", 1, kMaxDurationS);
  if (settings.cancel_s < settings.lease_s + kMinCancelMarginS)
    throw_settings_error(workers.path("cancel_s"), "leaves no room above lease_s");
}

/// What is announced for later: the present limits, but for what is named.
Settings::StateLimits read_next_limits(const Section& state, const Settings::StateLimits& present) {
  if (!state.contains("next") || state.required("next").is_null()) return present;
  if (!state.required("next").is_object())
    throw_settings_error(state.path("next"), "is not an object");
  const Section next = state.section("next");
  Settings::StateLimits limits;
  limits.rps = next.number_or("rps", present.rps, 1);
  limits.write_rps = next.number_or("write_rps", present.write_rps, 1);
  limits.value_kb = next.number_or("value_kb", present.value_kb, 1, kMaxValueKb);
  limits.txn_ops =
      static_cast<int>(next.number_or("txn_ops", present.txn_ops, 2, kMaxTransactionOps));
  return limits;
}

void read_state_limits(const Section& state, Settings& settings) {
  settings.state_limits.rps = state.number("rps", 1);
  settings.state_limits.write_rps = state.number("write_rps", 1);
  settings.state_limits.value_kb = state.number("value_kb", 1, kMaxValueKb);
  settings.state_limits.txn_ops = state.whole("txn_ops", 4, kMaxTransactionOps);
  settings.state_next = read_next_limits(state, settings.state_limits);
}

void read_cloud_limits(const Section& cloud, Settings& settings) {
  settings.cloud_rps = cloud.number("rps", 0.01);
  settings.list_lag_s = cloud.number("list_lag_s", 0);
}

void read_quota(const Section& quota, Settings& settings) {
  settings.memory_mb = quota.number("ram_mb", 1);
  settings.max_sockets = quota.whole("max_sockets", 8);
}

void read_cluster(const Section& cluster, Settings& settings) {
  if (cluster.whole("size", 1, kMaxNodes) != settings.shards())
    throw_settings_error("cluster.size", "does not match the siblings");
  read_zones(cluster, settings);
  read_teams(cluster, settings);
  read_workers(cluster.section("workers"), settings);
  read_state_limits(cluster.section("state"), settings);
  read_cloud_limits(cluster.section("cloud"), settings);
  read_quota(cluster.section("quota"), settings);
  settings.clock_off_ms = cluster.number("clock_off_ms", 0);
}

double guarantee_weight(const Team& team) { return team.cpus + kCpusPerGpu * team.gpus; }

/// Gives each team, the one with the largest guarantee first, to the shard with the least so far.
/// All controllers come to the same result.
std::vector<int> divide_teams(const std::vector<Team>& teams, int shards) {
  std::vector<int> order(teams.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](int a, int b) {
    const Team& team_a = teams[static_cast<std::size_t>(a)];
    const Team& team_b = teams[static_cast<std::size_t>(b)];
    const double weight_a = guarantee_weight(team_a);
    const double weight_b = guarantee_weight(team_b);
    return weight_a != weight_b ? weight_a > weight_b : team_a.name < team_b.name;
  });
  std::vector<double> load(static_cast<std::size_t>(shards), 0.0);
  std::vector<int> shard_of(teams.size(), 0);
  for (int index : order) {
    const Team& team = teams[static_cast<std::size_t>(index)];
    const auto lightest = std::min_element(load.begin(), load.end());
    shard_of[static_cast<std::size_t>(index)] = static_cast<int>(lightest - load.begin());
    *lightest += guarantee_weight(team) + kMinTeamWeight;
  }
  return shard_of;
}

}  // namespace

int Settings::node_index(const std::string& name) const { return find_name(nodes, name, identity); }

int Settings::team_index(const std::string& name) const {
  return find_name(teams, name, [](const Team& team) { return team.name; });
}

int Settings::zone_index(const std::string& name) const { return find_name(zones, name, identity); }

double team_limit(double stated) {
  return stated > 0 ? stated : std::numeric_limits<double>::infinity();
}

double Settings::staleness_bound_s() const {
  constexpr double kMinS = 2.0;
  /// Left for the last answer and for the tasks to stop.
  constexpr double kMarginS = 3.0;
  return std::max(kMinS, cancel_s - lease_s - kMarginS);
}

Settings parse_settings(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) throw_settings_error("settings", "are not JSON");
  if (!document.is_object()) throw_settings_error("settings", "are not an object");
  const Section root(document, "");
  Settings settings;
  // In this order: of several errors the first one is told.
  read_node(root, settings);
  read_peers(root, settings);
  read_services(root.section("services"), settings);
  read_cluster(root.section("cluster"), settings);
  settings.team_shard = divide_teams(settings.teams, settings.shards());
  return settings;
}

std::string read_file(const std::string& path, const char* what) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  if (!in || !(out << in.rdbuf())) throw_settings_error(what, "cannot be read: " + path);
  return out.str();
}

}  // namespace shunttrail::config

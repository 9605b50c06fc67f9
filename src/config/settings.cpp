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

/// Maximum number of nodes of a cluster.
constexpr double kMaxNodes = 1000;
/// Maximum of a lease or of the time to cancel a job.
constexpr double kMaxDurationS = 86400;
/// Maxima that the settings may state for the size of a value and the number of changes in a
/// transaction: the state service accepts no more.
constexpr double kMaxValueKb = 64;
constexpr double kMaxTransactionOps = 100000;
/// Minimum of cancel_s minus lease_s. In this time a cancellation is read, sent to the workers and
/// carried out.
constexpr double kMinCancelMarginS = 5;
/// Number of CPUs that one GPU counts as when teams are distributed among shards.
constexpr double kCpusPerGpu = 16;
/// Weight that is added for each team, so that teams without guarantees are distributed as well.
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
  const auto twice = std::adjacent_find(settings.nodes.begin(), settings.nodes.end());
  if (twice != settings.nodes.end())
    throw_settings_error("siblings", "and host_name name node " + quoted_text(*twice) + " twice");
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
      throw_settings_error("cluster.zones", "holds " + zone.dump() + ", expected strings");
    settings.zones.push_back(zone.get<std::string>());
  }
}

std::string below_guarantee(double limit, double guarantee) {
  return "is " + number_text(limit) + ", below the guarantee of " + number_text(guarantee);
}

Team read_team(const Section& section) {
  Team team;
  team.name = section.text("name");
  team.cpus = section.number("cpus", 0);
  team.cpus_max = team_limit(section.number("cpus_max", 0));
  team.gpus = section.number("gpus", 0);
  team.gpus_max = team_limit(section.number("gpus_max", 0));
  if (team.cpus_max < team.cpus)
    throw_settings_error(section.path("cpus_max"), below_guarantee(team.cpus_max, team.cpus));
  if (team.gpus_max < team.gpus)
    throw_settings_error(section.path("gpus_max"), below_guarantee(team.gpus_max, team.gpus));
  return team;
}

void read_teams(const Section& cluster, Settings& settings) {
  const json& teams = cluster.required("teams");
  if (!teams.is_array()) throw_settings_error("cluster.teams", "is not a list");
  for (std::size_t i = 0; i < teams.size(); ++i) {
    const Section section(teams[i], "cluster.teams[" + std::to_string(i) + "]");
    Team team = read_team(section);
    if (settings.team_index(team.name) >= 0)
      throw_settings_error(section.path("name"),
                           "is " + quoted_text(team.name) + ", the name of an earlier team");
    settings.teams.push_back(std::move(team));
  }
}

void read_workers(const Section& workers, Settings& settings) {
  settings.heartbeat_s = workers.number("report_s", 0.1, 3600);
  settings.lease_s = workers.number("lease_s", 1, kMaxDurationS);
  settings.cancel_s = workers.number("cancel_s", 1, kMaxDurationS);
  if (settings.cancel_s < settings.lease_s + kMinCancelMarginS)
    throw_settings_error(workers.path("cancel_s"),
                         "is " + number_text(settings.cancel_s) + ", expected at least " +
                             number_text(settings.lease_s + kMinCancelMarginS) +
                             ", which is lease_s plus " + number_text(kMinCancelMarginS));
}

/// Reads the limits that are announced for later. A limit that is not announced keeps its present
/// value.
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
    throw_settings_error("cluster.size", "expected " + std::to_string(settings.shards()) +
                                             ", the number of siblings plus this node");
  read_zones(cluster, settings);
  read_teams(cluster, settings);
  read_workers(cluster.section("workers"), settings);
  read_state_limits(cluster.section("state"), settings);
  read_cloud_limits(cluster.section("cloud"), settings);
  read_quota(cluster.section("quota"), settings);
  settings.clock_off_ms = cluster.number("clock_off_ms", 0);
}

double guarantee_weight(const Team& team) { return team.cpus + kCpusPerGpu * team.gpus; }

/// Assigns the teams in descending order of their guarantees, each to the shard with the smallest
/// sum so far. Returns the shard of each team. All controllers compute the same result.
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
  /// Time for the leader's last answer to arrive and for the tasks to stop.
  constexpr double kMarginS = 3.0;
  return std::max(kMinS, cancel_s - lease_s - kMarginS);
}

Settings parse_settings(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded()) throw_settings_error("settings", "are not JSON");
  if (!document.is_object()) throw_settings_error("settings", "are not an object");
  const Section root(document, "");
  Settings settings;
  // The order decides which error is reported if several fields are invalid.
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

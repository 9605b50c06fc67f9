#include "simulation/simulated_controllers.h"

#include <algorithm>
#include <array>

namespace shunttrail::simulation {

namespace {
constexpr std::array kTeams = {"red", "blue", "green", "white"};
// A clock's rate differs from 1 by this much at most, so that two clocks differ by 0.05%, the
// protocol's limit.
constexpr double kClockDrift = 0.00025;

config::Settings::StateLimits state_limits(const ClusterOptions& options,
                                           const StateSizeLimits& sizes) {
  return {options.state_rps, options.state_write_rps, sizes.value_kb, sizes.txn_ops};
}

config::Settings make_settings(const ClusterOptions& options) {
  config::Settings s;
  for (int n = 0; n < options.controllers; ++n) s.nodes.push_back("node-" + std::to_string(n));
  s.zones = {"a", "b"};
  const double limit =
      options.controllers_team_limit > 0 ? options.controllers_team_limit : options.team_limit;
  for (int t = 0; t < options.teams; ++t) {
    s.teams.push_back({kTeams[static_cast<std::size_t>(t)], limit / 2, limit, 0, 0});
    s.team_shard.push_back(t % options.controllers);
  }
  s.heartbeat_s = options.heartbeat_s;
  s.lease_s = options.lease_s;
  s.cancel_s = options.controllers_cancel_s > 0 ? options.controllers_cancel_s : options.cancel_s;
  s.state_limits = state_limits(options, options.state_sizes);
  s.state_next = state_limits(options, options.next_state_sizes);
  s.cloud_rps = options.cloud_rps;
  s.clock_off_ms = 1000 * options.wall_clock_error_s;
  s.list_lag_s = options.list_lag_s > 0 ? options.list_lag_s : 1;
  s.state = {"state", 1};
  s.cloud = {"cloud", 1};
  return s;
}
}  // namespace

SimulatedControllers::SimulatedControllers(Simulation& simulation, const ClusterOptions& options)
    : simulation_(simulation),
      options_(options),
      shared_settings_(make_settings(options)),
      processes_(static_cast<std::size_t>(options.controllers)) {
  tuning_.relay = options.relay;
  tuning_.delegation = options.delegation;
}

void SimulatedControllers::start_all() {
  for (int node = 0; node < count(); ++node) start(node);
}

void SimulatedControllers::start(int node) {
  Process& p = process(node);
  if (p.controller) return;
  const int offset = node % 3 - 1;  // the clock is slow, exact or fast, by the controller's number
  p.host = std::make_unique<Host>(simulation_, hosts()[static_cast<std::size_t>(node)],
                                  1 + offset * kClockDrift, offset * options_.wall_clock_error_s);
  const std::string& self = p.host->name();
  p.settings = shared_settings_;
  p.settings.node = self;
  p.settings.self = node;
  p.settings.zone = zone_of(node);
  p.settings.front = {self, kPublicPort};
  p.settings.internal = {self, kInternalPort};
  for (const auto& other : hosts())
    if (other != self) p.settings.peers.push_back({other, "a", {other, kInternalPort}});
  p.controller = std::make_unique<controller::Controller>(p.host->loop(), p.settings, tuning_);
}

void SimulatedControllers::stop(int node) {
  process(node).controller.reset();
  process(node).host.reset();
}

void SimulatedControllers::freeze(int node, double for_s) {
  if (auto& host = process(node).host) host->freeze(simulation_.now() + for_s);
}

void SimulatedControllers::freeze_after(int node, std::uint64_t turns, double for_s) {
  if (auto& host = process(node).host) host->freeze_after(turns, for_s);
}

int SimulatedControllers::find_host(const std::string& host) const {
  const auto at = std::find(hosts().begin(), hosts().end(), host);
  return at == hosts().end() ? -1 : static_cast<int>(at - hosts().begin());
}

const std::string& SimulatedControllers::zone_of(int node) const {
  const auto& zones = shared_settings_.zones;
  return zones[static_cast<std::size_t>(node) % zones.size()];
}

bool SimulatedControllers::leads(int node, int shard) const {
  const auto& controller = processes_[static_cast<std::size_t>(node)].controller;
  return controller && controller->leads(shard);
}

int SimulatedControllers::leader(int shard) const {
  for (int node = 0; node < count(); ++node)
    if (leads(node, shard)) return node;
  return -1;
}

int SimulatedControllers::random_leader() {
  return std::max(0, leader(simulation_.chance(0.5) ? 0 : shared_settings_.team_shard[1]));
}

}  // namespace shunttrail::simulation

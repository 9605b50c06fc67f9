#include "simulation/simulated_cluster.h"

#include <algorithm>
#include <array>

namespace shunttrail::simulation {

using wire::TaskState;

namespace {
constexpr double kLook = 0.25;  // between two looks at the rules
constexpr double kBoot = 3;
constexpr std::array kTeams = {"red", "blue", "green", "white"};
}  // namespace

SimulatedCluster::SimulatedCluster(unsigned seed, const ClusterOptions& scale)
    : options_(scale),
      sim_(seed),
      cuts_(static_cast<std::size_t>(scale.controllers)),
      refused_until_(static_cast<std::size_t>(scale.controllers), 0) {
  sim_.way = [this](const Request& r) { return way(r); };
  sim_.hold_answer = [this](const Request& r) { return hold_answer(r); };
  tuning_.relay = scale.relay;
  config::Settings& s = base_;
  for (int n = 0; n < scale.controllers; ++n) s.nodes.push_back("node-" + std::to_string(n));
  s.zones = {"a", "b"};
  const double limit = scale.told_team_limit > 0 ? scale.told_team_limit : scale.team_limit;
  for (int t = 0; t < scale.teams; ++t) {
    s.teams.push_back({kTeams[static_cast<std::size_t>(t)], limit / 2, limit, 0, 0});
    s.team_shard.push_back(t % scale.controllers);
  }
  s.heartbeat_s = scale.heartbeat_s;
  s.lease_s = scale.lease_s;
  s.cancel_s = scale.told_cancel_s > 0 ? scale.told_cancel_s : scale.cancel_s;
  s.state_limits = s.state_next = {3000, 1000, 16, 16};
  s.state_limits.rps = s.state_next.rps = scale.state_rps;
  s.state_limits.write_rps = s.state_next.write_rps = scale.state_write_rps;
  s.cloud_rps = scale.cloud_rps;
  s.clock_off_ms = 1000 * scale.wall_off_s;
  s.list_lag_s = scale.list_lag_s > 0 ? scale.list_lag_s : 1;
  s.state = {"state", 1};
  s.cloud = {"cloud", 1};

  state_host_ = std::make_unique<Host>(sim_, "state");
  cloud_host_ = std::make_unique<Host>(sim_, "cloud");
  users_host_ = std::make_unique<Host>(sim_, "users");
  state_ = std::make_unique<emulators::StateServiceEmulator>(state_host_->loop(), s.state, "");
  state_->limit(scale.state_rps, scale.state_write_rps);
  std::vector<emulators::EmulatedMachineType> types{
      {{"t4", scale.machine_cpus, 0, kMemGb, 0.4, 0.1, kBoot, s.zones}, scale.machines}};
  if (scale.big_machines > 0)
    types.push_back(
        {{"t8", 2 * scale.machine_cpus, 0, kMemGb, 0.8, 0.2, kBoot, s.zones}, scale.big_machines});
  types.insert(types.end(), scale.more_types.begin(), scale.more_types.end());
  cloud_ = std::make_unique<emulators::CloudEmulator>(
      cloud_host_->loop(), s.cloud, std::move(types), scale.cloud_rps, "",
      emulators::CloudEmulator::Power{
          [this] { return "w-" + std::to_string(++addresses_) + ":9"; },
          [this](const emulators::CloudEmulator::Machine& m) { power_on(m); },
          [this](std::vector<std::string> names, const std::function<void()>& gone) {
            for (const auto& m : machines_)
              if (std::find(names.begin(), names.end(), m->name) != names.end() && m->worker) {
                lost_before_ += m->worker->leases_lost();
                m->worker.reset();
                m->host.reset();
              }
            gone();
          }},
      seed);
  cloud_->lag(scale.list_lag_s);
  nodes_.resize(static_cast<std::size_t>(scale.controllers));
  for (int n = 0; n < scale.controllers; ++n) start(n);
}

SimulatedCluster::~SimulatedCluster() {
  asked_.clear();
  for (auto& n : nodes_) n.controller.reset();
  for (auto& m : machines_) m->worker.reset();
  cloud_.reset();
  state_.reset();
}

void SimulatedCluster::start(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (n.controller) return;
  // Steady clocks drift apart by as much as the protocol allows.
  n.host =
      std::make_unique<Host>(sim_, base_.nodes[static_cast<std::size_t>(node)],
                             1 + (node % 3 - 1) * 0.00025, (node % 3 - 1) * options_.wall_off_s);
  n.settings = base_;
  n.settings.node = n.host->name();
  n.settings.self = node;
  n.settings.zone = base_.zones[static_cast<std::size_t>(node) % base_.zones.size()];
  n.settings.front = {n.host->name(), 80};
  n.settings.internal = {n.host->name(), 81};
  for (const auto& other : base_.nodes)
    if (other != n.settings.node) n.settings.peers.push_back({other, "a", {other, 81}});
  n.controller = std::make_unique<controller::Controller>(n.host->loop(), n.settings, tuning_);
}

void SimulatedCluster::power_on(const emulators::CloudEmulator::Machine& m) {
  auto machine = std::make_unique<Machine>();
  machine->name = m.name;
  const std::string host = m.address.substr(0, m.address.find(':'));
  machine->zone = m.zone;
  machine->host = std::make_unique<Host>(sim_, host, 1 + sim_.draw(-0.00025, 0.00025));
  machine->host->any_order_after_freezes();
  emulators::WorkerEmulator::Settings s;
  s.name = m.name;
  s.type = m.type;
  s.zone = m.zone;
  s.spot = m.spot;
  s.at = {host, 9};
  s.cpus = cpus_of(m.type);
  s.report_s = options_.heartbeat_s;
  s.lease_s = options_.lease_s;
  for (const auto& n : base_.nodes) s.nodes.emplace_back(n, config::Endpoint{n, 80});
  machine_by_host_[host] = machines_.size();
  machine->worker = std::make_unique<emulators::WorkerEmulator>(
      machine->host->loop(), std::move(s),
      [this](const wire::TaskId& t) -> std::optional<emulators::WorkerEmulator::Work> {
        auto j = jobs_.find(t.job);
        if (j == jobs_.end()) return std::nullopt;
        // A result that is kept: the task exits as soon as it has its image.
        const double run = j->second.spec.service          ? 1e9
                           : results_.contains(name_of(t)) ? 0.01
                                                           : j->second.run_s * (1 + t.index % 3);
        const wire::JobSpec& spec = j->second.spec;
        return emulators::WorkerEmulator::Work{spec.cpus, spec.image_gb, run, spec.checkpoint_s,
                                               spec.save_s};
      },
      static_cast<unsigned>(sim_.rng()()),
      emulators::WorkerEmulator::Watched{
          [this](const emulators::WorkerEmulator& w, const emulators::WorkerEmulator::Task& t,
                 wire::TaskState was) { moved(w, t, was); },
          [this](const emulators::WorkerEmulator::Task& t) {
            if (t.why == wire::ExitReason::done) acknowledged_.insert(name_of(t.id));
          }});
  machines_.push_back(std::move(machine));
}

void SimulatedCluster::pass(double seconds) {
  for (const double until = sim_.now() + seconds; sim_.now() < until;) {
    sim_.run_until(std::min(until, sim_.now() + kLook));
    check();
    look_at_room();
    cloud_->quick(options_.quick_boots_s);
    look_for_leaders();
  }
}

std::uint64_t SimulatedCluster::leases_lost() const {
  std::uint64_t n = lost_before_;
  for (const auto& m : machines_)
    if (m->worker) n += m->worker->leases_lost();
  return n;
}

void SimulatedCluster::lose_zone(const std::string& zone, double none_for_s) {
  for (int n = 0; n < machines(); ++n)
    if (const Machine& m = *machines_[static_cast<std::size_t>(n)];
        m.worker && m.worker->settings().zone == zone)
      kill_machine(n);
  cloud_->refuse_in(zone, none_for_s);
}

}  // namespace shunttrail::simulation

#include "simulation/fault_injector.h"

#include <algorithm>
#include <utility>

namespace shunttrail::simulation {

using emulators::WorkerEmulator;

namespace {
constexpr int kServiceUnavailable = 503;
constexpr const char* kHeartbeatPath = "/agent/beat";
constexpr const char* kCommitPath = "/commit";
constexpr double kDelayedCommitMinS = 2, kDelayedCommitMaxS = 12;
constexpr double kCommandCopyMinS = 0.1;  // delay of a copy of a direct command
constexpr double kCommandCopyMaxLeases = 2.2;
constexpr double kMaxDelayAfterReturnS = 1;  // of the copies that are sent after a return
}  // namespace

FaultInjector::FaultInjector(Simulation& simulation, const ClusterOptions& options,
                             SimulatedControllers& controllers, SimulatedMachines& machines,
                             emulators::StateServiceEmulator& state_service,
                             emulators::CloudEmulator& cloud)
    : simulation_(simulation),
      options_(options),
      controllers_(controllers),
      machines_(machines),
      state_(state_service),
      cloud_(cloud),
      controller_faults_(static_cast<std::size_t>(controllers.count())),
      leaders_(static_cast<std::size_t>(controllers.count()), -1) {}

FaultInjector::ControllerFaults& FaultInjector::controller_faults(int node) {
  return controller_faults_[static_cast<std::size_t>(node)];
}

FaultInjector::MachineFaults& FaultInjector::machine_faults(int machine) {
  const auto n = static_cast<std::size_t>(machine);
  if (machine_faults_.size() <= n) machine_faults_.resize(n + 1);
  return machine_faults_[n];
}

// ---- requests

int FaultInjector::link_of(const std::string& other, bool other_sends) const {
  if (other == "state") return Link::state;
  if (controllers_.find_host(other) >= 0) return Link::peers;
  if (other.starts_with("w")) return Link::workers | (other_sends ? Link::heartbeats : 0);
  return 0;
}

bool FaultInjector::is_cut(const std::string& from, const std::string& to) const {
  for (std::size_t n = 0; n < controller_faults_.size(); ++n) {
    const ControllerFaults& faults = controller_faults_[n];
    if (faults.cut_until <= simulation_.now()) continue;
    const std::string& self = controllers_.hosts()[n];
    if (from != self && to != self) continue;
    const std::string& other = from == self ? to : from;
    if (faults.cut_links & link_of(other, other == from)) return true;
  }
  return false;
}

std::string FaultInjector::zone_of(const std::string& host) const {
  if (const int node = controllers_.find_host(host); node >= 0) return controllers_.zone_of(node);
  const int machine = machines_.find_host(host);
  return machine >= 0 ? machines_[machine].zone : "";
}

double FaultInjector::zone_cut_until(const Request& request) const {
  if (zone_cut_.until <= simulation_.now()) return 0;
  const bool from_inside = zone_of(request.from) == zone_cut_.zone;
  const bool to_inside = zone_of(request.to) == zone_cut_.zone;
  return from_inside == to_inside ? 0 : zone_cut_.until;
}

Delivery FaultInjector::deliver(const Request& request) {
  Delivery delivery;
  if (is_cut(request.from, request.to)) {
    delivery.arrives = false;
    return delivery;
  }
  if (const double until = zone_cut_until(request)) {
    if (simulation_.chance(0.5))
      delivery.request_delay_s = until - simulation_.now();
    else
      delivery.arrives = false;
    return delivery;
  }
  if (options_.max_link_delay_s > 0) {
    delivery.request_delay_s = simulation_.draw(0, options_.max_link_delay_s);
    delivery.answer_delay_s = simulation_.draw(0, options_.max_link_delay_s);
  }
  if (request.to == "state") {
    deliver_to_state(request, delivery);
    return delivery;
  }
  const double now = simulation_.now();
  if (request.to == "cloud" && now < cloud_outage_until_)
    delivery.refusal_status = kServiceUnavailable;
  const bool is_heartbeat = request.path == kHeartbeatPath;
  if (is_heartbeat && simulation_.chance(options_.heartbeat_copies))
    delivery.copy_delays_s = {simulation_.draw(2, 2.2 * options_.lease_s)};
  if (is_heartbeat && simulation_.chance(options_.copies_for_next_leader))
    saved_heartbeats_.push_back(request);
  if (const int machine = machines_.find_host(request.to); machine >= 0) {
    const MachineFaults& faults = machine_faults(machine);
    if (faults.responses_lost_until > now) delivery.arrives = false;
    if (faults.commands_held_until > now)
      delivery.request_delay_s = faults.commands_held_until - now;
    if (request.path == kDirectCommandPath) copy_direct_commands(request, delivery);
  }
  if (const int machine = machines_.find_host(request.from);
      machine >= 0 && machine_faults(machine).heartbeats_cut_until > now)
    delivery.arrives = false;
  return delivery;
}

void FaultInjector::copy_direct_commands(const Request& request, Delivery& delivery) {
  if (options_.command_copies > 0 && simulation_.chance(options_.command_copies)) {
    const int copies = simulation_.chance(0.5) ? 1 : 2;
    for (int copy = 0; copy < copies; ++copy)
      delivery.copy_delays_s.push_back(
          simulation_.draw(kCommandCopyMinS, kCommandCopyMaxLeases * options_.lease_s));
    commands_copied_ += delivery.copy_delays_s.size();
  }
  if (options_.command_copies_at_return > 0 &&
      simulation_.chance(options_.command_copies_at_return))
    saved_commands_.push_back(request);
}

void FaultInjector::send_saved_commands() {
  for (const Request& commands : std::exchange(saved_commands_, {})) {
    ++commands_copied_;
    simulation_.at(simulation_.now() + simulation_.draw(0, kMaxDelayAfterReturnS),
                   [this, commands] {
                     simulation_.send_copy(commands, {commands.to, kWorkerPort});
                   });
  }
}

void FaultInjector::deliver_to_state(const Request& request, Delivery& delivery) {
  if (options_.max_link_delay_s <= 0)
    delivery.request_delay_s = delivery.answer_delay_s =
        options_.state_latency_s / 2 * simulation_.draw(0.5, 1.5);
  if (simulation_.now() < state_slow_until_)
    delivery.request_delay_s = delivery.answer_delay_s =
        state_latency_s_ / 2 * simulation_.draw(0.5, 1.5);
  const int node = controllers_.find_host(request.from);
  if (node >= 0 && controller_faults(node).refused_until > simulation_.now()) {
    delivery.refusal_status = kServiceUnavailable;
    return;
  }
  if (request.path != kCommitPath) return;
  if (simulation_.chance(options_.late_writes)) {
    delivery.arrives = false;
    delivery.copy_delays_s = {simulation_.draw(kDelayedCommitMinS, kDelayedCommitMaxS)};
  } else if (is_answer_lost(request)) {
    delivery.answer_arrives = false;
    ++answers_lost_;
  }
}

bool FaultInjector::is_answer_lost(const Request& request) {
  if (options_.lost_answers <= 0) return false;
  if (options_.lose_answer_if && !options_.lose_answer_if(request.body)) return false;
  return simulation_.chance(options_.lost_answers);
}

double FaultInjector::answer_delay(const Request& request) {
  const double now = simulation_.now();
  if (is_cut(request.from, request.to)) return -1;
  if (const double until = zone_cut_until(request))
    return simulation_.chance(0.5) ? until - now : -1;
  const int node = controllers_.find_host(request.from);
  // Requests that were open when the refusal began are answered after its end, as in an outage.
  if (request.to == "state" && node >= 0)
    return std::max(0.0, controller_faults(node).refused_until - now);
  if (const int machine = machines_.find_host(request.from);
      machine >= 0 && machine_faults(machine).responses_lost_until > now)
    return -1;
  if (const int machine = machines_.find_host(request.to); machine >= 0)
    return std::max(0.0, machine_faults(machine).answers_held_until - now);
  return 0;
}

bool FaultInjector::update_leaders() {
  bool changed = false;
  for (int shard = 0; shard < controllers_.count(); ++shard) {
    int& last = leaders_[static_cast<std::size_t>(shard)];
    const int now = controllers_.leader(shard);
    if (now < 0 || now == last) continue;
    changed |= last >= 0;
    last = now;
  }
  return changed;
}

void FaultInjector::send_saved_heartbeats() {
  if (!update_leaders()) return;
  send_saved_commands();
  for (const Request& heartbeat : std::exchange(saved_heartbeats_, {}))
    for (const auto& host : controllers_.hosts()) {
      const double delay_s = simulation_.chance(0.5) ? 0 : simulation_.draw(0, 4);
      simulation_.at(simulation_.now() + delay_s, [this, heartbeat, host] {
        simulation_.send_copy(heartbeat, {host, kPublicPort});
      });
    }
}

// ---- state service and cloud

void FaultInjector::outage(double for_s) {
  state_.set_outage(true);
  simulation_.at(simulation_.now() + for_s, [this] { state_.set_outage(false); });
}

void FaultInjector::refuse(int node, double for_s) {
  controller_faults(node).refused_until = simulation_.now() + for_s;
}

void FaultInjector::slow_state(double latency_s, double for_s) {
  state_latency_s_ = latency_s;
  state_slow_until_ = simulation_.now() + for_s;
}

void FaultInjector::change_state_limits(const StateSizeLimits& sizes) {
  state_.set_size_limits(sizes.value_bytes(), sizes.ops());
}

void FaultInjector::cloud_outage(double for_s) { cloud_outage_until_ = simulation_.now() + for_s; }

// ---- controllers

void FaultInjector::cut(int node, int links, double for_s) {
  controller_faults(node).cut_links = links;
  controller_faults(node).cut_until = simulation_.now() + for_s;
}

void FaultInjector::cut_zone(const std::string& zone, double for_s) {
  zone_cut_ = {zone, simulation_.now() + for_s};
}

void FaultInjector::kill(int node, double back_after_s) {
  controllers_.stop(node);
  simulation_.at(simulation_.now() + back_after_s, [this, node] {
    controllers_.start(node);
    send_saved_commands();
  });
}

void FaultInjector::freeze(int node, double for_s) { controllers_.freeze(node, for_s); }

void FaultInjector::freeze_after(int node, std::uint64_t turns, double for_s) {
  controllers_.freeze_after(node, turns, for_s);
}

// ---- machines

void FaultInjector::lose_responses(int machine, double for_s) {
  machine_faults(machine).responses_lost_until = simulation_.now() + for_s;
}

void FaultInjector::cut_heartbeats(int machine, double for_s) {
  machine_faults(machine).heartbeats_cut_until = simulation_.now() + for_s;
}

void FaultInjector::hold_direct_commands(int machine, double for_s) {
  machine_faults(machine).commands_held_until = simulation_.now() + for_s;
}

void FaultInjector::hold_direct_answers(int machine, double for_s) {
  machine_faults(machine).answers_held_until = simulation_.now() + for_s;
}

void FaultInjector::hang(int machine, double for_s) {
  const SimulatedMachine& m = machines_[machine];
  if (!m.worker) return;
  MachineFaults& faults = machine_faults(machine);
  const double now = simulation_.now();
  const double until = std::max(faults.hung_until, now + for_s);
  // Some programs end at a given time of the clock, others after a given running time.
  if (simulation_.chance(0.5)) m.worker->extend_tasks(until - std::max(faults.hung_until, now));
  faults.hung_until = until;
  m.host->freeze(until);
  if (options_.command_copies_at_return > 0)
    simulation_.at(until, [this] { send_saved_commands(); });
}

void FaultInjector::hang_repeatedly(int machine, int times) {
  const SimulatedMachine& m = machines_[machine];
  if (!m.worker) return;
  auto within_lease = [this] { return simulation_.draw(1, 0.95 * options_.lease_s); };
  const bool by_turns = simulation_.chance(0.5);
  double at = simulation_.now();
  hang(machine, at - simulation_.now() + within_lease());
  for (int i = 1; i < times; ++i) {
    if (by_turns) {
      const double for_s = within_lease();
      m.host->freeze_after(1 + simulation_.rng()() % 8, for_s);
      continue;
    }
    at = std::max(at, machine_faults(machine).hung_until) + simulation_.draw(0.05, 1);
    const double for_s = within_lease();
    simulation_.at(at, [this, machine, for_s] { hang(machine, for_s); });
    at += for_s;
  }
}

void FaultInjector::make_faulty(int machine, WorkerEmulator::Fault fault, double for_s) {
  if (!machines_[machine].worker) return;
  machines_[machine].worker->set_fault(fault);
  simulation_.at(simulation_.now() + for_s, [this, machine] {
    if (const auto& worker = machines_[machine].worker)
      worker->set_fault(WorkerEmulator::Fault::none);
  });
}

void FaultInjector::kill_machine(int machine) { machines_.kill(machine); }

void FaultInjector::reclaim_machine(int machine, double notice_s) {
  const SimulatedMachine& m = machines_[machine];
  if (!m.worker || !m.worker->settings().spot) return;
  if (notice_s > 0) m.worker->announce_reclaim(notice_s);
  // The cloud reclaims the machine after half to one and a half times the announced time.
  const double taken_at = simulation_.now() + notice_s * simulation_.draw(0.5, 1.5);
  simulation_.at(taken_at, [this, machine] {
    machines_.kill(machine);
    cloud_.remove_reclaimed(machines_[machine].name);
  });
}

void FaultInjector::lose_zone(const std::string& zone, double no_capacity_s) {
  for (int machine = 0; machine < machines_.size(); ++machine)
    if (machines_[machine].zone == zone) machines_.kill(machine);
  cloud_.refuse_rentals_in(zone, no_capacity_s);
}

bool FaultInjector::is_reachable(int machine) const {
  const auto n = static_cast<std::size_t>(machine);
  if (n >= machine_faults_.size()) return true;
  const MachineFaults& faults = machine_faults_[n];
  const double unreachable_until =
      std::max({faults.responses_lost_until, faults.heartbeats_cut_until,
                faults.commands_held_until, faults.hung_until});
  return unreachable_until <= simulation_.now();
}

}  // namespace shunttrail::simulation

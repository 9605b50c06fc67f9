#include "simulation/simulated_machines.h"

#include <algorithm>
#include <utility>

#include "simulation/simulated_controllers.h"

namespace shunttrail::simulation {

using emulators::WorkerEmulator;

namespace {
// A clock's rate differs from 1 by this much at most, so that two clocks differ by 0.05%, the
// protocol's limit.
constexpr double kClockDrift = 0.00025;
}  // namespace

SimulatedMachines::SimulatedMachines(Simulation& simulation, const ClusterOptions& options,
                                     std::vector<std::string> controllers,
                                     WorkerEmulator::Describe describe,
                                     WorkerEmulator::Observer observer)
    : simulation_(simulation),
      options_(options),
      controllers_(std::move(controllers)),
      describe_(std::move(describe)),
      observer_(std::move(observer)) {}

std::string SimulatedMachines::next_address() {
  return "w-" + std::to_string(++addresses_) + ":" + std::to_string(kWorkerPort);
}

void SimulatedMachines::power_on(const emulators::CloudEmulator::Machine& rented_machines) {
  const std::string host = rented_machines.address.substr(0, rented_machines.address.find(':'));
  auto machine = std::make_unique<SimulatedMachine>();
  machine->name = rented_machines.name;
  machine->zone = rented_machines.zone;
  machine->host =
      std::make_unique<Host>(simulation_, host, 1 + simulation_.draw(-kClockDrift, kClockDrift));
  machine->host->shuffle_after_freezes();
  WorkerEmulator::Settings settings;
  settings.name = rented_machines.name;
  settings.type = rented_machines.type;
  settings.zone = rented_machines.zone;
  settings.spot = rented_machines.spot;
  settings.at = {host, kWorkerPort};
  settings.cpus = cpus_of(rented_machines.type);
  settings.heartbeat_s = options_.heartbeat_s;
  settings.lease_s = options_.lease_s;
  for (const auto& controller : controllers_)
    settings.nodes.emplace_back(controller, config::Endpoint{controller, kPublicPort});
  machine_by_host_[host] = size();
  const auto seed = static_cast<unsigned>(simulation_.rng()());
  machine->worker = std::make_unique<WorkerEmulator>(machine->host->loop(), std::move(settings),
                                                     describe_, seed, observer_);
  machines_.push_back(std::move(machine));
}

void SimulatedMachines::power_off(const std::vector<std::string>& names) {
  for (int machine = 0; machine < size(); ++machine)
    if (std::find(names.begin(), names.end(), (*this)[machine].name) != names.end()) kill(machine);
}

void SimulatedMachines::kill(int machine) {
  SimulatedMachine& m = *machines_[static_cast<std::size_t>(machine)];
  if (!m.worker) return;
  leases_lost_on_removed_ += m.worker->leases_lost();
  m.worker.reset();
  m.host.reset();
}

int SimulatedMachines::find_host(const std::string& host) const {
  const auto machine = machine_by_host_.find(host);
  return machine == machine_by_host_.end() ? -1 : machine->second;
}

std::vector<int> SimulatedMachines::with_job(const std::string& job) const {
  std::vector<int> found;
  for (int machine = 0; machine < size(); ++machine) {
    const auto& worker = (*this)[machine].worker;
    if (worker &&
        std::any_of(worker->tasks().begin(), worker->tasks().end(), [&](const auto& task) {
          return task.id.job == job && task.state != wire::TaskState::exited;
        }))
      found.push_back(machine);
  }
  return found;
}

std::uint64_t SimulatedMachines::leases_lost() const {
  std::uint64_t lost = leases_lost_on_removed_;
  for (const auto& machine : machines_)
    if (machine->worker) lost += machine->worker->leases_lost();
  return lost;
}

double SimulatedMachines::cpus_of(const std::string& type) const {
  return type == "t8" ? 2 * options_.machine_cpus : options_.machine_cpus;
}

}  // namespace shunttrail::simulation

#include "simulation/simulated_cluster.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace shunttrail::simulation {

using emulators::CloudEmulator;
using emulators::WorkerEmulator;

namespace {
constexpr double kCheckGapS = 0.25;  // time between two checks of the rules
constexpr double kBootS = 3;

std::vector<emulators::EmulatedMachineType> machine_types(const ClusterOptions& options,
                                                          const std::vector<std::string>& zones) {
  std::vector<emulators::EmulatedMachineType> types{
      {{"t4", options.machine_cpus, 0, kMachineMemoryGb, 0.4, 0.1, kBootS, zones},
       options.machines}};
  if (options.big_machines > 0)
    types.push_back({{"t8", 2 * options.machine_cpus, 0, kMachineMemoryGb, 0.8, 0.2, kBootS, zones},
                     options.big_machines});
  types.insert(types.end(), options.more_types.begin(), options.more_types.end());
  return types;
}
}  // namespace

SimulatedCluster::SimulatedCluster(unsigned seed, const ClusterOptions& options)
    : options_(options),
      simulation_(seed),
      controllers_(simulation_, options_),
      machines_(
          simulation_, options_, controllers_.hosts(),
          [this](const wire::TaskId& task) { return jobs_.work_of(task); }, make_worker_observer()),
      state_host_(simulation_, "state"),
      cloud_host_(simulation_, "cloud"),
      state_(state_host_.loop(), controllers_.settings().state, ""),
      cloud_(cloud_host_.loop(), controllers_.settings().cloud,
             machine_types(options_, controllers_.settings().zones), options_.cloud_rps, "",
             power(), seed),
      rules_(simulation_, options_, machines_, jobs_),
      users_(simulation_, options_, controllers_, jobs_, rules_),
      faults_(simulation_, options_, controllers_, machines_, state_, cloud_) {
  simulation_.delivery_of = [this](const Request& request) {
    if (request.path == kDirectCommandPath) rules_.direct_commands_sent(request);
    return faults_.deliver(request);
  };
  simulation_.answer_delay_of = [this](const Request& request) {
    return faults_.answer_delay(request);
  };
  state_.set_rate_limits(options_.state_rps, options_.state_write_rps);
  state_.set_size_limits(options_.state_sizes.value_bytes(), options_.state_sizes.ops());
  cloud_.set_list_lag(options_.list_lag_s);
  controllers_.start_all();
}

// Members are destroyed in reverse order, the faults before the controllers. Requests that
// controllers send while they end must not use the faults.
SimulatedCluster::~SimulatedCluster() {
  simulation_.delivery_of = nullptr;
  simulation_.answer_delay_of = nullptr;
}

WorkerEmulator::Observer SimulatedCluster::make_worker_observer() {
  return {
      [this](const WorkerEmulator& worker, const WorkerEmulator::Task& task, wire::TaskState was) {
        if (rules_.task_state_changed(worker, task, was)) users_.task_completed(task.id.job);
      },
      [this](const WorkerEmulator& worker, const WorkerEmulator::Task& task) {
        rules_.task_acknowledged(worker, task);
      }};
}

CloudEmulator::Power SimulatedCluster::power() {
  return {[this] { return machines_.next_address(); },
          [this](const CloudEmulator::Machine& rented_machines) {
            machines_.power_on(rented_machines);
          },
          [this](const std::vector<std::string>& names, const std::function<void()>& gone) {
            machines_.power_off(names);
            gone();
          }};
}

void SimulatedCluster::run_for(double seconds) {
  const double until = simulation_.now() + seconds;
  while (simulation_.now() < until) {
    simulation_.run_until(std::min(until, simulation_.now() + kCheckGapS));
    rules_.check_machines();
    rules_.check_waiting([this](int machine) { return faults_.is_reachable(machine); });
    cloud_.set_max_boot_time(options_.max_boot_s);
    faults_.send_saved_heartbeats();
  }
}

void SimulatedCluster::query_all_controllers() {
  users_.query_all_controllers();
  run_for(SimulatedUsers::query_all_controllers_s());
}

}  // namespace shunttrail::simulation

/// A whole cluster in simulated time: the library's own controllers, emulators for the state
/// service, the cloud and the workers, and users. It puts the parts together and lets time pass;
/// each part has its own module.
#pragma once
#include <cstdint>

#include "emulators/cloud.h"
#include "emulators/state.h"
#include "simulation/cluster_options.h"
#include "simulation/fault_injector.h"
#include "simulation/job_records.h"
#include "simulation/rule_checker.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_machines.h"
#include "simulation/simulated_users.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

class SimulatedCluster {
 public:
  /// The same seed and options give the same history.
  SimulatedCluster(unsigned seed, const ClusterOptions& options);
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  /// Lets simulated time pass, and checks the rules four times a second.
  void run_for(double seconds);
  [[nodiscard]] double now() const { return simulation_.now(); }
  Simulation& sim() { return simulation_; }
  /// Of the history so far, see Simulation::digest.
  [[nodiscard]] std::uint64_t digest() const { return simulation_.digest(); }
  /// Shares and delays may be changed while time passes.
  ClusterOptions& options() { return options_; }
  [[nodiscard]] const ClusterOptions& options() const { return options_; }

  SimulatedUsers& users() { return users_; }
  [[nodiscard]] const SimulatedUsers& users() const { return users_; }
  FaultInjector& faults() { return faults_; }
  RuleChecker& rules() { return rules_; }
  [[nodiscard]] const RuleChecker& rules() const { return rules_; }
  SimulatedControllers& controllers() { return controllers_; }
  [[nodiscard]] const SimulatedMachines& machines() const { return machines_; }
  /// Machines that the cloud has rented out.
  [[nodiscard]] std::size_t rented_machines() const { return cloud_.machines().size(); }
  /// Asks every controller about every accepted job, and lets the time pass that this takes. What
  /// is not answered, or as if it were forgotten, breaks a rule.
  void query_all_controllers();

 private:
  emulators::WorkerEmulator::Observer make_worker_observer();
  emulators::CloudEmulator::Power power();

  ClusterOptions options_;
  Simulation simulation_;  // everything below refers to it
  JobRecords jobs_;
  SimulatedControllers controllers_;
  SimulatedMachines machines_;
  Host state_host_;
  Host cloud_host_;
  emulators::StateServiceEmulator state_;
  emulators::CloudEmulator cloud_;
  RuleChecker rules_;
  SimulatedUsers users_;
  FaultInjector faults_;
};

}  // namespace shunttrail::simulation

/// A whole cluster in simulated time: the product's own controllers, emulators of the state
/// service, the cloud and the workers, and simulated users. It connects the parts, each of which
/// has its own module, and advances time.
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

  /// Advances simulated time and checks the rules four times a second.
  void run_for(double seconds);
  [[nodiscard]] double now() const { return simulation_.now(); }
  Simulation& sim() { return simulation_; }
  /// The digest of the history so far (Simulation::digest).
  [[nodiscard]] std::uint64_t digest() const { return simulation_.digest(); }
  /// Shares and delays may be changed between calls of `run_for`.
  ClusterOptions& options() { return options_; }
  [[nodiscard]] const ClusterOptions& options() const { return options_; }

  SimulatedUsers& users() { return users_; }
  [[nodiscard]] const SimulatedUsers& users() const { return users_; }
  FaultInjector& faults() { return faults_; }
  RuleChecker& rules() { return rules_; }
  [[nodiscard]] const RuleChecker& rules() const { return rules_; }
  SimulatedControllers& controllers() { return controllers_; }
  [[nodiscard]] const SimulatedMachines& machines() const { return machines_; }
  /// The number of transactions that the state service has rejected for their size.
  [[nodiscard]] std::uint64_t oversized_transactions() const {
    return state_.oversized_transactions();
  }
  /// The number of machines that the cloud has rented out.
  [[nodiscard]] std::size_t rented_machines() const { return cloud_.machines().size(); }
  /// Queries every controller about every accepted job and runs until all answers or the deadline
  /// for them. A missing answer, or one that the job is unknown, breaks the rule `forgotten`.
  void query_all_controllers();

 private:
  emulators::WorkerEmulator::Observer make_worker_observer();
  emulators::CloudEmulator::Power power();

  ClusterOptions options_;
  Simulation simulation_;  // the members below refer to it
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

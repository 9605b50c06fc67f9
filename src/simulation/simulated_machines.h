/// The machines of a simulated cluster, each with a worker emulator on a host of its own.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulators/cloud.h"
#include "emulators/worker.h"
#include "simulation/cluster_options.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

inline constexpr int kWorkerPort = 9;

/// A machine that the cloud has switched on. Once it has been switched off or has failed, it stays
/// in the list without host and worker.
struct SimulatedMachine {
  std::string name;
  std::string zone;
  std::unique_ptr<Host> host;
  std::unique_ptr<emulators::WorkerEmulator> worker;
};

/// Machines are numbered from 0 in the order in which they are switched on.
class SimulatedMachines {
 public:
  /// `controllers`: the hosts that workers send heartbeats to. `describe` and `observer`: see
  /// WorkerEmulator.
  SimulatedMachines(Simulation& simulation, const ClusterOptions& options,
                    std::vector<std::string> controllers,
                    emulators::WorkerEmulator::Describe describe,
                    emulators::WorkerEmulator::Observer observer);

  /// Returns an address that no machine has had before.
  std::string next_address();
  void power_on(const emulators::CloudEmulator::Machine& rented_machines);
  void power_off(const std::vector<std::string>& names);
  /// Removes host and worker of the machine at once. No effect if it has none any more.
  void kill(int machine);

  [[nodiscard]] int size() const { return static_cast<int>(machines_.size()); }
  [[nodiscard]] const SimulatedMachine& operator[](int machine) const {
    return *machines_[static_cast<std::size_t>(machine)];
  }
  [[nodiscard]] const std::vector<std::unique_ptr<SimulatedMachine>>& all() const {
    return machines_;
  }
  /// Returns the number of the machine on this host, even if it is off, or -1 if there never was
  /// one.
  [[nodiscard]] int find_host(const std::string& host) const;
  /// Returns the machines that hold a task of the job that has not exited.
  [[nodiscard]] std::vector<int> with_job(const std::string& job) const;
  /// The number of leases that have ended with tasks on the machine, on all machines so far.
  [[nodiscard]] std::uint64_t leases_lost() const;

 private:
  [[nodiscard]] double cpus_of(const std::string& type) const;

  Simulation& simulation_;
  const ClusterOptions& options_;
  const std::vector<std::string> controllers_;
  const emulators::WorkerEmulator::Describe describe_;
  const emulators::WorkerEmulator::Observer observer_;
  std::vector<std::unique_ptr<SimulatedMachine>> machines_;
  std::map<std::string, int> machine_by_host_;
  std::uint64_t addresses_ = 0;
  std::uint64_t leases_lost_on_removed_ = 0;  // on machines that were removed
};

}  // namespace shunttrail::simulation

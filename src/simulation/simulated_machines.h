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

/// A machine that the cloud has switched on. It stays in the list, without host and worker, once
/// it is gone.
struct SimulatedMachine {
  std::string name;
  std::string zone;
  std::unique_ptr<Host> host;
  std::unique_ptr<emulators::WorkerEmulator> worker;
};

/// Machines are numbered from 0 in the order in which they are switched on.
class SimulatedMachines {
 public:
  /// `controllers`: the hosts that workers send heartbeats to. `describe` and `watched` as in
  /// WorkerEmulator.
  SimulatedMachines(Simulation& simulation, const ClusterOptions& options,
                    std::vector<std::string> controllers,
                    emulators::WorkerEmulator::Describe describe,
                    emulators::WorkerEmulator::Observer observer);

  /// An address that no machine has had.
  std::string next_address();
  void power_on(const emulators::CloudEmulator::Machine& rented_machines);
  void power_off(const std::vector<std::string>& names);
  /// The machine is gone at once; no effect on one that is.
  void kill(int machine);

  [[nodiscard]] int size() const { return static_cast<int>(machines_.size()); }
  [[nodiscard]] const SimulatedMachine& operator[](int machine) const {
    return *machines_[static_cast<std::size_t>(machine)];
  }
  [[nodiscard]] const std::vector<std::unique_ptr<SimulatedMachine>>& all() const {
    return machines_;
  }
  /// The machine on this host, also once it is gone; -1: there never was one.
  [[nodiscard]] int find_host(const std::string& host) const;
  /// The machines on which tasks of the job are that have not exited.
  [[nodiscard]] std::vector<int> with_job(const std::string& job) const;
  /// Leases that ended with tasks on the machine, over all machines so far.
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
  std::uint64_t leases_lost_by_gone_ = 0;  // of machines that are gone
};

}  // namespace shunttrail::simulation

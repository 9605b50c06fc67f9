/// The faults of a simulated cluster: what becomes of requests between its hosts, and processes and
/// machines that end or stand still.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emulators/cloud.h"
#include "emulators/state.h"
#include "simulation/cluster_options.h"
#include "simulation/simulated_controllers.h"
#include "simulation/simulated_machines.h"
#include "simulation/simulation.h"

namespace shunttrail::simulation {

/// Faults begin when they are ordered and last so many seconds (`for_s`). Controllers and machines
/// are given by number.
class FaultInjector {
 public:
  FaultInjector(Simulation& simulation, const ClusterOptions& options,
                SimulatedControllers& controllers, SimulatedMachines& machines,
                emulators::StateServiceEmulator& state_service, emulators::CloudEmulator& cloud);

  // ---- state service and cloud

  /// The state service answers nobody.
  void outage(double for_s);
  /// The state service refuses this controller's requests.
  void refuse(int node, double for_s);
  /// Round trips to the state service take about `latency_s`.
  void slow_state(double latency_s, double for_s);
  /// The cloud refuses every request.
  void cloud_outage(double for_s);

  // ---- controllers

  /// What a controller can be cut from; can be combined. `workers` holds both ways, `reports` only
  /// for what workers send to it.
  enum Link { state = 1, peers = 2, workers = 4, heartbeats = 8 };
  /// Requests over these links (Link) are lost, and so are answers. Replaces an earlier cut.
  void cut(int node, int links, double for_s);
  /// Nothing passes between the zone and all hosts outside of it, among them users, state service
  /// and cloud. Half of what is sent arrives, in order, when it is over.
  void cut_zone(const std::string& zone, double for_s);
  /// The process ends, and starts again later.
  void kill(int node, double back_after_s);
  /// The process stands still.
  void freeze(int node, double for_s);
  /// The process stands still once it has taken so many more of its turns.
  void freeze_after(int node, std::uint64_t turns, double for_s);

  // ---- machines

  /// The worker's requests arrive; answers to them, and requests to it, are lost.
  void lose_responses(int machine, double for_s);
  /// The worker's requests are lost; requests to it and its answers to them arrive.
  void cut_heartbeats(int machine, double for_s);
  /// Requests to the worker arrive when it is over.
  void hold_direct_commands(int machine, double for_s);
  /// The worker's answers to requests arrive when it is over.
  void hold_direct_answers(int machine, double for_s);
  /// The machine stands still.
  void hang(int machine, double for_s);
  /// The machine stands still so many times, each within its lease, with a moment or a few turns in
  /// between.
  void hang_repeatedly(int machine, int times);
  /// The machine is gone at once; the cloud still lists it.
  void kill_machine(int machine);
  /// The cloud takes a spot machine back. 0: without notice.
  void reclaim_machine(int machine, double notice_s);
  /// The zone's machines are gone at once, and the cloud has no others there for so long.
  void lose_zone(const std::string& zone, double no_capacity_s);
  /// Whether no fault keeps the machine from hearing of its controllers.
  [[nodiscard]] bool is_reachable(int machine) const;

  // ---- requests, see Simulation

  [[nodiscard]] Delivery deliver(const Request& request);
  /// Seconds by which an answer is held up; below 0: it is lost.
  [[nodiscard]] double answer_delay(const Request& request);
  /// Sends the heartbeats that were kept (`copies_for_next`) once a shard has another leader.
  void send_saved_heartbeats();
  /// Transactions that were applied without an answer (`lost_answers`).
  [[nodiscard]] std::uint64_t answers_lost() const { return answers_lost_; }

 private:
  struct ControllerFaults {
    int cut_links = 0;  // of Link
    double cut_until = 0;
    double refused_until = 0;  // by the state service
  };
  struct MachineFaults {
    double responses_lost_until = 0;
    double heartbeats_cut_until = 0;
    double commands_held_until = 0;
    double answers_held_until = 0;
    double hung_until = 0;
  };
  struct ZoneCut {
    std::string zone;
    double until = 0;
  };
  ControllerFaults& controller_faults(int node);
  MachineFaults& machine_faults(int machine);
  [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;
  [[nodiscard]] int link_of(const std::string& other, bool other_sends) const;
  [[nodiscard]] std::string zone_of(const std::string& host) const;   // empty: in none
  [[nodiscard]] double zone_cut_until(const Request& request) const;  // 0: it passes
  void deliver_to_state(const Request& request, Delivery& delivery);
  bool is_answer_lost(const Request& request);
  bool update_leaders();

  Simulation& simulation_;
  const ClusterOptions& options_;
  SimulatedControllers& controllers_;
  SimulatedMachines& machines_;
  emulators::StateServiceEmulator& state_;
  emulators::CloudEmulator& cloud_;
  std::vector<ControllerFaults> controller_faults_;
  std::vector<MachineFaults> machine_faults_;  // grows with the machines that have had one
  ZoneCut zone_cut_;
  double state_slow_until_ = 0, state_latency_s_ = 0;
  double cloud_outage_until_ = 0;
  std::vector<Request> saved_heartbeats_;
  std::vector<int> leaders_;  // of each shard, as last seen; -1: none yet
  std::uint64_t answers_lost_ = 0;
};

}  // namespace shunttrail::simulation

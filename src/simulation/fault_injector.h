/// The faults of a simulated cluster: lost, delayed and refused requests between its hosts, and
/// processes and machines that end or freeze.
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

/// Each fault begins with the call and lasts `for_s` seconds. Controllers and machines are
/// identified by number.
class FaultInjector {
 public:
  FaultInjector(Simulation& simulation, const ClusterOptions& options,
                SimulatedControllers& controllers, SimulatedMachines& machines,
                emulators::StateServiceEmulator& state_service, emulators::CloudEmulator& cloud);

  // ---- state service and cloud

  /// The state service answers every request 503.
  void outage(double for_s);
  /// The state service refuses this controller's requests with 503.
  void refuse(int node, double for_s);
  /// Round trips to the state service take about `latency_s`.
  void slow_state(double latency_s, double for_s);
  /// The state service has these size limits from now on, whether they were announced or not.
  void change_state_limits(const StateSizeLimits& sizes);
  /// The cloud refuses every request with 503.
  void cloud_outage(double for_s);

  // ---- controllers

  /// The links that a controller can be cut from; the values can be combined. `workers` stands for
  /// both directions, `heartbeats` only for the requests that workers send to the controller.
  enum Link { state = 1, peers = 2, workers = 4, heartbeats = 8 };
  /// Requests and answers over these links (Link) are lost. Replaces an earlier cut.
  void cut(int node, int links, double for_s);
  /// Cuts the zone off from all hosts outside of it, among them users, state service and cloud.
  /// Half of the messages sent in the meantime are lost; the others arrive in order when the cut
  /// ends.
  void cut_zone(const std::string& zone, double for_s);
  /// The process ends at once and starts again after `back_after_s` seconds.
  void kill(int node, double back_after_s);
  /// The process is frozen: it handles no events.
  void freeze(int node, double for_s);
  /// The process freezes once it has handled `turns` more events.
  void freeze_after(int node, std::uint64_t turns, double for_s);

  // ---- machines

  /// The worker's requests arrive; the answers to them and all requests to the worker are lost.
  void lose_responses(int machine, double for_s);
  /// The worker's requests are lost; requests to the worker and its answers arrive.
  void cut_heartbeats(int machine, double for_s);
  /// Requests to the worker are delayed until the fault ends.
  void hold_direct_commands(int machine, double for_s);
  /// The worker's answers to requests are delayed until the fault ends.
  void hold_direct_answers(int machine, double for_s);
  /// The machine hangs: its worker handles no events.
  void hang(int machine, double for_s);
  /// The machine hangs `times` times, each time for less than its lease. Between two hangs it runs
  /// for 0.05 to 1 s or for a few events.
  void hang_repeatedly(int machine, int times);
  /// The machine's tasks fail, or its worker refuses to start any.
  void make_faulty(int machine, emulators::WorkerEmulator::Fault fault, double for_s);
  /// The machine fails at once; the cloud still lists it.
  void kill_machine(int machine);
  /// The cloud reclaims a spot machine. `notice_s`: the time that its notice announces; 0: it gives
  /// no notice. No effect on other machines.
  void reclaim_machine(int machine, double notice_s);
  /// All machines in the zone fail at once, and the cloud rents out no others there for
  /// `no_capacity_s` seconds.
  void lose_zone(const std::string& zone, double no_capacity_s);
  /// Returns whether heartbeats, responses and commands between the machine and its controllers are
  /// free of faults of the machine.
  [[nodiscard]] bool is_reachable(int machine) const;

  // ---- requests, see Simulation

  /// Returns how the request is delivered under the present faults.
  [[nodiscard]] Delivery deliver(const Request& request);
  /// Returns the additional delay of the answer to a request in seconds, or a negative number if
  /// the answer is lost.
  [[nodiscard]] double answer_delay(const Request& request);
  /// Sends copies of the saved heartbeats (`copies_for_next_leader`) to all controllers, and those
  /// of the saved direct commands, if a shard has had a change of leader since the last call.
  void send_saved_heartbeats();
  /// The number of copies of direct commands that were sent (`command_copies`,
  /// `command_copies_at_return`).
  [[nodiscard]] std::uint64_t commands_copied() const { return commands_copied_; }
  /// The number of transactions that were applied without an answer (`lost_answers`).
  [[nodiscard]] std::uint64_t answers_lost() const { return answers_lost_; }

 private:
  struct ControllerFaults {
    int cut_links = 0;  // values of Link
    double cut_until = 0;
    double refused_until = 0;  // the state service refuses its requests until then
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
  // Returns the zone of a controller's or machine's host; empty for any other host.
  [[nodiscard]] std::string zone_of(const std::string& host) const;
  // Returns when the cut that separates sender and receiver ends; 0 if none does.
  [[nodiscard]] double zone_cut_until(const Request& request) const;
  void deliver_to_state(const Request& request, Delivery& delivery);
  void copy_direct_commands(const Request& request, Delivery& delivery);
  void send_saved_commands();
  bool is_answer_lost(const Request& request);
  bool update_leaders();

  Simulation& simulation_;
  const ClusterOptions& options_;
  SimulatedControllers& controllers_;
  SimulatedMachines& machines_;
  emulators::StateServiceEmulator& state_;
  emulators::CloudEmulator& cloud_;
  std::vector<ControllerFaults> controller_faults_;
  std::vector<MachineFaults> machine_faults_;  // by machine; extended on first use
  ZoneCut zone_cut_;
  double state_slow_until_ = 0, state_latency_s_ = 0;
  double cloud_outage_until_ = 0;
  std::vector<Request> saved_heartbeats_;
  std::vector<Request> saved_commands_;  // direct commands (`command_copies_at_return`)
  std::uint64_t commands_copied_ = 0;
  std::vector<int> leaders_;  // by shard, the last known leader; -1: none so far
  std::uint64_t answers_lost_ = 0;
};

}  // namespace shunttrail::simulation

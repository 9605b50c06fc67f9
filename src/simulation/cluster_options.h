/// The size, limits and rates of a simulated cluster.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "emulators/cloud.h"

namespace shunttrail::simulation {

/// Memory of every simulated machine, whatever its type, in GB.
inline constexpr double kMachineMemoryGb = 64;
/// Tolerance when vcpus, which are summed as doubles, are compared.
inline constexpr double kCpuTolerance = 1e-9;

/// What a SimulatedCluster is made of and how often its requests go wrong. Shares are
/// probabilities from 0 to 1. Tests may change shares and delays while the simulation runs; sizes,
/// limits and protocol times are read when the cluster is made.
struct ClusterOptions {
  // ---- size
  int controllers = 3;
  int machines = 6;         ///< machines of the first type, t4, that the cloud has
  double machine_cpus = 4;  ///< vcpus of a t4 machine
  int big_machines = 0;     ///< machines of a second type, t8, with twice the vcpus
  std::vector<emulators::EmulatedMachineType> more_types;  ///< beside t4 and t8
  int teams = 2;           ///< the first of red, blue, green and white, at most four
  double team_limit = 16;  ///< quota of each team in vcpus

  // ---- the protocol's times, seconds
  double heartbeat_s = 5;
  double lease_s = 26.5;
  double cancel_s = 46.5;  ///< no task of a cancelled job runs this long after the confirmation

  // ---- faulty settings, for tests which show that the rules are checked
  double controllers_cancel_s = 0;    ///< what controllers have for `cancel_s`; 0: the same
  double controllers_team_limit = 0;  ///< what controllers have for `team_limit`; 0: the same

  // ---- rates and delays
  double state_rps = 3000;         ///< requests a second that the state service takes
  double state_write_rps = 1000;   ///< written keys a second that the state service takes
  double cloud_rps = 60;           ///< requests a second that the cloud takes
  double state_latency_s = 0.005;  ///< mean round trip to the state service
  double max_link_delay_s = 0;     ///< upper bound of every one-way delay; 0: the delays by default
  double max_boot_s = 0;  ///< upper bound of new machines' boot times; 0: the type's boot time
  double list_lag_s = 0;  ///< the cloud's lists are up to twice as old; 0: current
  double wall_clock_error_s = 0.1;  ///< largest error of a controller's time of day, either way
  bool relay = true;                ///< whether controllers relay heartbeats for each other
  bool delegation = true;           ///< whether waiting tasks go to shards with idle room

  // ---- requests that go wrong
  double heartbeat_copies = 0;  ///< share of heartbeats that are delivered again later
  double copies_for_next_leader =
      0;                   ///< share of heartbeats that are sent again to the next leader
  double late_writes = 0;  ///< share of transactions without answer that are applied 2 to 12 s late
  double lost_answers = 0;  ///< share of transactions that are applied and get no answer
  /// Restricts `lost_answers` to transactions with such a body; none: all transactions.
  std::function<bool(const std::string& body)> lose_answer_if;

  // ---- users
  double query_bursts = 0;  ///< share of a job's changes after which all controllers are asked
  double immediate_cancellations =
      0;  ///< share of jobs that are cancelled as soon as they are accepted
  double requests_at_completion =
      0;  ///< share of jobs for which other requests arrive just as they complete
};

}  // namespace shunttrail::simulation

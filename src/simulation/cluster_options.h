/// The size, limits and rates of a simulated cluster.
#pragma once
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "emulators/cloud.h"

namespace shunttrail::simulation {

/// Memory of every simulated machine of any type, in GB.
inline constexpr double kMachineMemoryGb = 64;
/// Tolerance in comparisons of vcpus, which are summed as doubles.
inline constexpr double kCpuTolerance = 1e-9;

/// The size limits of the state service.
struct StateSizeLimits {
  double value_kb = 16;  ///< length of a value
  int txn_ops = 16;      ///< operations of a transaction
  [[nodiscard]] std::size_t value_bytes() const {
    return static_cast<std::size_t>(value_kb * 1024);
  }
  [[nodiscard]] std::size_t ops() const { return static_cast<std::size_t>(txn_ops); }
};

/// The size of a SimulatedCluster and the rates of its faults. Shares are probabilities from 0 to
/// 1. Tests may change shares and delays while the simulation runs; sizes, limits and protocol
/// times are read when the cluster is constructed.
struct ClusterOptions {
  // ---- size
  int controllers = 3;
  int machines = 6;         ///< machines of the first type, t4, that the cloud can rent out
  double machine_cpus = 4;  ///< vcpus of a t4 machine
  int big_machines = 0;     ///< machines of a second type, t8, with twice the vcpus
  std::vector<emulators::EmulatedMachineType> more_types;  ///< in addition to t4 and t8
  int teams = 2;           ///< the first of red, blue, green and white, at most four
  double team_limit = 16;  ///< quota of each team in vcpus

  // ---- protocol times in seconds
  double heartbeat_s = 5;
  double lease_s = 26.5;
  double cancel_s = 46.5;  ///< no task of a cancelled job runs later than this after confirmation

  // ---- faulty settings, for tests which show that the rule checker detects violations
  double controllers_cancel_s = 0;    ///< `cancel_s` in the controllers' settings; 0: the same
  double controllers_team_limit = 0;  ///< `team_limit` in the controllers' settings; 0: the same

  // ---- rates and delays
  double state_rps = 3000;           ///< requests a second that the state service accepts
  double state_write_rps = 1000;     ///< written keys a second that the state service accepts
  double cloud_rps = 60;             ///< requests a second that the cloud accepts
  StateSizeLimits state_sizes;       ///< size limits of the state service at first
  StateSizeLimits next_state_sizes;  ///< the size limits that the settings announce
  double state_latency_s = 0.005;    ///< mean round trip to the state service
  double max_link_delay_s = 0;       ///< upper bound of every one-way delay; 0: the default delays
  double max_boot_s = 0;  ///< upper bound of new machines' boot times; 0: the type's boot time
  double list_lag_s = 0;  ///< the cloud's lists are up to twice this old; 0: they are current
  double wall_clock_error_s = 0.1;  ///< largest error of a controller's wall clock, fast or slow
  bool relay = true;                ///< whether controllers relay heartbeats for each other
  bool delegation = true;  ///< whether waiting tasks are delegated to shards with free capacity

  // ---- faults of single requests
  double heartbeat_copies = 0;  ///< share of heartbeats that are delivered again later
  /// Share of heartbeats that are sent again once a shard has another leader.
  double copies_for_next_leader = 0;
  /// Share of direct commands that are delivered again once or twice, from a tenth of a second to
  /// more than two leases later.
  double command_copies = 0;
  /// Share of direct commands that are delivered again when a controller has started again, a
  /// shard has another leader, or a machine continues after it has hung.
  double command_copies_at_return = 0;
  /// Share of transactions that get no answer and are applied 2 to 12 s late.
  double late_writes = 0;
  double lost_answers = 0;  ///< share of transactions that are applied and get no answer
  /// Restricts `lost_answers` to the transactions for whose body it returns true. If it is empty,
  /// the answer to any transaction may be lost.
  std::function<bool(const std::string& body)> lose_answer_if;

  // ---- users
  /// Share of a job's state changes after which users query all controllers in quick succession
  /// (SimulatedUsers::start_query_burst).
  double query_bursts = 0;
  /// Share of jobs that are cancelled as soon as they are accepted.
  double immediate_cancellations = 0;
  /// Share of jobs for which cancellations, queries and repeated submissions arrive while their
  /// completion is being committed.
  double requests_at_completion = 0;
};

}  // namespace shunttrail::simulation

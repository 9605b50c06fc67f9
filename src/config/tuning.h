/// @file
/// Tuning by operators: an XML file with the values that differ from the defaults.
#pragma once
#include <string>

namespace shunttrail::config {

/// Tuning values of a controller.
struct Tuning {
  int waiting_bar = 4;  ///< with more tasks waiting ahead than this, Accept is not chosen
  int ring = 16;        ///< number of latest costs that the bandit keeps for each arm and context
  double lambda = 2.0;  ///< learning rate: factor of one change of the idle wait k
  /// Initial wait k before an idle machine is returned, in seconds. The boot time is its lower
  /// bound.
  double idle_start_s = 1.0;
  double idle_cap = 8.0;  ///< upper bound of the idle wait k, in boot times
  /// Cost of a standard task's waiting, as a multiple of the rent of the cheapest machine.
  double wait_weight = 1.0;
  double late_weight = 60.0;     ///< cost of a missed deadline, in seconds of that rent
  double node_lease_s = 8.0;     ///< duration of the lease that shows that this node is alive
  double response_hold_s = 0.3;  ///< time that the response to a heartbeat may wait for its commit
  /// Whether nodes relay heartbeats of workers that cannot reach their leader.
  bool relay = false;
  /// Whether waiting tasks go to shards with idle capacity (docs/delegation.md).
  bool delegation = false;
};

/// Parses the tuning file's text. Throws SettingsError.
[[nodiscard]] Tuning parse_tuning(const std::string& text);

}  // namespace shunttrail::config

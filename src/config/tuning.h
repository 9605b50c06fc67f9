/// @file
/// The operators' tuning: an XML file that names only what differs from the defaults.
#pragma once
#include <string>

namespace shunttrail::config {

/// Tuning values.
struct Tuning {
  int waiting_bar = 4;        ///< Accept is not chosen while more tasks than this wait ahead
  int ring = 16;              ///< costs kept for each arm and context of the learned idle times
  double lambda = 2.0;        ///< learning rate of the factor k
  double idle_start_s = 1.0;  ///< k at first, in seconds, before its lower bound by boot time
  double idle_cap = 8.0;      ///< upper bound of k, in boot times
  double wait_weight =
      1.0;  ///< cost of a standard task's waiting, in rents of the cheapest machine
  double late_weight = 60.0;     ///< cost of a missed deadline, in seconds of that rent
  double node_lease_s = 8.0;     ///< life of the lease that shows that this node is alive
  double response_hold_s = 0.3;  ///< the answer to a heartbeat waits this long for its commit
  bool relay = false;  ///< heartbeats of workers that cannot reach their leader are passed on to it
  bool delegation = false;  ///< waiting tasks go to shards with idle room (docs/delegation.md)
};

/// Reads the tuning. Throws SettingsError.
[[nodiscard]] Tuning parse_tuning(const std::string& text);

}  // namespace shunttrail::config

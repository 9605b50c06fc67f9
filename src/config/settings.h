/// @file
/// The settings that the platform provides as a JSON file (DEPLOY).
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/tuning.h"

namespace shunttrail::config {

/// Reports invalid settings. `what()` is one line that names the field and the reason.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A TCP host and port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};

/// The CPUs and GPUs that a team is guaranteed, and the most that its tasks may use at any time. A
/// limit that is not set is infinite.
struct Team {
  std::string name;
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< limit
  double gpus = 0;      ///< guaranteed
  double gpus_max = 0;  ///< limit
};
/// Converts a limit as stated in the file, where 0 means no limit (DEPLOY), to one that is infinite
/// in that case.
[[nodiscard]] double team_limit(double stated);

/// The settings of a controller.
struct Settings {
  std::string node;   ///< this node's name
  std::string zone;   ///< this node's zone
  Endpoint front;     ///< address for users and workers
  Endpoint internal;  ///< address for other controllers and operators
  /// Another controller of the cluster.
  struct Peer {
    std::string node;
    std::string zone;
    Endpoint addr;
  };
  std::vector<Peer> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  double heartbeat_s = 3;  ///< time between a worker's heartbeats
  double lease_s = 20;     ///< a worker without an answer for this long stops its tasks
  double cancel_s = 45;    ///< the tasks of a cancelled job have to end within this time
  /// Limits of the state service.
  struct StateLimits {
    double rps = 80;        ///< requests a second
    double write_rps = 25;  ///< writes a second
    double value_kb = 4;    ///< size of one value
    int txn_ops = 12;       ///< changes in a transaction
  };
  StateLimits state_limits;   ///< limits that apply now
  StateLimits state_next;     ///< limits that will apply from an unknown moment on, without notice
  double cloud_rps = 2;       ///< requests a second that the cloud accepts
  double list_lag_s = 3;      ///< maximum age of the cloud's list of machines
  double memory_mb = 100;     ///< memory quota of this process
  int max_sockets = 1000;     ///< socket quota of this process
  double clock_off_ms = 100;  ///< maximum difference between the clocks of two nodes

  /// Names of all nodes, including this one, in ascending order. A node's position is its index,
  /// and also the index of the shard whose home node it is.
  std::vector<std::string> nodes;
  int self = 0;  ///< this node's index
  /// Returns the number of shards, which equals the number of nodes.
  [[nodiscard]] int shards() const { return static_cast<int>(nodes.size()); }
  /// Returns the index of a node, or -1 if no node has this name.
  [[nodiscard]] int node_index(const std::string& name) const;
  /// Returns the index of a team, or -1 if no team has this name.
  [[nodiscard]] int team_index(const std::string& name) const;
  /// Returns the index of a zone, or -1 if no zone has this name.
  [[nodiscard]] int zone_index(const std::string& name) const;
  /// Shard of each team, by the team's index. Teams are distributed so that the shards' sums of
  /// guarantees are similar.
  std::vector<int> team_shard;

  /// Returns for how many seconds after its last read of the state service a leader may answer
  /// workers. A job whose cancellation the leader has not read must still end within `cancel_s`,
  /// and the leader's last answer extends a worker's lease by `lease_s` (docs/safety.md).
  [[nodiscard]] double staleness_bound_s() const;
  /// Returns the number of seconds after a takeover from which on a machine that has sent no
  /// heartbeat has certainly ended its incarnation.
  [[nodiscard]] double fencing_wait_s() const { return staleness_bound_s() + lease_s + 2.0; }
};

/// Parses the settings. Throws SettingsError.
[[nodiscard]] Settings parse_settings(const std::string& text);

/// Reads a whole file. `what` is the file's name in errors. Throws SettingsError.
[[nodiscard]] std::string read_file(const std::string& path, const char* what);

}  // namespace shunttrail::config

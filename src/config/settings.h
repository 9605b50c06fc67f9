/// @file
/// The settings that the platform hands over as a JSON file (DEPLOY).
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/tuning.h"

namespace shunttrail::config {

/// Settings that cannot be used. `what()` is one line that names the field and the reason.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A host and port of TCP.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};

/// A team's guarantees, and the limits of what its tasks may use at any time. A limit that is not
/// set is infinite.
struct Team {
  std::string name;
  double cpus = 0;      ///< guaranteed
  double cpus_max = 0;  ///< limit
  double gpus = 0;      ///< guaranteed
  double gpus_max = 0;  ///< limit
};
/// The limit that a number of the file stands for: 0 is no limit (DEPLOY).
[[nodiscard]] double team_limit(double stated);

/// The settings of a controller.
struct Settings {
  std::string node;   ///< this node's name
  std::string zone;   ///< this node's zone
  Endpoint front;     ///< for users and workers
  Endpoint internal;  ///< for other controllers and operators
  /// Another controller.
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
  double cancel_s = 45;    ///< a cancelled job's tasks have to have ended within this time
  /// What the state service accepts.
  struct StateLimits {
    double rps = 80;        ///< requests a second
    double write_rps = 25;  ///< changes a second
    double value_kb = 4;    ///< of one value
    int txn_ops = 12;       ///< changes in a transaction
  };
  StateLimits state_limits;   ///< at present
  StateLimits state_next;     ///< from some moment on, without notice
  double cloud_rps = 2;       ///< calls a second that the cloud accepts
  double list_lag_s = 3;      ///< the cloud's list may be this old
  double memory_mb = 100;     ///< quota of this process
  int max_sockets = 1000;     ///< quota of this process
  double clock_off_ms = 100;  ///< by which nodes' clocks may differ

  /// All nodes' names, this one included, in order. The position is the node's index, and the
  /// shard whose home it is.
  std::vector<std::string> nodes;
  int self = 0;  ///< this node's index
  /// The number of shards, which is that of nodes.
  [[nodiscard]] int shards() const { return static_cast<int>(nodes.size()); }
  /// The index of a node; -1: there is none of this name.
  [[nodiscard]] int node_index(const std::string& name) const;
  /// The index of a team; -1: there is none of this name.
  [[nodiscard]] int team_index(const std::string& name) const;
  /// The index of a zone; -1: there is none of this name.
  [[nodiscard]] int zone_index(const std::string& name) const;
  /// The shard of each team. Teams are divided so that shards have similar guarantees.
  std::vector<int> team_shard;

  /// How many seconds a leader may go on answering workers without a fresh read of the state
  /// service. A cancellation that it has not read must still end in time, and its last answer keeps
  /// a worker's lease alive for `lease_s` more (docs/safety.md).
  [[nodiscard]] double staleness_bound_s() const;
  /// After a takeover, a machine that is silent for this many seconds has ended its incarnation.
  [[nodiscard]] double fencing_wait_s() const { return staleness_bound_s() + lease_s + 2.0; }
};

/// Reads the settings. Throws SettingsError.
[[nodiscard]] Settings parse_settings(const std::string& text);

/// Reads a whole file; `what` names it in errors. Throws SettingsError.
[[nodiscard]] std::string read_file(const std::string& path, const char* what);

}  // namespace shunttrail::config

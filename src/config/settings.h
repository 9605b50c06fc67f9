// Settings: the JSON file that the platform hands over, and the operators' own XML tuning.
#pragma once
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace shunttrail::config {

// Thrown with one line that names the field and the reason.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};

// A team's guarantees, and the limits of what its tasks may use at any time. A limit that is not
// set is infinite; the file says so by 0, of vcpus and of cards each by themselves (DEPLOY).
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};
// The limit that the file's number stands for.
double team_limit(double stated);

struct Settings {
  std::string node;
  std::string zone;
  Endpoint front, internal;
  struct Peer {
    std::string node, zone;
    Endpoint addr;
  };
  std::vector<Peer> peers;
  Endpoint cloud, state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  double heartbeat_s = 3, lease_s = 20, cancel_s = 45;
  // What the state service takes, and what it will take from some moment on, without notice.
  struct StateLimits {
    double rps = 80, write_rps = 25, value_kb = 4;
    int txn_ops = 12;
  };
  StateLimits state_limits, state_next;
  double cloud_rps = 2, list_lag_s = 3;
  double memory_mb = 100;
  int max_sockets = 1000;
  double clock_off_ms = 100;

  // All nodes, this one included, in name order: the dense node index, and the home of each shard.
  std::vector<std::string> nodes;
  int self = 0;
  int shards() const { return static_cast<int>(nodes.size()); }
  int node_index(const std::string& name) const;  // -1: unknown
  int team_index(const std::string& name) const;
  int zone_index(const std::string& name) const;
  // The shard of each team: the split among controllers, balanced by guarantee.
  std::vector<int> team_shard;

  // S: how long an owner may go on answering workers without a fresh read of the state service.
  // A cancellation it has not heard of must still end in time, and its last 200 keeps a lease
  // alive for lease_s more.
  double staleness_bound_s() const;
  // After a takeover, silence of a machine for this long proves that its incarnation has ended.
  double fencing_wait_s() const { return staleness_bound_s() + lease_s + 2.0; }
};

Settings parse_settings(const std::string& text);

// Operators' tuning. Every value has a default; the XML names only what differs.
struct Tuning {
  int waiting_bar = 4;        // b: Accept is barred above this many waiting tasks
  int ring = 16;              // costs kept per arm and context
  double lambda = 2.0;        // learning rate of k
  double idle_start_s = 1.0;  // first k, before the floor at boot time
  double idle_cap = 8.0;      // k never grows beyond this many boot times
  double wait_weight = 1.0;  // price of a standard task's waiting, in rents of the cheapest machine
  double late_weight = 60.0;     // fine for a missed deadline, in seconds of that rent
  double node_lease_s = 8.0;     // life of the key that shows this node alive
  double response_hold_s = 0.3;  // a report's answer waits this long for its commit
  bool relay = false;  // reports of workers that cannot reach their owner are passed on to it
};

Tuning parse_tuning(const std::string& text);

std::string read_file(const std::string& path, const char* what);

}  // namespace shunttrail::config

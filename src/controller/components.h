/// The parts of one controller and the pointers through which they reach each other.
#pragma once
#include <cstddef>
#include <memory>
#include <vector>

#include "config/settings.h"
#include "state/client.h"

namespace shunttrail::controller {

class StateStore;
class SchemaManager;
class Membership;
class JobResults;
class CloudManager;
class Inventory;
class PeerGossip;
class HeartbeatRelay;
class ShardController;

/// The parts of one controller. Each part is an actor that owns its state. Other parts read that
/// state through const methods and change it by sending messages, which the actor handles one at a
/// time. Callbacks are reply addresses (actor::Actor::reply), so they run in the caller's mailbox.
/// Controller sets all pointers before any message is handled.
struct ControllerComponents {
  const config::Settings& settings;
  const config::Tuning& tuning;
  state::Client& state_client;
  StateStore* state_store = nullptr;  ///< The cache of the state service, reads and commits.
  SchemaManager* schema = nullptr;    ///< The active schema version; whether this build may serve.
  /// This process's lease and node key, and the leader election.
  Membership* membership = nullptr;
  JobResults* job_results = nullptr;  ///< Final records of jobs; dependencies between jobs.
  /// Machine types, rentals, deletions and the machine list.
  CloudManager* cloud_manager = nullptr;
  Inventory* inventory = nullptr;  ///< The shard of each machine.
  /// Heartbeats and offers exchanged with the other controllers.
  PeerGossip* peer_gossip = nullptr;
  HeartbeatRelay* heartbeat_relay = nullptr;  ///< Relays workers' heartbeats between controllers.
  std::vector<std::unique_ptr<ShardController>> shard_controllers{};  ///< By shard.

  [[nodiscard]] ShardController& shard_controller(int shard) const {
    return *shard_controllers[static_cast<std::size_t>(shard)];
  }
};

}  // namespace shunttrail::controller

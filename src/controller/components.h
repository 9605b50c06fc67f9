/// The parts of one controller, as they know one another.
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

/// Each part is an actor that owns its state: the others read what it shows as const, and change it
/// by its messages, each of which runs in a turn of the owner's. Answers come to whoever asked by a
/// reply address (actor::Actor::reply). Controller sets all pointers before any message is taken.
struct ControllerComponents {
  const config::Settings& settings;
  const config::Tuning& tuning;
  state::Client& state_client;
  StateStore* state_store = nullptr;          ///< The cached state, reads and commits.
  SchemaManager* schema = nullptr;            ///< Whether this build may serve.
  Membership* membership = nullptr;           ///< This process's lease, and who leads what.
  JobResults* job_results = nullptr;          ///< How jobs ended; jobs that wait for others.
  CloudManager* cloud_manager = nullptr;      ///< Machine types, rents, returns and the list.
  Inventory* inventory = nullptr;             ///< Which shard a machine belongs to.
  PeerGossip* peer_gossip = nullptr;          ///< What the other controllers say.
  HeartbeatRelay* heartbeat_relay = nullptr;  ///< Heartbeats by way of a sibling.
  std::vector<std::unique_ptr<ShardController>> shard_controllers{};  ///< By shard.

  [[nodiscard]] ShardController& shard_controller(int shard) const {
    return *shard_controllers[static_cast<std::size_t>(shard)];
  }
};

}  // namespace shunttrail::controller

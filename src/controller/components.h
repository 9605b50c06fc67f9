// The parts of one controller. Each is an actor that owns its state: the others read what it shows
// as const, and change it by its messages, each of which runs in a turn of the owner's. Answers
// come to the asker by a reply address (Actor::reply).
#pragma once
#include <memory>
#include <vector>

#include "config/settings.h"
#include "state/client.h"

namespace shunttrail::controller {

class StateStore;       // the state service as this node knows it
class SchemaManager;    // the active state level, and whether this build may serve
class Membership;       // the key that shows this node alive, and who owns what
class JobResults;       // how jobs ended, and jobs that await others
class CloudManager;     // types, rents, returns, the list
class Inventory;        // which shard a machine belongs to
class PeerGossip;       // what the other controllers say
class HeartbeatRelay;   // workers by way of a sibling
class ShardController;  // one shard, while this node owns it

struct ControllerComponents {
  const config::Settings& settings;
  const config::Tuning& tuning;
  state::Client& state_client;
  StateStore* state_store = nullptr;
  SchemaManager* schema = nullptr;
  Membership* membership = nullptr;
  JobResults* job_results = nullptr;
  CloudManager* cloud_manager = nullptr;
  Inventory* inventory = nullptr;
  PeerGossip* peer_gossip = nullptr;
  HeartbeatRelay* heartbeat_relay = nullptr;
  std::vector<std::unique_ptr<ShardController>> shard_controllers{};  // by shard

  ShardController& shard_controller(int shard) const {
    return *shard_controllers[static_cast<std::size_t>(shard)];
  }
};

}  // namespace shunttrail::controller

// The parts of one controller. Each is an actor that owns its state: the others read what it shows
// as const, and change it by its messages, each of which runs in a turn of the owner's. Answers
// come to the asker by a reply address (Actor::reply).
#pragma once
#include <memory>
#include <vector>

#include "config/settings.h"
#include "state/client.h"

namespace shunt::front {

class Store;       // the state service as this node knows it
class Levels;      // the active state level, and whether this build may serve
class Membership;  // the key that shows this node alive, and who owns what
class Outcomes;    // how jobs ended, and jobs that await others
class Cloud;       // types, rents, returns, the list
class Roster;      // which shard a machine belongs to
class Peers;       // what the other controllers say
class Relay;       // workers by way of a sibling
class Runner;      // one shard, while this node owns it

struct Parts {
  const config::Settings& settings;
  const config::Tuning& tuning;
  state::Client& state;
  Store* store = nullptr;
  Levels* levels = nullptr;
  Membership* membership = nullptr;
  Outcomes* outcomes = nullptr;
  Cloud* cloud = nullptr;
  Roster* roster = nullptr;
  Peers* peers = nullptr;
  Relay* relay = nullptr;
  std::vector<std::unique_ptr<Runner>> runners{};  // by shard

  Runner& runner(int shard) const { return *runners[static_cast<std::size_t>(shard)]; }
};

}  // namespace shunt::front

/// @file
/// Messages between controllers, in cereal's portable binary form. Safety does not depend on them:
/// they make a change of leader quicker, and tell whether peers can serve.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::peer {

/// What a node tells the others at intervals.
struct PeerHeartbeat {
  std::uint32_t version = 3;          ///< of the message's form
  std::int32_t node = -1;             ///< the sender's index
  bool serving = false;               ///< it has read the state service recently
  std::vector<std::uint64_t> tokens;  ///< by shard: the highest that it knows
  /// A shard's machines, in hundredths of a machine; see shard::Load. Zero unless the sender leads
  /// the shard.
  struct Load {
    std::uint32_t capacity = 0;
    std::uint32_t entitled = 0;
    std::uint32_t demand = 0;
    bool sender_leads = false;  ///< the sender leads the shard
    friend bool operator==(const Load&, const Load&) = default;
  };
  std::vector<Load> loads;  ///< by shard
};

/// A worker's heartbeat that reached a node which does not lead its shard, unchanged. The leader's
/// answer to it goes back to the worker.
struct RelayedHeartbeat {
  std::uint32_t version = 1;  ///< of the message's form
  std::int32_t node = -1;     ///< the index of the node that relays it
  std::string heartbeat;      ///< the worker's body
};

/// Room on machines of the shards that a node leads, for tasks of other shards
/// (docs/delegation.md). Beside PeerHeartbeat, so that builds which do not know it read that one.
struct CapacityOffers {
  std::uint32_t version = 1;  ///< of the message's form
  std::int32_t node = -1;     ///< the sender's index
  /// Room of one machine, as jobs::Resources counts it.
  struct Offer {
    std::int32_t shard = -1;
    std::string type;  ///< the machine type's name
    std::string zone;
    bool spot = false;
    std::int64_t cpus = 0;
    std::int64_t gpus = 0;
    std::int64_t mem = 0;
    friend bool operator==(const Offer&, const Offer&) = default;
  };
  std::vector<Offer> offers;
};
/// Offers in one message; the sender leaves out what is beyond.
inline constexpr std::size_t kMaxCapacityOffers = 256;

/// What a node last told, and when.
struct PeerStatus {
  double at = -1e9;  ///< seconds of the steady clock
  bool serving = false;
};
/// Whether users that are not served here may be better off with another node: some node serves, or
/// none is heard, since then this node is cut off, probably from users as well. In an outage of the
/// state service the others are heard and none serves: leaving would help nobody.
/// `nodes`: by index; this node's own entry is never set. `started_at`: of this process.
[[nodiscard]] bool another_serves(const std::vector<PeerStatus>& nodes, double started_at,
                                  double now);

[[nodiscard]] std::string encode(const PeerHeartbeat& heartbeat);
/// Reads a heartbeat of a cluster of `nodes` nodes; none: it is malformed or of another version.
[[nodiscard]] std::optional<PeerHeartbeat> decode(const std::string& bytes, int nodes);

[[nodiscard]] std::string encode(const CapacityOffers& offers);
/// Reads the offers of a node of a cluster of `nodes` nodes; none: they are malformed or of another
/// version.
[[nodiscard]] std::optional<CapacityOffers> decode_capacity_offers(const std::string& bytes,
                                                                   int nodes);

[[nodiscard]] std::string encode(const RelayedHeartbeat& relayed);
/// Reads a relayed heartbeat; none: it is malformed or of another version.
[[nodiscard]] std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes);

}  // namespace shunttrail::peer

/// @file
/// Messages between controllers, in cereal's portable binary form. Safety does not depend on them:
/// they speed up a change of leader and tell whether other nodes can serve users.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::peer {

/// The heartbeat that a node sends to the other nodes at regular intervals.
struct PeerHeartbeat {
  std::uint32_t version = 3;          ///< of the message format
  std::int32_t node = -1;             ///< the sender's index
  bool serving = false;               ///< whether the sender has read the state service recently
  std::vector<std::uint64_t> tokens;  ///< by shard: the highest token that the sender knows
  /// A shard's capacity and demand, in hundredths of a machine; see shard::Load. All are zero
  /// unless the sender leads the shard.
  struct Load {
    std::uint32_t capacity = 0;
    std::uint32_t entitled = 0;
    std::uint32_t demand = 0;
    bool sender_leads = false;  ///< whether the sender leads the shard
    friend bool operator==(const Load&, const Load&) = default;
  };
  std::vector<Load> loads;  ///< by shard
};

/// A worker's heartbeat that a node which does not lead its shard forwards unchanged to the leader.
/// The leader's response goes back to the worker.
struct RelayedHeartbeat {
  std::uint32_t version = 1;  ///< of the message format
  std::int32_t node = -1;     ///< the index of the relaying node
  std::string heartbeat;      ///< the body of the worker's request
};

/// Free capacity on machines of the shards that a node leads, offered to tasks of other shards
/// (docs/delegation.md). It is a message of its own, so that builds that do not know it still read
/// PeerHeartbeat.
struct CapacityOffers {
  std::uint32_t version = 1;  ///< of the message format
  std::int32_t node = -1;     ///< the sender's index
  /// The free capacity of one machine, in the units of jobs::Resources.
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
/// The largest number of offers in one message; the sender drops the rest.
inline constexpr std::size_t kMaxCapacityOffers = 256;

/// The last status that a node reported.
struct PeerStatus {
  double at = -1e9;  ///< when the report was received, in seconds of the steady clock
  bool serving = false;
};
/// Returns whether users that this node cannot serve may be served by another node: if any node
/// serves, or if no node is heard, since this node is then cut off, probably from users as well.
/// During an outage of the state service the other nodes are heard and none serves, so sending
/// users away would not help them. Also true just after the start, before the others are heard.
/// `nodes` is by index; this node's own entry is never set. `started_at` is this process's start.
[[nodiscard]] bool another_serves(const std::vector<PeerStatus>& nodes, double started_at,
                                  double now);

[[nodiscard]] std::string encode(const PeerHeartbeat& heartbeat);
/// Decodes a heartbeat in a cluster of `nodes` nodes; none if it is malformed or of another
/// version.
[[nodiscard]] std::optional<PeerHeartbeat> decode(const std::string& bytes, int nodes);

[[nodiscard]] std::string encode(const CapacityOffers& offers);
/// Decodes the offers of a node in a cluster of `nodes` nodes; none if they are malformed or of
/// another version.
[[nodiscard]] std::optional<CapacityOffers> decode_capacity_offers(const std::string& bytes,
                                                                   int nodes);

[[nodiscard]] std::string encode(const RelayedHeartbeat& relayed);
/// Decodes a relayed heartbeat; none if it is malformed or of another version.
[[nodiscard]] std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes);

}  // namespace shunttrail::peer

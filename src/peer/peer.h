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
    bool owned = false;  ///< the sender leads the shard
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

[[nodiscard]] std::string encode(const RelayedHeartbeat& relayed);
/// Reads a relayed heartbeat; none: it is malformed or of another version.
[[nodiscard]] std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes);

}  // namespace shunttrail::peer

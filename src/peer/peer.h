// What controllers say to one another, by cereal. Nothing here is needed for safety: it makes
// stepping down quicker and tells whether peers can serve.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shunttrail::peer {

struct PeerHeartbeat {
  std::uint32_t version = 3;
  std::int32_t node = -1;
  bool serving = false;               // has read the state service lately
  std::vector<std::uint64_t> tokens;  // by shard, as it knows them
  // By shard: what it has, is entitled to and could use, in hundredths of a machine. Zero unless
  // this node owns it.
  struct Load {
    std::uint32_t capacity = 0, entitled = 0, demand = 0;
    bool owned = false;
    friend bool operator==(const Load&, const Load&) = default;
  };
  std::vector<Load> loads;
};

// A worker's report that reached a node which does not own its shard, as it came. The owner's
// answer is the answer to it.
struct RelayedHeartbeat {
  std::uint32_t version = 1;
  std::int32_t node = -1;  // who passes it on
  std::string heartbeat;
};
std::string encode(const RelayedHeartbeat& p);
// None: garbage, or a version that this build does not know.
std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes);

// What a node has last said of itself, and when; the steady clock's seconds.
struct PeerStatus {
  double at = -1e9;
  bool serving = false;
};
// By node, this one included, of which there is never any: whether users that find nothing served
// here may be better off elsewhere. Somebody serves; or nobody is heard, since then this node is
// cut off, from them as well. In an outage they are heard and none serves: leaving would help
// nobody.
bool another_serves(const std::vector<PeerStatus>& nodes, double started_at, double now);

std::string encode(const PeerHeartbeat& b);
std::optional<PeerHeartbeat> decode(const std::string& bytes, int nodes);  // none: garbage

}  // namespace shunttrail::peer

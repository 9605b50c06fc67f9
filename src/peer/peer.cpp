#include "peer/peer.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace shunttrail::peer {

template <class A>
void serialize(A& a, PeerHeartbeat::Load& l) {
  a(l.capacity, l.entitled, l.demand, l.owned);
}
template <class A>
void serialize(A& a, PeerHeartbeat& b) {
  a(b.version, b.node, b.serving, b.tokens, b.loads);
}

template <class A>
void serialize(A& a, RelayedHeartbeat& p) {
  a(p.version, p.node, p.heartbeat);
}

namespace {
template <class T>
std::string bytes_of(const T& t) {
  std::ostringstream out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive a(out);
    a(t);
  }
  return out.str();
}
}  // namespace

bool another_serves(const std::vector<PeerStatus>& nodes, double started_at, double now) {
  constexpr double kUnknown = 2.5;  // after a start: the others have not been heard yet
  constexpr double kServesFor = 3;  // a node's word
  if (now - started_at < kUnknown) return true;
  bool heard = false;
  for (const PeerStatus& n : nodes) {
    if (now - n.at >= kServesFor) continue;
    if (n.serving) return true;
    heard = true;
  }
  return !heard && nodes.size() > 1;
}

std::string encode(const PeerHeartbeat& b) { return bytes_of(b); }
std::string encode(const RelayedHeartbeat& p) { return bytes_of(p); }

std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes) {
  // Byte order, version, node, and the report with its length: the message's own must fit it.
  constexpr std::size_t kHead = 1 + 4 + 4 + 8;
  if (bytes.size() < kHead) return std::nullopt;
  RelayedHeartbeat p;
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive a(in);
    std::uint64_t length = 0;
    a(p.version, p.node, length);
    if (p.version != RelayedHeartbeat{}.version || length != bytes.size() - kHead)
      return std::nullopt;
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (p.node < 0 || p.node >= nodes) return std::nullopt;
  p.heartbeat = bytes.substr(kHead);
  return p;
}

std::optional<PeerHeartbeat> decode(const std::string& bytes, int nodes) {
  // Byte order, version, node and serving, then two lists with their lengths. A length that
  // garbage claims is not allocated: the message's own must fit the cluster's.
  const auto n = static_cast<std::size_t>(nodes);
  if (bytes.size() != 10 + 8 + 8 * n + 8 + 13 * n) return std::nullopt;
  PeerHeartbeat b;
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive a(in);
    std::uint64_t count = 0;
    std::uint8_t serving = 0;
    a(b.version, b.node, serving, count);
    if (b.version != PeerHeartbeat{}.version || count != n || serving > 1) return std::nullopt;
    b.serving = serving != 0;
    b.tokens.resize(count);
    for (auto& t : b.tokens) a(t);
    a(count);
    if (count != n) return std::nullopt;
    b.loads.resize(count);
    for (auto& l : b.loads) {
      std::uint8_t owned = 0;
      a(l.capacity, l.entitled, l.demand, owned);
      if (owned > 1) return std::nullopt;
      l.owned = owned != 0;
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (b.node < 0 || b.node >= nodes) return std::nullopt;
  return b;
}

}  // namespace shunttrail::peer

#include "peer/peer.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <sstream>
#include <stdexcept>

namespace shunttrail::peer {

template <class Archive>
void serialize(Archive& archive, PeerHeartbeat::Load& load) {
  archive(load.capacity, load.entitled, load.demand, load.sender_leads);
}
template <class Archive>
void serialize(Archive& archive, PeerHeartbeat& heartbeat) {
  archive(heartbeat.version, heartbeat.node, heartbeat.serving, heartbeat.tokens, heartbeat.loads);
}
template <class Archive>
void serialize(Archive& archive, RelayedHeartbeat& relayed) {
  archive(relayed.version, relayed.node, relayed.heartbeat);
}

template <class Archive>
void serialize(Archive& archive, CapacityOffers::Offer& offer) {
  archive(offer.shard, offer.type, offer.zone, offer.spot, offer.cpus, offer.gpus, offer.mem);
}
template <class Archive>
void serialize(Archive& archive, CapacityOffers& offers) {
  archive(offers.version, offers.node, offers.offers);
}

namespace {

using Input = cereal::PortableBinaryInputArchive;

/// The time after the start during which the other nodes may not have been heard yet.
constexpr double kUnknownAfterStartS = 2.5;
/// How long a node's last heartbeat is considered current.
constexpr double kStatusValidS = 3;

// Encoded sizes in bytes. An archive begins with the byte order, and a list with its length.
constexpr std::size_t kByteOrderBytes = 1;
constexpr std::size_t kLengthBytes = 8;
constexpr std::size_t kSenderBytes = sizeof(PeerHeartbeat::version) + sizeof(PeerHeartbeat::node);
constexpr std::size_t kFlagBytes = 1;
constexpr std::size_t kTokenBytes = 8;
constexpr std::size_t kLoadBytes = 3 * sizeof(std::uint32_t) + kFlagBytes;

template <class Message>
std::string serialize_message(const Message& message) {
  std::ostringstream out(std::ios::binary);
  {
    // An archive has written everything only when it is destroyed.
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return out.str();
}

/// Thrown for malformed bytes that the archive itself accepts.
struct MalformedMessage : std::runtime_error {
  MalformedMessage() : std::runtime_error("bad message") {}
};

void require(bool is_valid) {
  if (!is_valid) throw MalformedMessage();
}

bool read_flag(Input& archive) {
  std::uint8_t value = 0;
  archive(value);
  require(value <= 1);
  return value != 0;
}

/// Reads a list's length. Any other than the expected length is rejected before it is allocated.
void read_length(Input& archive, std::size_t expected) {
  std::uint64_t length = 0;
  archive(length);
  require(length == expected);
}

PeerHeartbeat read_peer_heartbeat(Input& archive, std::size_t nodes) {
  PeerHeartbeat heartbeat;
  archive(heartbeat.version, heartbeat.node);
  require(heartbeat.version == PeerHeartbeat{}.version);
  heartbeat.serving = read_flag(archive);
  read_length(archive, nodes);
  heartbeat.tokens.resize(nodes);
  for (std::uint64_t& token : heartbeat.tokens) archive(token);
  read_length(archive, nodes);
  heartbeat.loads.resize(nodes);
  for (PeerHeartbeat::Load& load : heartbeat.loads) {
    archive(load.capacity, load.entitled, load.demand);
    load.sender_leads = read_flag(archive);
  }
  return heartbeat;
}

/// Reads a name. A length above the limit is rejected before it is allocated.
std::string read_name(Input& archive) {
  constexpr std::uint64_t kMaxNameBytes = 256;
  std::uint64_t length = 0;
  archive(length);
  require(length <= kMaxNameBytes);
  std::string name(length, ' ');
  for (char& letter : name) archive(letter);
  return name;
}

CapacityOffers::Offer read_offer(Input& archive, int nodes) {
  CapacityOffers::Offer offer;
  archive(offer.shard);
  require(offer.shard >= 0 && offer.shard < nodes);
  offer.type = read_name(archive);
  offer.zone = read_name(archive);
  offer.spot = read_flag(archive);
  archive(offer.cpus, offer.gpus, offer.mem);
  require(offer.cpus >= 0 && offer.gpus >= 0 && offer.mem >= 0);
  return offer;
}

/// Decodes a message with `read`; none if the bytes are malformed.
template <class Message, class Read>
std::optional<Message> read_message(const std::string& bytes, int nodes, Read read) {
  try {
    std::istringstream in(bytes, std::ios::binary);
    Input archive(in);
    Message message = read(archive);
    require(message.node >= 0 && message.node < nodes);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

bool another_serves(const std::vector<PeerStatus>& nodes, double started_at, double now) {
  if (now - started_at < kUnknownAfterStartS) return true;
  bool is_any_heard = false;
  for (const PeerStatus& node : nodes) {
    if (now - node.at >= kStatusValidS) continue;
    if (node.serving) return true;
    is_any_heard = true;
  }
  return !is_any_heard && nodes.size() > 1;
}

std::string encode(const PeerHeartbeat& heartbeat) { return serialize_message(heartbeat); }
std::string encode(const RelayedHeartbeat& relayed) { return serialize_message(relayed); }
std::string encode(const CapacityOffers& offers) { return serialize_message(offers); }

std::optional<CapacityOffers> decode_capacity_offers(const std::string& bytes, int nodes) {
  return read_message<CapacityOffers>(bytes, nodes, [&](Input& archive) {
    CapacityOffers offers;
    archive(offers.version, offers.node);
    require(offers.version == CapacityOffers{}.version);
    std::uint64_t count = 0;
    archive(count);
    require(count <= kMaxCapacityOffers);
    for (std::uint64_t i = 0; i < count; ++i) offers.offers.push_back(read_offer(archive, nodes));
    return offers;
  });
}

std::optional<RelayedHeartbeat> decode_relayed(const std::string& bytes, int nodes) {
  constexpr std::size_t kHeadBytes = kByteOrderBytes + kSenderBytes + kLengthBytes;
  if (bytes.size() < kHeadBytes) return std::nullopt;
  return read_message<RelayedHeartbeat>(bytes, nodes, [&](Input& archive) {
    RelayedHeartbeat relayed;
    archive(relayed.version, relayed.node);
    require(relayed.version == RelayedHeartbeat{}.version);
    read_length(archive, bytes.size() - kHeadBytes);
    relayed.heartbeat = bytes.substr(kHeadBytes);
    return relayed;
  });
}

std::optional<PeerHeartbeat> decode(const std::string& bytes, int nodes) {
  const auto count = static_cast<std::size_t>(nodes);
  const std::size_t expected = kByteOrderBytes + kSenderBytes + kFlagBytes + kLengthBytes +
                               kTokenBytes * count + kLengthBytes + kLoadBytes * count;
  if (bytes.size() != expected) return std::nullopt;
  return read_message<PeerHeartbeat>(
      bytes, nodes, [&](Input& archive) { return read_peer_heartbeat(archive, count); });
}

}  // namespace shunttrail::peer

/// Heartbeats between controllers, and the transfers of machines and offers of free capacity that
/// depend on them.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "peer/peer.h"
#include "scheduler/room_offer.h"
#include "shard/balance.h"

namespace shunttrail::controller {

/// Sends the other controllers the tokens that this node knows, whether it can serve, and the loads
/// of the shards that it leads; stores what they send. Safety does not depend on this class.
class PeerGossip : public actor::Actor {
 public:
  PeerGossip(actor::Loop& loop, ControllerComponents& components);
  /// Sends heartbeats and offers when they are due. Must be called at short, regular intervals.
  void tick();
  /// Handles another controller's heartbeat. Responds with 200, or with 400 if it cannot be
  /// decoded.
  void handle_heartbeat(net::ExchangePtr exchange);
  /// Handles another controller's offers of free capacity. Responds with 200, or with 400 if they
  /// cannot be decoded.
  void handle_room_offers(net::ExchangePtr exchange);

  /// Returns whether another controller may be able to serve: one has recently reported that it
  /// can, or none is heard (peer::another_serves).
  [[nodiscard]] bool another_serves() const;
  /// Returns the number of heartbeats and offers that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  struct ShardLoadReport {
    double at = -1e9;  ///< Loop time.
    shard::Load load;
  };
  void receive_heartbeat(const net::ExchangePtr& exchange);
  bool record_shard_status(int shard, const peer::PeerHeartbeat& heartbeat);
  void send_heartbeats();
  [[nodiscard]] peer::PeerHeartbeat make_heartbeat();
  [[nodiscard]] peer::PeerHeartbeat::Load update_own_load(int shard);
  void rebalance();

  void receive_room_offers(const net::ExchangePtr& exchange);
  void exchange_room_offers();
  [[nodiscard]] std::vector<scheduler::RoomOffer> own_room_offers() const;
  void send_room_offers(const std::vector<scheduler::RoomOffer>& offers);
  void distribute_room_offers(const std::vector<scheduler::RoomOffer>& own);
  void transfer_machines(int from, const std::vector<shard::Load>& loads);
  [[nodiscard]] std::vector<shard::Load> recent_loads() const;
  [[nodiscard]] std::vector<double> waiting_vcpus_by_tier(int shard) const;

  ControllerComponents& components_;
  std::vector<std::unique_ptr<net::Client>> clients_;  ///< By node; null for this node.
  std::vector<peer::PeerStatus> peer_status_;          ///< By node.
  std::vector<ShardLoadReport> loads_;                 ///< By shard.
  std::vector<double> transferred_at_;                 ///< By shard, loop time.
  const double started_at_;
  /// The latest offers of another controller.
  struct ReceivedOffers {
    double at = -1e9;  ///< Loop time.
    std::vector<scheduler::RoomOffer> offers;
  };
  std::vector<ReceivedOffers> offers_;  ///< By node.
  bool has_sent_offers_ = false;        ///< The latest message had offers.
  double next_heartbeat_at_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

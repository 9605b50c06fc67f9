// What controllers say to one another: who can serve, which tokens they know, and the loads of
// their shards, by which machines are shared out. Nothing here is needed for safety.
#pragma once
#include <memory>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "peer/peer.h"
#include "shard/balance.h"

namespace shunttrail::controller {

class PeerGossip : public actor::Actor {
 public:
  PeerGossip(actor::Loop& loop, ControllerComponents& parts);
  void tick();
  void handle_request(net::ExchangePtr ex);

  // Some other node has said lately that it can serve, or may be able to: just started, this one
  // has not heard of the others yet, or hears none of them any more.
  bool another_serves() const;
  std::uint64_t malformed() const { return malformed_; }

 private:
  void take_heartbeat(const net::ExchangePtr& ex);
  void send_heartbeats();
  void rebalance();
  std::vector<double> waiting(int shard) const;

  ControllerComponents& components_;
  std::vector<std::unique_ptr<net::Client>> clients_;  // by node; none: this one
  std::vector<peer::PeerStatus> peer_status_;          // by node
  struct ShardLoadReport {
    double at = -1e9;
    shard::Load load;
  };
  std::vector<ShardLoadReport> loads_;  // by shard
  std::vector<double> transferred_at_;  // by shard
  const double started_at_;
  double heartbeat_at_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

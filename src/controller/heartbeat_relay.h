/// Heartbeats of workers that do not reach their shard's leader, by way of a sibling.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "relay/relay_routes.h"

namespace shunttrail::controller {

/// Relays heartbeats to the leader of another shard if the worker has shown that it does not reach
/// it. A relayed heartbeat is answered as any other, and never relayed again.
class HeartbeatRelay : public actor::Actor {
 public:
  HeartbeatRelay(actor::Loop& loop, ControllerComponents& components);

  /// A heartbeat of a machine in zone `zone`, whose shard node `leader` (-1: nobody) leads, is
  /// redirected (421), relayed, or refused (503).
  void route_heartbeat(net::ExchangePtr exchange, std::string machine,
                       relay::RelayRoutes::Order order, int zone, int leader);
  /// Unpacks a heartbeat that a sibling relayed and hands it to `then`, in an exchange that
  /// responds to the sibling. 400 if it cannot be decoded.
  void handle_relayed(const net::ExchangePtr& exchange,
                      const std::function<void(net::ExchangePtr)>& then);

  /// The routes in use and the counters, as JSON for the operators.
  [[nodiscard]] std::string describe() const;
  /// Relayed heartbeats that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  /// Of one sibling.
  struct Counters {
    std::uint64_t relayed = 0;     ///< Heartbeats sent to it.
    std::uint64_t unanswered = 0;  ///< Of these, without a response.
    std::uint64_t received = 0;    ///< Heartbeats that it sent here.
  };
  void route(const net::ExchangePtr& exchange, const std::string& machine,
             relay::RelayRoutes::Order order, int zone, int leader);
  void relay_to(const net::ExchangePtr& exchange, int leader);
  void on_response(const net::ExchangePtr& exchange, int leader, net::Result response);
  [[nodiscard]] const std::string& node_name(int node) const {
    return components_.settings.nodes[static_cast<std::size_t>(node)];
  }
  Counters& counters(int node) { return counters_[static_cast<std::size_t>(node)]; }

  ControllerComponents& components_;
  std::vector<std::unique_ptr<net::Client>> clients_;  ///< By node; null: this one.
  relay::RelayRoutes routes_;
  std::vector<Counters> counters_;  ///< By node.
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

/// Relaying of heartbeats from workers that cannot reach their shard's leader.
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

/// Relays a heartbeat to the leader of its machine's shard if the worker has shown that it cannot
/// reach that leader. A relayed heartbeat is answered as any other, and is never relayed again.
class HeartbeatRelay : public actor::Actor {
 public:
  HeartbeatRelay(actor::Loop& loop, ControllerComponents& components);

  /// Redirects (421), relays or refuses (503) the heartbeat of a machine in zone `zone` whose shard
  /// is led by node `leader` (-1: none).
  void route_heartbeat(net::ExchangePtr exchange, std::string machine,
                       relay::RelayRoutes::Order order, int zone, int leader);
  /// Decodes a heartbeat that another controller relayed and passes it to `then`, in an exchange
  /// that responds to that controller. Responds with 400 if it cannot be decoded.
  void handle_relayed(const net::ExchangePtr& exchange,
                      const std::function<void(net::ExchangePtr)>& then);

  /// Returns the routes in use and the counters, as JSON for operators.
  [[nodiscard]] std::string describe() const;
  /// Returns the number of relayed heartbeats that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  /// Counters of the exchange with one other controller.
  struct Counters {
    std::uint64_t relayed = 0;     ///< Heartbeats relayed to it.
    std::uint64_t unanswered = 0;  ///< Relayed heartbeats that it did not answer.
    std::uint64_t received = 0;    ///< Heartbeats that it relayed to this node.
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
  std::vector<std::unique_ptr<net::Client>> clients_;  ///< By node; null for this node.
  relay::RelayRoutes routes_;
  std::vector<Counters> counters_;  ///< By node.
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

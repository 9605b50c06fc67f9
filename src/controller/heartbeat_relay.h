// Workers by way of a sibling: reports for another node's shard, whose worker has shown that it
// does not reach the owner, are passed on to it. What comes that way from a sibling is answered as
// any report is, and never passed on again.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "relay/relay_routes.h"

namespace shunttrail::controller {

class HeartbeatRelay : public actor::Actor {
 public:
  HeartbeatRelay(actor::Loop& loop, ControllerComponents& parts);

  // A report of a machine in this zone, whose shard node `owner` (-1: nobody) owns. Redirected,
  // passed on, or refused.
  void route_heartbeat(net::ExchangePtr ex, std::string machine, relay::RelayRoutes::Order order,
                       int zone, int owner);
  // From a sibling: `then` is handed the report, in an exchange that answers the sibling.
  void handle_relayed(const net::ExchangePtr& ex,
                      const std::function<void(net::ExchangePtr)>& then);

  struct Count {
    std::uint64_t relayed = 0, unanswered = 0, taken = 0;
  };
  std::string describe() const;  // JSON, for the operators
  std::uint64_t malformed() const { return malformed_; }

 private:
  void decide(const net::ExchangePtr& ex, const std::string& machine,
              relay::RelayRoutes::Order order, int zone, int owner);
  void relay_to(const net::ExchangePtr& ex, int owner);

  ControllerComponents& components_;
  std::vector<std::unique_ptr<net::Client>> clients_;  // by node; none: this one
  relay::RelayRoutes routes_;
  std::vector<Count> counts_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

/// The workers' HTTP interface: each heartbeat goes to the controller of its machine's shard.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "controller/components.h"
#include "controller/shard_controller.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

/// Routes heartbeats: to the shard controller here, to the shard's leader elsewhere, or, of
/// machines without a record, to their adoption.
class WorkerApi : public actor::Actor {
 public:
  WorkerApi(actor::Loop& loop, ControllerComponents& components)
      : Actor(loop), components_(components) {}

  /// 200 by the shard controller; 400: malformed; 421: another node leads the machine's shard; 503:
  /// this node cannot tell, or has just had the machine adopted.
  void handle_heartbeat(net::ExchangePtr exchange, HeartbeatPath path = HeartbeatPath::direct);
  /// Heartbeats that could not be decoded.
  [[nodiscard]] std::uint64_t malformed() const { return malformed_; }

 private:
  void route_heartbeat(const net::ExchangePtr& exchange, HeartbeatPath path);
  void route_to_shard(const net::ExchangePtr& exchange, wire::Heartbeat heartbeat, int shard,
                      HeartbeatPath path);
  void adopt(const wire::Heartbeat& heartbeat) const;
  [[nodiscard]] std::optional<int> shard_of(const std::string& machine) const;
  [[nodiscard]] std::string node_that_may_serve(std::optional<int> shard) const;
  [[nodiscard]] bool may_serve_elsewhere(int node) const;

  ControllerComponents& components_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

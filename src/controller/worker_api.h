/// The HTTP interface for workers, which passes each heartbeat to the controller of its machine's
/// shard.
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

/// Routes each heartbeat to this node's shard controller or to the node that leads the shard.
/// Adopts machines that have no inventory record.
class WorkerApi : public actor::Actor {
 public:
  WorkerApi(actor::Loop& loop, ControllerComponents& components)
      : Actor(loop), components_(components) {}

  /// Handles a heartbeat. The shard controller responds with 200. Other responses are 400 if the
  /// heartbeat is malformed, 421 if another node should get it, and 503 if this node cannot decide,
  /// or the machine has no record and is now being adopted.
  void handle_heartbeat(net::ExchangePtr exchange, HeartbeatPath path = HeartbeatPath::direct);
  /// Returns the number of heartbeats that could not be decoded.
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

// What workers report: each report goes to the shard controller of its machine's shard.
#pragma once
#include "controller/components.h"
#include "controller/shard_controller.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "wire/types.h"

namespace shunttrail::controller {

class WorkerApi : public actor::Actor {
 public:
  WorkerApi(actor::Loop& loop, ControllerComponents& parts) : Actor(loop), components_(parts) {}
  void handle_heartbeat(net::ExchangePtr ex, HeartbeatPath path = HeartbeatPath::direct);
  std::uint64_t malformed() const { return malformed_; }

 private:
  void route_heartbeat(const net::ExchangePtr& ex, HeartbeatPath path);
  int shard_of(const std::string& machine) const;  // -1: nobody's
  std::string can_lead(int shard) const;

  ControllerComponents& components_;
  std::uint64_t malformed_ = 0;
};

}  // namespace shunttrail::controller

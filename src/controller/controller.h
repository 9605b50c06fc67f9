// One controller: its parts, wired together, and its two doors.
#pragma once
#include <memory>

#include "actor/loop.h"
#include "config/settings.h"
#include "controller/cloud_manager.h"
#include "controller/components.h"
#include "controller/heartbeat_relay.h"
#include "controller/inventory.h"
#include "controller/job_results.h"
#include "controller/membership.h"
#include "controller/peer_gossip.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"
#include "controller/state_store.h"
#include "controller/user_api.h"
#include "controller/worker_api.h"
#include "net/http.h"
#include "state/client.h"

namespace shunttrail::controller {

class Controller : public actor::Actor {
 public:
  Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t,
             schema::Build build = schema::current_build());
  // This node owns the shard, and its scheduler is open.
  bool leads(int shard) const { return components_.shard_controller(shard).scheduler() != nullptr; }

 private:
  void tick();
  void log();
  void serve_public(const net::ExchangePtr& ex);
  void serve_internal(const net::ExchangePtr& ex);
  std::string metrics() const;

  state::Client state_client_;
  ControllerComponents components_;
  StateStore state_store_;
  // Told of changes in this order: the level, what jobs await, who is alive, then the shards.
  SchemaManager schema_;
  JobResults job_results_;
  Membership membership_;
  CloudManager cloud_manager_;
  Inventory inventory_;
  PeerGossip peer_gossip_;
  HeartbeatRelay heartbeat_relay_;
  UserApi user_api_;
  WorkerApi worker_api_;
  double log_at_ = 0;
  actor::Timer timer_;
  net::Server public_server_, internal_server_;
};

}  // namespace shunttrail::controller

/// One controller: its parts, the connections between them, and its two HTTP servers.
#pragma once
#include <cstdint>
#include <string>

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

/// Owns the parts, calls each one's tick() at regular intervals, and routes requests to them. The
/// public server takes requests of users and workers; the internal server takes those of the other
/// controllers and of operators.
class Controller : public actor::Actor {
 public:
  /// `settings` and `tuning` have to outlive the controller.
  Controller(actor::Loop& loop, const config::Settings& settings, const config::Tuning& tuning,
             schema::Build build);
  /// Constructs a controller with the schema versions that this build supports under the tuning.
  Controller(actor::Loop& loop, const config::Settings& settings, const config::Tuning& tuning)
      : Controller(loop, settings, tuning, schema::current_build(tuning.delegation)) {}

  /// Returns whether this node leads the shard and has opened its scheduler.
  [[nodiscard]] bool leads(int shard) const {
    return components_.shard_controller(shard).scheduler() != nullptr;
  }

 private:
  void set_components(actor::Loop& loop);
  void tick();
  void log_status();
  void serve_public(const net::ExchangePtr& exchange);
  void serve_internal(const net::ExchangePtr& exchange);
  [[nodiscard]] std::string metrics() const;
  [[nodiscard]] std::uint64_t malformed() const;

  state::Client state_client_;
  ControllerComponents components_;
  StateStore state_store_;
  // Listeners of the state store are called in the order of construction: the schema version, the
  // dependencies between jobs, the membership, then the shards.
  SchemaManager schema_;
  JobResults job_results_;
  Membership membership_;
  CloudManager cloud_manager_;
  Inventory inventory_;
  PeerGossip peer_gossip_;
  HeartbeatRelay heartbeat_relay_;
  UserApi user_api_;
  WorkerApi worker_api_;
  double next_log_at_ = 0;
  actor::Timer timer_;
  net::Server public_server_;
  net::Server internal_server_;
};

}  // namespace shunttrail::controller

// One controller: its parts, wired together, and its two doors.
#pragma once
#include <memory>

#include "actor/loop.h"
#include "config/settings.h"
#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/membership.h"
#include "controller/job_results.h"
#include "controller/components.h"
#include "controller/peer_gossip.h"
#include "controller/heartbeat_relay.h"
#include "controller/inventory.h"
#include "controller/shard_controller.h"
#include "controller/state_store.h"
#include "controller/user_api.h"
#include "controller/worker_api.h"
#include "net/http.h"
#include "state/client.h"

namespace shunt::front {

class Controller : public actor::Actor {
 public:
  Controller(actor::Loop& loop, const config::Settings& s, const config::Tuning& t,
             levels::Build build = levels::here());
  // This node owns the shard, and its desk is open.
  bool acts_for(int shard) const { return parts_.runner(shard).desk() != nullptr; }

 private:
  void tick();
  void log();
  void front(const net::ExchangePtr& ex);
  void internal(const net::ExchangePtr& ex);
  std::string metrics() const;

  state::Client client_;
  Parts parts_;
  Store store_;
  // Told of changes in this order: the level, what jobs await, who is alive, then the shards.
  Levels levels_;
  Outcomes outcomes_;
  Membership membership_;
  Cloud cloud_;
  Roster roster_;
  Peers peers_;
  Relay relay_;
  Users users_;
  Workers workers_;
  double log_at_ = 0;
  actor::Timer timer_;
  net::Server front_, internal_;
};

}  // namespace shunt::front

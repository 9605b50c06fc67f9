// One controller: its parts, wired together, and its two doors.
#pragma once
#include <memory>

#include "actor/loop.h"
#include "config/settings.h"
#include "front/cloud.h"
#include "front/levels.h"
#include "front/membership.h"
#include "front/outcomes.h"
#include "front/parts.h"
#include "front/peers.h"
#include "front/relay.h"
#include "front/roster.h"
#include "front/runner.h"
#include "front/store.h"
#include "front/users.h"
#include "front/workers.h"
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

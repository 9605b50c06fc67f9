// What controllers say to one another: who can serve, which tokens they know, and the loads of
// their shards, by which machines are shared out. Nothing here is needed for safety.
#pragma once
#include <memory>
#include <vector>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "peer/peer.h"
#include "shard/balance.h"

namespace shunt::front {

class Peers : public actor::Actor {
 public:
  Peers(actor::Loop& loop, Parts& parts);
  void tick();
  void heard(net::ExchangePtr ex);

  // Some other node has said lately that it can serve, or may be able to: just started, this one
  // has not heard of the others yet, or hears none of them any more.
  bool another_serves() const;
  std::uint64_t garbage() const { return garbage_; }

 private:
  void take(const net::ExchangePtr& ex);
  void beat();
  void share_out();
  std::vector<double> waiting(int shard) const;

  Parts& parts_;
  std::vector<std::unique_ptr<net::Client>> clients_;  // by node; none: this one
  std::vector<peer::News> news_;                       // by node
  struct LoadNews {
    double at = -1e9;
    shard::Load load;
  };
  std::vector<LoadNews> loads_;  // by shard
  std::vector<double> gave_at_;  // by shard
  const double started_at_;
  double beat_at_ = 0;
  std::uint64_t garbage_ = 0;
};

}  // namespace shunt::front

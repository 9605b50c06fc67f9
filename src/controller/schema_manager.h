// The active state level at this node: whether its build may serve, the commits that raise, settle
// and lower the level, and the operators' orders about it.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "controller/components.h"
#include "controller/state_store.h"
#include "net/http.h"
#include "schema/schema.h"

namespace shunttrail::controller {

class SchemaManager : public actor::Actor {
 public:
  SchemaManager(actor::Loop& loop, ControllerComponents& parts, schema::Build build);
  void tick();
  void handle_request(net::ExchangePtr ex);  // GET: what stands; POST: an order

  const schema::Build& build() const { return build_; }
  // Why this build must not serve beside the state as it has been read; empty: it may.
  std::string refusal() const;
  bool may_serve() const { return refusal().empty(); }
  // One node at a time brings what stands in another form to the active level's.
  bool converts() const;
  std::string describe() const;  // JSON

 private:
  void evaluate();
  void step();
  void handle_order(const net::ExchangePtr& ex);

  ControllerComponents& components_;
  const schema::Build build_;
  schema::RolloutStatus rollout_status_;
  std::map<std::pair<std::string, std::string>, double> held_since_;
  std::string logged_refusal_;  // of this build's refusal, in the log
  double step_since_ = 0;       // 0: there is no step to be made
  int step_from_ = -1;          // the level that it is made from
  bool commit_in_flight_ = false;
  std::uint64_t tags_ = 0;
};

}  // namespace shunttrail::controller

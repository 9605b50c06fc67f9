/// The active schema version at this node: what it allows, its changes, and the operators' orders.
#pragma once
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>

#include "controller/components.h"
#include "controller/state_store.h"
#include "controller/tag_sequence.h"
#include "net/http.h"
#include "schema/schema.h"

namespace shunttrail::controller {

/// Tells whether this build may serve beside the stored state, makes the steps that raise, settle
/// and lower the active version (docs/schema.md), and takes the operators' orders about it.
class SchemaManager : public actor::Actor {
 public:
  SchemaManager(actor::Loop& loop, ControllerComponents& components, schema::Build build);
  /// To be called at short, regular intervals.
  void tick();
  /// GET: responds with `describe`. POST: takes an order; 400: malformed or not possible, 503: not
  /// committed, or its outcome is not known.
  void handle_request(net::ExchangePtr exchange);

  [[nodiscard]] const schema::Build& build() const { return build_; }
  /// Why this build must not serve beside the state as it has been read; empty: it may.
  [[nodiscard]] std::string refusal() const;
  [[nodiscard]] bool may_serve() const { return refusal().empty(); }
  /// Whether it is this node that is_converter what is stored in another form than the active
  /// version's: one node at a time does.
  [[nodiscard]] bool is_converter() const;
  /// The rollout's status, as JSON for the operators.
  [[nodiscard]] std::string describe() const;

 private:
  /// Who blocks the next step, and why.
  using BlockerKey = std::pair<std::string, std::string>;
  void on_changes(const std::vector<state::Change>& changes);
  void evaluate();
  void log_refusal();
  void update_blockers();
  void update_step();
  [[nodiscard]] bool has_step() const { return rollout_status_.step.kind != schema::Step::none; }
  [[nodiscard]] bool may_commit_step() const;
  void commit_step();
  void handle_order(const net::ExchangePtr& exchange);
  [[nodiscard]] nlohmann::json describe_nodes() const;
  [[nodiscard]] nlohmann::json describe_blockers() const;
  void commit_order(const net::ExchangePtr& exchange, const schema::Order& order);

  ControllerComponents& components_;
  const schema::Build build_;
  schema::RolloutStatus rollout_status_;
  std::map<BlockerKey, double> blocked_since_;  ///< Loop time.
  std::string logged_refusal_;                  ///< The latest refusal in the log.
  double step_since_ = 0;                       ///< Loop time; 0: there is no step to be made.
  int step_from_version_ = -1;                  ///< The active version that the step starts from.
  bool is_commit_in_flight_ = false;
  TagSequence tags_;
};

}  // namespace shunttrail::controller

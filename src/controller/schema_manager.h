/// The active schema version at this node: what it permits, how it changes, and the operators'
/// orders.
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

/// Determines whether this build may serve with the stored state, commits the steps that raise,
/// settle and lower the active version (docs/schema.md), and handles the operators' orders.
class SchemaManager : public actor::Actor {
 public:
  SchemaManager(actor::Loop& loop, ControllerComponents& components, schema::Build build);
  /// Evaluates the rollout and commits a step that is due. Must be called at short, regular
  /// intervals.
  void tick();
  /// Handles GET by responding with `describe`, and POST by carrying out an order. Responds with
  /// 400 if the order is malformed or not possible, and with 503 if it was not committed or its
  /// outcome is unknown.
  void handle_request(net::ExchangePtr exchange);

  [[nodiscard]] const schema::Build& build() const { return build_; }
  /// Returns why this build must not serve with the stored state as it was last read; empty if it
  /// may.
  [[nodiscard]] std::string refusal() const;
  [[nodiscard]] bool may_serve() const { return refusal().empty(); }
  /// Returns whether this node converts the values that are stored in another form than the active
  /// version's. One node at a time does.
  [[nodiscard]] bool is_converter() const;
  /// Returns the rollout's status, as JSON for operators.
  [[nodiscard]] std::string describe() const;

 private:
  /// The node that blocks the next step, and the reason.
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
  std::map<BlockerKey, double> blocked_since_;  ///< Since when (loop time), by blocker.
  std::string logged_refusal_;                  ///< The latest refusal that was logged.
  double step_since_ = 0;       ///< Since when a step is due (loop time); 0 if none is.
  int step_from_version_ = -1;  ///< The active version at the latest evaluation.
  bool is_commit_in_flight_ = false;
  TagSequence tags_;
};

}  // namespace shunttrail::controller

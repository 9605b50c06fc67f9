#include "controller/schema_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "controller/membership.h"

namespace shunttrail::controller {
namespace {
constexpr char kTagLetter = 'l';
/// Any node may commit a step. Each node waits for this delay times its index, so that they try one
/// after the other.
constexpr double kNodeDelayS = 0.5;
/// Largest age of the read of the state service by which a step is decided.
constexpr double kMaxReadAgeS = 3;
constexpr double kStepTimeoutS = 3;
constexpr double kOrderTimeoutS = 3;
constexpr double kOrderRetryAfterS = 1;
}  // namespace

using net::error_response;

SchemaManager::SchemaManager(actor::Loop& loop, ControllerComponents& components,
                             schema::Build build)
    : Actor(loop), components_(components), build_(build), tags_(components, kTagLetter) {
  components_.state_store->listen(
      reply<Changes>([this](const Changes& changes) { on_changes(*changes); }));
}

void SchemaManager::on_changes(const std::vector<state::Change>& changes) {
  const bool concerns_schema =
      std::any_of(changes.begin(), changes.end(), [](const state::Change& change) {
        return change.kind == state::Change::schema_version || change.kind == state::Change::node;
      });
  if (concerns_schema) evaluate();
}

void SchemaManager::tick() {
  post([this] {
    evaluate();
    commit_step();
  });
}

void SchemaManager::handle_request(net::ExchangePtr exchange) {
  post([this, exchange = std::move(exchange)] {
    if (exchange->post) return handle_order(exchange);
    evaluate();
    exchange->send({200, describe(), 0});
  });
}

std::string SchemaManager::refusal() const {
  return schema::serving_refusal(components_.state_store->cache().schema(), build_);
}

bool SchemaManager::is_converter() const {
  const schema::StoredView& view = components_.state_store->cache().schema();
  for (std::size_t node = 0; node < view.members.size(); ++node) {
    const schema::StoredView::Member& member = view.members[node];
    const bool may_convert =
        member.mod_revision != 0 && schema::serving_refusal(view, member.build).empty();
    if (may_convert) return static_cast<int>(node) == components_.settings.self;
  }
  return false;
}

// ---- steps

void SchemaManager::evaluate() {
  if (!components_.state_store->loaded()) return;
  log_refusal();
  const state::StateCache& cache = components_.state_store->cache();
  rollout_status_ = schema::rollout_status(cache.schema(), components_.settings.nodes, build_,
                                           cache.all_converted());
  update_blockers();
  update_step();
}

void SchemaManager::log_refusal() {
  std::string reason = refusal();
  if (reason == logged_refusal_) return;
  if (!reason.empty())
    spdlog::error("node {} cannot serve any request: {}", components_.settings.node, reason);
  logged_refusal_ = std::move(reason);
}

void SchemaManager::update_blockers() {
  const double now = loop_.now();
  const int active = components_.state_store->cache().schema().record.active;
  std::map<BlockerKey, double> blocked_since;
  for (const auto& blocker : rollout_status_.blocked_by) {
    const BlockerKey key{blocker.by, blocker.reason};
    const auto known = blocked_since_.find(key);
    const bool is_new = known == blocked_since_.end();
    blocked_since[key] = is_new ? now : known->second;
    if (is_new)
      spdlog::info("schema: version {} is active; the next step is blocked by {}, which {}", active,
                   blocker.by, blocker.reason);
  }
  blocked_since_ = std::move(blocked_since);
}

void SchemaManager::update_step() {
  const int active = components_.state_store->cache().schema().record.active;
  if (!has_step() || active != step_from_version_) step_since_ = 0;
  step_from_version_ = active;
  if (!has_step() || step_since_ != 0) return;
  step_since_ = loop_.now();
  commit_step();
}

bool SchemaManager::may_commit_step() const {
  const bool is_due =
      step_since_ != 0 && loop_.now() >= step_since_ + kNodeDelayS * components_.settings.self;
  return is_due && !is_commit_in_flight_ && components_.state_store->fresh(kMaxReadAgeS) &&
         components_.membership->process_id() != 0;
}

void SchemaManager::commit_step() {
  if (!may_commit_step()) return;
  const schema::VersionRecord next = rollout_status_.step.record;
  is_commit_in_flight_ = true;
  step_since_ = 0;
  components_.state_store->commit_or_reread(
      schema::commit_of(rollout_status_.step, tags_.next()), state::RequestPriority::safety,
      kStepTimeoutS, reply<state::CommitResult>([this, next](const state::CommitResult& result) {
        is_commit_in_flight_ = false;
        if (result.kind == state::CommitResult::applied)
          spdlog::info("schema: version {} is active; forms of versions {} to {} may be stored",
                       next.active, next.lowest, next.highest);
        evaluate();
      }));
}

// ---- orders

void SchemaManager::handle_order(const net::ExchangePtr& exchange) {
  schema::Order order;
  try {
    order = schema::decode_order(exchange->body);
  } catch (const wire::Malformed& error) {
    return exchange->send(error_response(400, error.what()));
  }
  components_.state_store->linearizable_read(reply<bool>([this, exchange,
                                                          order = std::move(order)](bool is_read) {
    if (is_read) return commit_order(exchange, order);
    exchange->send(error_response(
        503, "the order was not carried out: the state service cannot be read", kOrderRetryAfterS));
  }));
}

void SchemaManager::commit_order(const net::ExchangePtr& exchange, const schema::Order& order) {
  const schema::StoredView& view = components_.state_store->cache().schema();
  const std::string reason = schema::order_refusal(view, components_.settings.nodes, order);
  if (!reason.empty()) return exchange->send(error_response(400, reason));
  schema::Orders orders = schema::apply_order(view.orders, order);
  // A repeated order changes nothing, so nothing is committed.
  if (orders == view.orders) return exchange->send({200, describe(), 0});
  components_.state_store->commit_or_reread(
      schema::commit_of(view, std::move(orders), tags_.next()), state::RequestPriority::user,
      kOrderTimeoutS,
      reply<state::CommitResult>([this, exchange](const state::CommitResult& result) {
        evaluate();
        if (result.kind == state::CommitResult::applied)
          return exchange->send({200, describe(), 0});
        exchange->send(error_response(503, "the order was not committed, or its outcome is unknown",
                                      kOrderRetryAfterS));
      }));
}

nlohmann::json SchemaManager::describe_nodes() const {
  const schema::StoredView& view = components_.state_store->cache().schema();
  nlohmann::json nodes = nlohmann::json::array();
  for (std::size_t node = 0; node < view.members.size(); ++node) {
    const schema::StoredView::Member& member = view.members[node];
    const std::string& name = components_.settings.nodes[node];
    const bool is_alive = member.mod_revision != 0;
    nlohmann::json entry = {{"name", name}, {"alive", is_alive}};
    if (is_alive) {
      entry["reads"] = {member.build.lowest, member.build.highest};
      entry["writes"] = member.build.writes;
    }
    if (view.orders.excluded_nodes.contains(name)) entry["gone"] = true;
    nodes.push_back(std::move(entry));
  }
  return nodes;
}

nlohmann::json SchemaManager::describe_blockers() const {
  const double now = loop_.now();
  nlohmann::json blockers = nlohmann::json::array();
  for (const auto& [blocker, since] : blocked_since_)
    blockers.push_back({{"by", blocker.first}, {"why", blocker.second}, {"since_s", now - since}});
  return blockers;
}

std::string SchemaManager::describe() const {
  const state::StateCache& cache = components_.state_store->cache();
  const schema::StoredView& view = cache.schema();
  nlohmann::json status;
  status["active"] = view.record.active;
  status["stands"] = {view.record.lowest, view.record.highest};
  status["node"] = components_.settings.node;
  status["reads"] = {build_.lowest, build_.highest};
  status["nodes"] = describe_nodes();
  status["held_by"] = describe_blockers();
  status["converted"] = cache.converted();
  if (view.orders.max_version) status["hold"] = *view.orders.max_version;
  if (const std::string reason = refusal(); !reason.empty()) status["serves_nothing"] = reason;
  return status.dump();
}

}  // namespace shunttrail::controller

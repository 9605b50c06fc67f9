#include "controller/schema_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "controller/membership.h"

namespace shunttrail::controller {
namespace {
constexpr double kTurnOfNode = 0.5;  // any node may make a step; they try one after the other
constexpr double kFresh = 3;         // what a step is decided by was read so lately
constexpr double kOrderWithin = 3;
}  // namespace

using net::error_response;

SchemaManager::SchemaManager(actor::Loop& loop, ControllerComponents& parts, schema::Build build)
    : Actor(loop), components_(parts), build_(build) {
  components_.state_store->listen(reply<Changes>([this](Changes c) {
    if (std::any_of(c->begin(), c->end(), [](const state::Change& x) {
          return x.kind == state::Change::schema_version || x.kind == state::Change::node;
        }))
      evaluate();
  }));
}

void SchemaManager::tick() {
  post([this] {
    evaluate();
    step();
  });
}
void SchemaManager::handle_request(net::ExchangePtr ex) {
  post([this, ex] {
    if (ex->post) return handle_order(ex);
    evaluate();
    ex->send({200, describe(), 0});
  });
}

std::string SchemaManager::refusal() const {
  return schema::refusal(components_.state_store->cache().schema(), build_);
}

bool SchemaManager::converts() const {
  const auto& v = components_.state_store->cache().schema();
  for (std::size_t n = 0; n < v.members.size(); ++n)
    if (v.members[n].mod_revision && schema::refusal(v, v.members[n].build).empty())
      return static_cast<int>(n) == components_.settings.self;
  return false;
}

void SchemaManager::evaluate() {
  if (!components_.state_store->loaded()) return;
  const double now = loop_.now();
  const state::StateCache& w = components_.state_store->cache();
  const auto& v = w.schema();
  if (std::string why = refusal(); why != logged_refusal_) {
    if (!why.empty()) spdlog::error("this node serves nothing: {}", why);
    logged_refusal_ = std::move(why);
  }
  rollout_status_ =
      schema::rollout_status(v, components_.settings.nodes, build_, w.all_converted());
  std::map<std::pair<std::string, std::string>, double> held;
  for (const auto& o : rollout_status_.blocked_by) {
    auto was = held_since_.find({o.by, o.reason});
    held[{o.by, o.reason}] = was == held_since_.end() ? now : was->second;
    if (was == held_since_.end())
      spdlog::info("levels: {} is active; held by {}, which {}", v.record.active, o.by, o.reason);
  }
  held_since_ = std::move(held);
  if (rollout_status_.step.kind == schema::Step::none || v.record.active != step_from_)
    step_since_ = 0;
  step_from_ = v.record.active;
  if (rollout_status_.step.kind != schema::Step::none && step_since_ == 0) {
    step_since_ = now;
    step();
  }
}

void SchemaManager::step() {
  const double now = loop_.now();
  if (commit_in_flight_ || step_since_ == 0 || !components_.state_store->fresh(kFresh) ||
      !components_.membership->process_id() ||
      now < step_since_ + kTurnOfNode * components_.settings.self)
    return;
  const schema::VersionRecord to = rollout_status_.step.record;
  commit_in_flight_ = true;
  step_since_ = 0;
  components_.state_store->resolve_unknown_commit(
      schema::commit_of(rollout_status_.step, components_.membership->tag('l', ++tags_)),
      state::RequestPriority::safety, 3,
      reply<state::CommitResult>([this, to](state::CommitResult r) {
        commit_in_flight_ = false;
        if (r.kind == state::CommitResult::applied)
          spdlog::info("levels: {} is active, {} to {} may stand", to.active, to.lowest,
                       to.highest);
        evaluate();
      }));
}

void SchemaManager::handle_order(const net::ExchangePtr& ex) {
  schema::Order o;
  try {
    o = schema::decode_order(ex->body);
  } catch (const wire::Malformed& e) {
    return ex->send(error_response(400, e.what()));
  }
  components_.state_store->linearizable_read(reply<bool>([this, ex, o](bool ok) {
    if (!ok) return ex->send(error_response(503, "the state service cannot be read", 1));
    const auto& v = components_.state_store->cache().schema();
    if (std::string why = schema::refused(v, components_.settings.nodes, o); !why.empty())
      return ex->send(error_response(400, why));
    schema::Orders after = schema::with(v.orders, o);
    // Repeating an order is harmless, and costs nothing.
    if (after == v.orders) return ex->send({200, describe(), 0});
    components_.state_store->resolve_unknown_commit(
        schema::commit_of(v, std::move(after), components_.membership->tag('l', ++tags_)),
        state::RequestPriority::user, kOrderWithin,
        reply<state::CommitResult>([this, ex](state::CommitResult r) {
          evaluate();
          if (r.kind != state::CommitResult::applied)
            return ex->send(error_response(503, "not carried out, or not known", 1));
          ex->send({200, describe(), 0});
        }));
  }));
}

std::string SchemaManager::describe() const {
  using nlohmann::json;
  const double now = loop_.now();
  const auto& v = components_.state_store->cache().schema();
  json nodes = json::array(), held = json::array();
  for (std::size_t n = 0; n < v.members.size(); ++n) {
    const auto& m = v.members[n];
    json j = {{"name", components_.settings.nodes[n]}, {"alive", m.mod_revision != 0}};
    if (m.mod_revision) {
      j["reads"] = {m.build.lowest, m.build.highest};
      j["writes"] = m.build.writes;
    }
    if (v.orders.gone.contains(components_.settings.nodes[n])) j["gone"] = true;
    nodes.push_back(std::move(j));
  }
  for (const auto& [o, since] : held_since_)
    held.push_back({{"by", o.first}, {"why", o.second}, {"since_s", now - since}});
  json out = {{"active", v.record.active},
              {"stands", {v.record.lowest, v.record.highest}},
              {"node", components_.settings.node},
              {"reads", {build_.lowest, build_.highest}},
              {"nodes", std::move(nodes)},
              {"held_by", std::move(held)},
              {"converted", components_.state_store->cache().converted()}};
  if (v.orders.max_version) out["hold"] = *v.orders.max_version;
  if (std::string why = refusal(); !why.empty()) out["serves_nothing"] = why;
  return out.dump();
}

}  // namespace shunttrail::controller

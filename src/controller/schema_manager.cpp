#include "controller/schema_manager.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "controller/membership.h"

namespace shunt::front {
namespace {
constexpr double kTurnOfNode = 0.5;  // any node may make a step; they try one after the other
constexpr double kFresh = 3;         // what a step is decided by was read so lately
constexpr double kOrderWithin = 3;
}  // namespace

using net::no;

Levels::Levels(actor::Loop& loop, Parts& parts, levels::Build build)
    : Actor(loop), parts_(parts), build_(build) {
  parts_.store->listen(reply<Changes>([this](Changes c) {
    if (std::any_of(c->begin(), c->end(), [](const state::Change& x) {
          return x.kind == state::Change::level || x.kind == state::Change::node;
        }))
      look();
  }));
}

void Levels::tick() {
  post([this] {
    look();
    step();
  });
}
void Levels::ask(net::ExchangePtr ex) {
  post([this, ex] {
    if (ex->post) return order(ex);
    look();
    ex->send({200, describe(), 0});
  });
}

std::string Levels::refusal() const {
  return levels::refusal(parts_.store->world().levels(), build_);
}

bool Levels::converts() const {
  const auto& v = parts_.store->world().levels();
  for (std::size_t n = 0; n < v.members.size(); ++n)
    if (v.members[n].stamp && levels::refusal(v, v.members[n].build).empty())
      return static_cast<int>(n) == parts_.settings.self;
  return false;
}

void Levels::look() {
  if (!parts_.store->loaded()) return;
  const double now = loop_.now();
  const state::World& w = parts_.store->world();
  const auto& v = w.levels();
  if (std::string why = refusal(); why != said_) {
    if (!why.empty()) spdlog::error("this node serves nothing: {}", why);
    said_ = std::move(why);
  }
  outlook_ = levels::outlook(v, parts_.settings.nodes, build_, w.all_converted());
  std::map<std::pair<std::string, std::string>, double> held;
  for (const auto& o : outlook_.held_by) {
    auto was = held_since_.find({o.by, o.why});
    held[{o.by, o.why}] = was == held_since_.end() ? now : was->second;
    if (was == held_since_.end())
      spdlog::info("levels: {} is active; held by {}, which {}", v.record.active, o.by, o.why);
  }
  held_since_ = std::move(held);
  if (outlook_.step.kind == levels::Step::none || v.record.active != step_from_) step_since_ = 0;
  step_from_ = v.record.active;
  if (outlook_.step.kind != levels::Step::none && step_since_ == 0) {
    step_since_ = now;
    step();
  }
}

void Levels::step() {
  const double now = loop_.now();
  if (out_ || step_since_ == 0 || !parts_.store->fresh(kFresh) || !parts_.membership->boot() ||
      now < step_since_ + kTurnOfNode * parts_.settings.self)
    return;
  const levels::Record to = outlook_.step.record;
  out_ = true;
  step_since_ = 0;
  parts_.store->settle(levels::commit_of(outlook_.step, parts_.membership->tag('l', ++tags_)),
                       state::Urgency::safety, 3,
                       reply<state::CommitResult>([this, to](state::CommitResult r) {
                         out_ = false;
                         if (r.kind == state::CommitResult::applied)
                           spdlog::info("levels: {} is active, {} to {} may stand", to.active,
                                        to.lowest, to.highest);
                         look();
                       }));
}

void Levels::order(const net::ExchangePtr& ex) {
  levels::Order o;
  try {
    o = levels::decode_order(ex->body);
  } catch (const wire::Malformed& e) {
    return ex->send(no(400, e.what()));
  }
  parts_.store->barrier(reply<bool>([this, ex, o](bool ok) {
    if (!ok) return ex->send(no(503, "the state service cannot be read", 1));
    const auto& v = parts_.store->world().levels();
    if (std::string why = levels::refused(v, parts_.settings.nodes, o); !why.empty())
      return ex->send(no(400, why));
    levels::Orders after = levels::with(v.orders, o);
    // Repeating an order is harmless, and costs nothing.
    if (after == v.orders) return ex->send({200, describe(), 0});
    parts_.store->settle(
        levels::commit_of(v, std::move(after), parts_.membership->tag('l', ++tags_)),
        state::Urgency::user, kOrderWithin,
        reply<state::CommitResult>([this, ex](state::CommitResult r) {
          look();
          if (r.kind != state::CommitResult::applied)
            return ex->send(no(503, "not carried out, or not known", 1));
          ex->send({200, describe(), 0});
        }));
  }));
}

std::string Levels::describe() const {
  using nlohmann::json;
  const double now = loop_.now();
  const auto& v = parts_.store->world().levels();
  json nodes = json::array(), held = json::array();
  for (std::size_t n = 0; n < v.members.size(); ++n) {
    const auto& m = v.members[n];
    json j = {{"name", parts_.settings.nodes[n]}, {"alive", m.stamp != 0}};
    if (m.stamp) {
      j["reads"] = {m.build.lowest, m.build.highest};
      j["writes"] = m.build.writes;
    }
    if (v.orders.gone.contains(parts_.settings.nodes[n])) j["gone"] = true;
    nodes.push_back(std::move(j));
  }
  for (const auto& [o, since] : held_since_)
    held.push_back({{"by", o.first}, {"why", o.second}, {"since_s", now - since}});
  json out = {{"active", v.record.active},
              {"stands", {v.record.lowest, v.record.highest}},
              {"node", parts_.settings.node},
              {"reads", {build_.lowest, build_.highest}},
              {"nodes", std::move(nodes)},
              {"held_by", std::move(held)},
              {"converted", parts_.store->world().converted()}};
  if (v.orders.most) out["hold"] = *v.orders.most;
  if (std::string why = refusal(); !why.empty()) out["serves_nothing"] = why;
  return out.dump();
}

}  // namespace shunt::front

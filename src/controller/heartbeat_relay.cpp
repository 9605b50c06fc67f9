#include "controller/heartbeat_relay.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "peer/peer.h"
#include "wire/codec.h"

namespace shunttrail::controller {
namespace {
/// Time-out of a relayed heartbeat. It is part of the 4 s for which the worker waits.
constexpr double kRelayTimeoutS = 2.5;
/// Limits of heartbeats in flight to one sibling (another controller). No heartbeat is queued
/// beyond the limit: one that exceeds it counts as not answered by the sibling. The siblings share
/// a quarter of the sockets: with 2,000 sockets and two siblings, 250 each. If 4,000 machines are
/// cut off from one leader of all shards, each of two siblings gets 667 heartbeats a second at a
/// heartbeat interval of 3 s, and has 200 of them in flight if each waits for a commit
/// (Tuning::response_hold_s).
constexpr std::size_t kMinInFlight = 48;
constexpr std::size_t kSocketShareDivisor = 4;
constexpr std::size_t kMaxQueued = 0;
/// Message version of the relayed heartbeats that this build sends.
constexpr std::uint32_t kRelayVersion = 1;

std::size_t max_in_flight(const config::Settings& settings) {
  const std::size_t siblings = std::max<std::size_t>(1, settings.peers.size());
  const auto sockets = static_cast<std::size_t>(settings.max_sockets);
  return std::max(kMinInFlight, sockets / kSocketShareDivisor / siblings);
}
}  // namespace

HeartbeatRelay::HeartbeatRelay(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop), components_(components), counters_(components.settings.nodes.size()) {
  for (const auto& node : components_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& peer : components_.settings.peers)
      if (peer.node == node)
        clients_.back() = std::make_unique<net::Client>(
            loop, peer.addr, max_in_flight(components_.settings), kMaxQueued);
  }
}

void HeartbeatRelay::route_heartbeat(net::ExchangePtr exchange, std::string machine,
                                     relay::RelayRoutes::Order order, int zone, int leader) {
  post([this, exchange = std::move(exchange), machine = std::move(machine), order, zone, leader] {
    route(exchange, machine, order, zone, leader);
  });
}

void HeartbeatRelay::route(const net::ExchangePtr& exchange, const std::string& machine,
                           relay::RelayRoutes::Order order, int zone, int leader) {
  const bool is_other_node = leader >= 0 && leader != components_.settings.self;
  auto decision = relay::Decision::redirect;
  if (is_other_node && components_.tuning.relay)
    decision = routes_.decide(machine, order, zone, leader, loop_.now());
  switch (decision) {
    case relay::Decision::redirect:
      return exchange->send(
          {421, wire::encode_redirect(is_other_node ? node_name(leader) : std::string()), 0});
    case relay::Decision::refuse:
      return exchange->send({503, "{}", 0});
    case relay::Decision::relay:
      return relay_to(exchange, leader);
  }
}

void HeartbeatRelay::relay_to(const net::ExchangePtr& exchange, int leader) {
  ++counters(leader).relayed;
  std::string body = peer::encode(
      peer::RelayedHeartbeat{kRelayVersion, components_.settings.self, exchange->body});
  clients_[static_cast<std::size_t>(leader)]->request(
      "POST", "/peer/report", std::move(body), kRelayTimeoutS,
      reply<net::Result>([this, exchange, leader](net::Result response) {
        on_response(exchange, leader, std::move(response));
      }));
}

void HeartbeatRelay::on_response(const net::ExchangePtr& exchange, int leader,
                                 net::Result response) {
  const double now = loop_.now();
  const bool is_answered = response.status != 0;
  routes_.record_response(leader, is_answered, now);
  if (!is_answered) ++counters(leader).unanswered;
  // The leader's build does not support relayed heartbeats (404), or not this message version
  // (400).
  const bool is_unsupported = response.status == 404 || response.status == 400;
  if (is_unsupported) {
    spdlog::info("relaying a heartbeat to {}: its build does not support it (status {})",
                 node_name(leader), response.status);
    routes_.record_unsupported(leader, now);
  }
  const bool is_worker_response = response.status == 200 || response.status == 421;
  if (is_worker_response)
    exchange->send({response.status, std::move(response.body), 0});
  else
    exchange->send({503, "{}", 0});
}

void HeartbeatRelay::handle_relayed(const net::ExchangePtr& exchange,
                                    const std::function<void(net::ExchangePtr)>& then) {
  auto relayed = peer::decode_relayed(exchange->body, components_.settings.shards());
  if (!relayed) {
    ++malformed_;
    return exchange->send({400, "{}", 0});
  }
  ++counters(relayed->node).received;
  exchange->body = std::move(relayed->heartbeat);
  then(exchange);
}

std::string HeartbeatRelay::describe() const {
  using nlohmann::json;
  const config::Settings& settings = components_.settings;
  const double now = loop_.now();
  json links = json::array();
  for (const auto& [leader_and_zone, open_route] : routes_.routes()) {
    const auto [leader, zone] = leader_and_zone;
    const std::string zone_name =
        zone < 0 ? std::string() : settings.zones[static_cast<std::size_t>(zone)];
    links.push_back({{"to", node_name(leader)},
                     {"workers_in", zone_name},
                     {"state", "cut"},
                     {"since_s", now - open_route.since},
                     {"by", settings.node}});
  }
  json siblings = json::array();
  for (std::size_t node = 0; node < counters_.size(); ++node) {
    if (!clients_[node]) continue;
    const Counters& count = counters_[node];
    siblings.push_back({{"to", settings.nodes[node]},
                        {"passed", count.relayed},
                        {"unanswered", count.unanswered},
                        {"taken", count.received}});
  }
  return json{{"node", settings.node},
              {"relay", components_.tuning.relay},
              {"links", std::move(links)},
              {"reports", std::move(siblings)}}
      .dump();
}

}  // namespace shunttrail::controller

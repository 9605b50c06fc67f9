#include "controller/heartbeat_relay.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "peer/peer.h"
#include "wire/codec.h"

namespace shunttrail::controller {
namespace {
constexpr double kWithin = 2.5;  // of the 4 s that a worker waits
// Heartbeats on their way to one sibling; none wait for that, and one too many counts as a sibling
// that does not answer. The siblings share a quarter of the sockets: with 2,000 of them, 250 each.
// Of 4,000 machines that are cut off from one leader of all shards, each of two siblings gets 667
// heartbeats a second at 3 s between them, and has 200 of them out if each waits for a commit
// (Tuning::reply_hold_s).
constexpr std::size_t kOutLeast = 48;
constexpr std::size_t kShareOfSockets = 4;

std::size_t most_out(const config::Settings& s) {
  const std::size_t siblings = std::max<std::size_t>(1, s.peers.size());
  return std::max(kOutLeast, static_cast<std::size_t>(s.max_sockets) / kShareOfSockets / siblings);
}
}  // namespace

HeartbeatRelay::HeartbeatRelay(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop), components_(parts), counts_(parts.settings.nodes.size()) {
  for (const auto& n : components_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& p : components_.settings.peers)
      if (p.node == n)
        clients_.back() =
            std::make_unique<net::Client>(loop, p.addr, most_out(components_.settings), 0);
  }
}

void HeartbeatRelay::route_heartbeat(net::ExchangePtr ex, std::string machine,
                                     relay::RelayRoutes::Order order, int zone, int owner) {
  post([this, ex, machine = std::move(machine), order, zone, owner] {
    decide(ex, machine, order, zone, owner);
  });
}

void HeartbeatRelay::decide(const net::ExchangePtr& ex, const std::string& machine,
                            relay::RelayRoutes::Order order, int zone, int owner) {
  const bool other = owner >= 0 && owner != components_.settings.self;
  const std::string to = other ? components_.settings.nodes[static_cast<std::size_t>(owner)] : "";
  auto way = relay::Decision::redirect;
  if (other && components_.tuning.relay)
    way = routes_.decide(machine, order, zone, owner, loop_.now());
  switch (way) {
    case relay::Decision::redirect:
      return ex->send({421, wire::encode_redirect(to), 0});
    case relay::Decision::refuse:
      return ex->send({503, "{}", 0});
    case relay::Decision::relay:
      return relay_to(ex, owner);
  }
}

void HeartbeatRelay::relay_to(const net::ExchangePtr& ex, int owner) {
  const auto n = static_cast<std::size_t>(owner);
  ++counts_[n].relayed;
  std::string body = peer::encode(peer::RelayedHeartbeat{1, components_.settings.self, ex->body});
  clients_[n]->request("POST", "/peer/report", std::move(body), kWithin,
                       reply<net::Result>([this, ex, owner, n](net::Result r) {
                         const double now = loop_.now();
                         routes_.relayed(owner, r.status != 0, now);
                         if (r.status == 0) ++counts_[n].unanswered;
                         // 404, 400: a build that takes no reports from siblings, or none of this
                         // version.
                         if (r.status == 404 || r.status == 400) {
                           spdlog::info("{} takes no reports passed on",
                                        components_.settings.nodes[n]);
                           routes_.unavailable(owner, now);
                         }
                         if (r.status == 200 || r.status == 421)
                           ex->send({r.status, std::move(r.body), 0});
                         else
                           ex->send({503, "{}", 0});
                       }));
}

void HeartbeatRelay::handle_relayed(const net::ExchangePtr& ex,
                                    const std::function<void(net::ExchangePtr)>& then) {
  auto p = peer::decode_relayed(ex->body, components_.settings.shards());
  if (!p) {
    ++malformed_;
    return ex->send({400, "{}", 0});
  }
  ++counts_[static_cast<std::size_t>(p->node)].taken;
  ex->body = std::move(p->heartbeat);
  then(ex);
}

std::string HeartbeatRelay::describe() const {
  using nlohmann::json;
  const double now = loop_.now();
  json cut = json::array(), siblings = json::array();
  for (const auto& [key, d] : routes_.open())
    cut.push_back(
        {{"to", components_.settings.nodes[static_cast<std::size_t>(key.first)]},
         {"workers_in", key.second < 0
                            ? std::string()
                            : components_.settings.zones[static_cast<std::size_t>(key.second)]},
         {"state", "cut"},
         {"since_s", now - d.since},
         {"by", components_.settings.node}});
  for (std::size_t n = 0; n < counts_.size(); ++n) {
    const Count& c = counts_[n];
    if (clients_[n])
      siblings.push_back({{"to", components_.settings.nodes[n]},
                          {"passed", c.relayed},
                          {"unanswered", c.unanswered},
                          {"taken", c.taken}});
  }
  return json{{"node", components_.settings.node},
              {"relay", components_.tuning.relay},
              {"links", std::move(cut)},
              {"reports", std::move(siblings)}}
      .dump();
}

}  // namespace shunttrail::controller

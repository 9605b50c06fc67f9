#include "controller/heartbeat_relay.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "peer/peer.h"
#include "wire/codec.h"

namespace shunt::front {
namespace {
constexpr double kWithin = 2.5;   // of the 4 s that a worker waits
constexpr std::size_t kOut = 48;  // reports on their way to one sibling; none wait for that
}  // namespace

Relay::Relay(actor::Loop& loop, Parts& parts)
    : Actor(loop), parts_(parts), counts_(parts.settings.nodes.size()) {
  for (const auto& n : parts_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& p : parts_.settings.peers)
      if (p.node == n) clients_.back() = std::make_unique<net::Client>(loop, p.addr, kOut, 0);
  }
}

void Relay::report(net::ExchangePtr ex, std::string machine, links::Detours::Order order, int zone,
                   int owner) {
  post([this, ex, machine = std::move(machine), order, zone, owner] {
    decide(ex, machine, order, zone, owner);
  });
}

void Relay::decide(const net::ExchangePtr& ex, const std::string& machine,
                   links::Detours::Order order, int zone, int owner) {
  const bool other = owner >= 0 && owner != parts_.settings.self;
  const std::string to = other ? parts_.settings.nodes[static_cast<std::size_t>(owner)] : "";
  auto way = links::Way::redirect;
  if (other && parts_.tuning.relay) way = detours_.way(machine, order, zone, owner, loop_.now());
  switch (way) {
    case links::Way::redirect:
      return ex->send({421, wire::encode_redirect(to), 0});
    case links::Way::refuse:
      return ex->send({503, "{}", 0});
    case links::Way::relay:
      return pass(ex, owner);
  }
}

void Relay::pass(const net::ExchangePtr& ex, int owner) {
  const auto n = static_cast<std::size_t>(owner);
  ++counts_[n].passed;
  std::string body = peer::encode(peer::Passed{1, parts_.settings.self, ex->body});
  clients_[n]->request("POST", "/peer/report", std::move(body), kWithin,
                       reply<net::Result>([this, ex, owner, n](net::Result r) {
                         const double now = loop_.now();
                         detours_.passed(owner, r.status != 0, now);
                         if (r.status == 0) ++counts_[n].unanswered;
                         // 404, 400: a build that takes no reports from siblings, or none of this
                         // version.
                         if (r.status == 404 || r.status == 400) {
                           spdlog::info("{} takes no reports passed on", parts_.settings.nodes[n]);
                           detours_.cannot(owner, now);
                         }
                         if (r.status == 200 || r.status == 421)
                           ex->send({r.status, std::move(r.body), 0});
                         else
                           ex->send({503, "{}", 0});
                       }));
}

void Relay::heard(const net::ExchangePtr& ex, const std::function<void(net::ExchangePtr)>& then) {
  auto p = peer::decode_passed(ex->body, parts_.settings.shards());
  if (!p) {
    ++garbage_;
    return ex->send({400, "{}", 0});
  }
  ++counts_[static_cast<std::size_t>(p->node)].taken;
  ex->body = std::move(p->report);
  then(ex);
}

std::string Relay::describe() const {
  using nlohmann::json;
  const double now = loop_.now();
  json cut = json::array(), siblings = json::array();
  for (const auto& [key, d] : detours_.open())
    cut.push_back({{"to", parts_.settings.nodes[static_cast<std::size_t>(key.first)]},
                   {"workers_in",
                    key.second < 0 ? std::string()
                                   : parts_.settings.zones[static_cast<std::size_t>(key.second)]},
                   {"state", "cut"},
                   {"since_s", now - d.since},
                   {"by", parts_.settings.node}});
  for (std::size_t n = 0; n < counts_.size(); ++n) {
    const Count& c = counts_[n];
    if (clients_[n])
      siblings.push_back({{"to", parts_.settings.nodes[n]},
                          {"passed", c.passed},
                          {"unanswered", c.unanswered},
                          {"taken", c.taken}});
  }
  return json{{"node", parts_.settings.node},
              {"relay", parts_.tuning.relay},
              {"links", std::move(cut)},
              {"reports", std::move(siblings)}}
      .dump();
}

}  // namespace shunt::front

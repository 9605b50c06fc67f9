// What workers report, and what the other controllers and the operators ask for.
#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

#include "front/controller.h"

namespace shunt::front {
namespace {
constexpr double kLoadFresh = 2.5;  // a shard's load is acted on for so long
constexpr double kGiveGap = 2.5;    // what was given has to show before more is
constexpr double kStartFresh = 5;   // a start needs a read of the state service at most this old
}  // namespace

void Controller::beat(ExchangePtr ex) {
  wire::Report r;
  try {
    r = wire::decode_report(ex->body);
  } catch (const wire::Malformed& e) {
    ++garbage_;
    spdlog::info("garbage report: {}", e.what());
    return ex->send({400, "{}", 0});
  }
  double now = loop_.now();
  // An owner that has not read the state service for S may have been replaced, and may not know
  // of cancellations: it must let the leases run out.
  if (!fresh(settings_.stale_s())) return ex->send({503, "{}", 0});
  const wire::MachineRecord* m = world_.machine(r.machine);
  int shard = m ? m->shard : -1;
  if (!m)
    for (int k = 0; k < settings_.shards(); ++k)
      if (shards_[k].desk && shards_[k].desk->has_machine(r.machine)) shard = k;
  if (shard < 0) {
    if (removed_.contains(r.machine)) return ex->send({503, "{}", 0});
    // Nobody's: adopted. Nothing can have been placed on what the roster does not hold.
    addrs_[r.machine] = r.addr;
    adopt({r.machine, r.type, r.zone, r.spot, 0, 0});
    return ex->send({503, "{}", 0});
  }
  if (shard >= settings_.shards()) return ex->send({503, "{}", 0});
  Shard& s = shards_[shard];
  if (!s.desk) {
    int owner = world_.owner(shard).node;
    std::string to = owner >= 0 && owner != settings_.self ? settings_.nodes[owner] : "";
    return ex->send({421, wire::encode_redirect(to), 0});
  }
  if (r.token > s.desk->token()) {
    // It has obeyed a newer owner than this node knows of, or came from another shard whose token
    // is higher. Look again before acting; if this node still is the owner, it raises its token.
    barrier([this, shard, name = r.machine, seen = r.token](bool ok) {
      shards();
      auto& d = shards_[shard].desk;
      if (ok && d && d->has_machine(name) && seen > d->token() && seen <= world_.revision())
        d->outranked();
    });
    return ex->send({421, "{}", 0});
  }
  auto heard = s.desk->report(r, now);
  if (heard == fleet::Desk::Heard::unknown) return ex->send({503, "{}", 0});
  if (heard == fleet::Desk::Heard::older)
    // Overtaken by the answer to a direct order: it keeps the lease, and tells nothing new.
    return ex->send({200, wire::encode_orders(s.desk->token(), {}), 0});
  if (auto h = s.held.find(r.machine); h != s.held.end()) {
    h->second.ex->send({503, "{}", 0});
    s.held.erase(h);
  }
  stir();
  if (s.desk->awaits_commit(r.machine) && tuning_.reply_hold_s > 0)
    s.held[r.machine] = {ex, now + tuning_.reply_hold_s};
  else
    reply_report(s, r.machine, ex);
}

void Controller::reply_report(Shard& s, const std::string& machine, const ExchangePtr& ex) {
  auto commands = s.desk->orders(machine, fresh(kStartFresh), loop_.now());
  ex->send({200, wire::encode_orders(s.desk->token(), commands), 0});
}

void Controller::flush_held(int shard) {
  Shard& s = shards_[shard];
  if (!s.desk) return;
  double now = loop_.now();
  for (auto it = s.held.begin(); it != s.held.end();) {
    if (now < it->second.until && s.desk->awaits_commit(it->first)) {
      ++it;
      continue;
    }
    reply_report(s, it->first, it->second.ex);
    it = s.held.erase(it);
  }
}

void Controller::internal(ExchangePtr ex) {
  if (ex->path == "/peer/beat" && ex->post) {
    auto b = peer::decode(ex->body, settings_.shards());
    if (!b) {
      ++garbage_;
      return ex->send({400, "{}", 0});
    }
    peer_news_[b->node] = {loop_.now(), b->serving};
    for (int k = 0; k < settings_.shards(); ++k)
      if (const auto& l = b->loads[k]; l.owned)
        loads_[k] = {loop_.now(), {l.capacity / 100.0, l.entitled / 100.0, l.demand / 100.0}};
    bool newer = false;
    for (int k = 0; k < settings_.shards(); ++k)
      newer |= shards_[k].desk && b->tokens[k] > shards_[k].desk->token();
    if (newer) barrier([this](bool) { shards(); });
    return ex->send({200, "{}", 0});
  }
  if (ex->path == "/metrics" && !ex->post) {
    const auto cost = state_.cost();
    nlohmann::json j = {{"node", settings_.node},
                        {"revision", world_.revision()},
                        {"jobs", world_.jobs().size()},
                        {"machines", world_.machines().size()},
                        {"submissions", submissions_},
                        {"refused", refused_},
                        {"waiting", world_.waiting().size()},
                        {"made_ready", readier_.moved},
                        {"ended_with_others", ender_.moved},
                        {"state_429", cost.refused},
                        {"state_too_large", state_.limits().refusals()},
                        {"state_waited_s", cost.waited_s},
                        {"state_write_rate", cost.write_rate},
                        {"garbage", garbage_ + world_.garbage()},
                        {"desks", nlohmann::json::array()}};
    for (const auto& s : shards_)
      if (s.desk) j["desks"].push_back(nlohmann::json::parse(s.desk->summary()));
    return ex->send({200, j.dump(), 0});
  }
  ex->send({404, "{}", 0});
}

void Controller::peer_beats() {
  peers_at_ = loop_.now() + 1;
  peer::Beat b;
  b.node = settings_.self;
  b.serving = fresh(3);
  for (int k = 0; k < settings_.shards(); ++k) b.tokens.push_back(world_.owner(k).stamp);
  double now = loop_.now();
  for (int k = 0; k < settings_.shards(); ++k) {
    peer::Beat::Load l;
    if (auto& d = shards_[k].desk) {
      loads_[k] = {now, d->load(now)};
      auto whole = [](double x) {
        return static_cast<std::uint32_t>(std::clamp(x, 0.0, 1e7) * 100);
      };
      const shard::Load& mine = loads_[k].load;
      l = {whole(mine.capacity), whole(mine.entitled), whole(mine.demand), true};
    }
    b.loads.push_back(l);
  }
  std::string body = peer::encode(b);
  for (auto& p : peers_)
    if (p) p->request("POST", "/peer/beat", body, 2, [](net::Result) {});
  share_out();
}

// Machines go to the shards that lack them, as far as every shard's load is known.
void Controller::share_out() {
  double now = loop_.now();
  std::vector<shard::Load> all;
  for (const auto& l : loads_) {
    if (now - l.at > kLoadFresh) return;
    all.push_back(l.load);
  }
  for (int k = 0; k < settings_.shards(); ++k) {
    Shard& s = shards_[k];
    if (!s.desk || now < s.gave_at + kGiveGap) continue;
    auto gifts = shard::gifts(all, k);
    auto most = std::max_element(gifts.begin(), gifts.end());
    if (*most <= 0) continue;
    s.gave_at = now;
    s.desk->give(static_cast<int>(most - gifts.begin()), *most);
    stir();
  }
}

}  // namespace shunt::front

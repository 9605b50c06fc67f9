#include "controller/peer_gossip.h"

#include <algorithm>

#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/membership.h"
#include "controller/shard_controller.h"

namespace shunt::front {
namespace {
constexpr double kBeatGap = 1;
constexpr double kLoadFresh = 2.5;  // a shard's load is acted on for so long
constexpr double kGiveGap = 2.5;    // what was given has to show before more is
constexpr double kServesFor = 3;    // a peer's word that it can serve
}  // namespace

Peers::Peers(actor::Loop& loop, Parts& parts)
    : Actor(loop),
      parts_(parts),
      news_(parts.settings.shards()),
      loads_(parts.settings.shards()),
      gave_at_(parts.settings.shards(), -1e9),
      started_at_(loop.now()) {
  for (const auto& n : parts_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& p : parts_.settings.peers)
      if (p.node == n) clients_.back() = std::make_unique<net::Client>(loop, p.addr, 2, 4);
  }
}

void Peers::tick() {
  post([this] {
    if (loop_.now() > beat_at_) beat();
  });
}
void Peers::heard(net::ExchangePtr ex) {
  post([this, ex] { take(ex); });
}

bool Peers::another_serves() const { return peer::another_serves(news_, started_at_, loop_.now()); }

void Peers::take(const net::ExchangePtr& ex) {
  const int shards = parts_.settings.shards();
  auto b = peer::decode(ex->body, shards);
  if (!b) {
    ++garbage_;
    return ex->send({400, "{}", 0});
  }
  const double now = loop_.now();
  news_[b->node] = {now, b->serving};
  bool newer = false;
  for (int k = 0; k < shards; ++k) {
    if (const auto& l = b->loads[k]; l.owned)
      loads_[k] = {now, {l.capacity / 100.0, l.entitled / 100.0, l.demand / 100.0}};
    const fleet::Desk* d = parts_.runner(k).desk();
    newer |= d && b->tokens[k] > d->token();
  }
  if (newer) parts_.store->barrier(reply<bool>([this](bool) { parts_.membership->look(); }));
  ex->send({200, "{}", 0});
}

void Peers::beat() {
  const double now = loop_.now();
  beat_at_ = now + kBeatGap;
  peer::Beat b;
  b.node = parts_.settings.self;
  b.serving = parts_.store->fresh(kServesFor) && parts_.levels->serves();
  for (int k = 0; k < parts_.settings.shards(); ++k) {
    b.tokens.push_back(parts_.store->world().owner(k).stamp);
    peer::Beat::Load l;
    if (const fleet::Desk* d = parts_.runner(k).desk()) {
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
  for (auto& c : clients_)
    if (c) c->request("POST", "/peer/beat", body, 2, [](net::Result) {});
  share_out();
}

// Machines go to the shards that lack them, as far as every shard's load is known.
void Peers::share_out() {
  const double now = loop_.now();
  std::vector<shard::Load> all;
  for (const auto& l : loads_) {
    if (now - l.at > kLoadFresh) return;
    all.push_back(l.load);
  }
  for (int k = 0; k < parts_.settings.shards(); ++k) {
    const fleet::Desk* desk = parts_.runner(k).desk();
    if (!desk || now < gave_at_[k] + kGiveGap) continue;
    gave_at_[k] = now;
    // What is marked to go already is part of what there is to give, in every owner's eyes: else
    // each would see less than there is, and promise once more what another has promised.
    const double pledged = desk->pledged();
    auto gifts = shard::gifts(all, k);
    for (int to = 0; to < parts_.settings.shards(); ++to)
      if (const int n = gifts[static_cast<std::size_t>(to)]; to != k && (n > 0 || pledged > 0))
        parts_.runner(k).give({to, static_cast<double>(n), waiting(to)});
  }
}

// By tier, how many vcpus of a shard's work that stands nowhere yet it could take.
std::vector<double> Peers::waiting(int shard) const {
  const fleet::Catalogue& c = parts_.cloud->catalogue();
  const state::World& world = parts_.store->world();
  std::vector<double> out(c.types.size() * 2, 0);
  for (const auto& [id, j] : world.jobs()) {
    const wire::JobSpec& spec = j.record.spec;
    const int team = parts_.settings.team_index(spec.team);
    if (team < 0 || parts_.settings.team_shard[static_cast<std::size_t>(team)] != shard) continue;
    const auto p = world.progress(j, jobs::kChunk);
    if (p.done + p.placed >= spec.tasks) continue;
    const auto need = jobs::Amount::of(spec.cpus, spec.gpus, spec.mem_gb);
    const double amount = static_cast<double>(spec.tasks - p.done - p.placed) * spec.cpus;
    for (std::size_t tier = 0; tier < out.size(); ++tier)
      if (c.takes(static_cast<int>(tier), spec, need)) out[tier] += amount;
  }
  return out;
}

}  // namespace shunt::front

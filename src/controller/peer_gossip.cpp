#include "controller/peer_gossip.h"

#include <algorithm>

#include "controller/cloud_manager.h"
#include "controller/membership.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
constexpr double kBeatGap = 1;
constexpr double kLoadFresh = 2.5;  // a shard's load is acted on for so long
constexpr double kGiveGap = 2.5;    // what was given has to show before more is
constexpr double kServesFor = 3;    // a peer's word that it can serve
}  // namespace

PeerGossip::PeerGossip(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop),
      components_(parts),
      peer_status_(parts.settings.shards()),
      loads_(parts.settings.shards()),
      transferred_at_(parts.settings.shards(), -1e9),
      started_at_(loop.now()) {
  for (const auto& n : components_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& p : components_.settings.peers)
      if (p.node == n) clients_.back() = std::make_unique<net::Client>(loop, p.addr, 2, 4);
  }
}

void PeerGossip::tick() {
  post([this] {
    if (loop_.now() > heartbeat_at_) send_heartbeats();
  });
}
void PeerGossip::handle_request(net::ExchangePtr ex) {
  post([this, ex] { take_heartbeat(ex); });
}

bool PeerGossip::another_serves() const {
  return peer::another_serves(peer_status_, started_at_, loop_.now());
}

void PeerGossip::take_heartbeat(const net::ExchangePtr& ex) {
  const int shards = components_.settings.shards();
  auto b = peer::decode(ex->body, shards);
  if (!b) {
    ++malformed_;
    return ex->send({400, "{}", 0});
  }
  const double now = loop_.now();
  peer_status_[b->node] = {now, b->serving};
  bool newer = false;
  for (int k = 0; k < shards; ++k) {
    if (const auto& l = b->loads[k]; l.owned)
      loads_[k] = {now, {l.capacity / 100.0, l.entitled / 100.0, l.demand / 100.0}};
    const scheduler::ShardScheduler* d = components_.shard_controller(k).scheduler();
    newer |= d && b->tokens[k] > d->token();
  }
  if (newer)
    components_.state_store->linearizable_read(
        reply<bool>([this](bool) { components_.membership->reconsider(); }));
  ex->send({200, "{}", 0});
}

void PeerGossip::send_heartbeats() {
  const double now = loop_.now();
  heartbeat_at_ = now + kBeatGap;
  peer::PeerHeartbeat b;
  b.node = components_.settings.self;
  b.serving = components_.state_store->fresh(kServesFor) && components_.schema->may_serve();
  for (int k = 0; k < components_.settings.shards(); ++k) {
    b.tokens.push_back(components_.state_store->cache().leader(k).mod_revision);
    peer::PeerHeartbeat::Load l;
    if (const scheduler::ShardScheduler* d = components_.shard_controller(k).scheduler()) {
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
  rebalance();
}

// Machines go to the shards that lack them, as far as every shard's load is known.
void PeerGossip::rebalance() {
  const double now = loop_.now();
  std::vector<shard::Load> all;
  for (const auto& l : loads_) {
    if (now - l.at > kLoadFresh) return;
    all.push_back(l.load);
  }
  for (int k = 0; k < components_.settings.shards(); ++k) {
    const scheduler::ShardScheduler* scheduler = components_.shard_controller(k).scheduler();
    if (!scheduler || now < transferred_at_[k] + kGiveGap) continue;
    transferred_at_[k] = now;
    // What is marked to go already is part of what there is to give, in every owner's eyes: else
    // each would see less than there is, and promise once more what another has promised.
    const double pledged = scheduler->transferring();
    auto gifts = shard::transfers(all, k);
    for (int to = 0; to < components_.settings.shards(); ++to)
      if (const int n = gifts[static_cast<std::size_t>(to)]; to != k && (n > 0 || pledged > 0))
        components_.shard_controller(k).transfer({to, static_cast<double>(n), waiting(to)});
  }
}

// By tier, how many vcpus of a shard's work that stands nowhere yet it could take.
std::vector<double> PeerGossip::waiting(int shard) const {
  const scheduler::MachineCatalogue& c = components_.cloud_manager->catalogue();
  const state::StateCache& world = components_.state_store->cache();
  std::vector<double> out(c.types.size() * 2, 0);
  for (const auto& [id, j] : world.jobs()) {
    const wire::JobSpec& spec = j.record.spec;
    const int team = components_.settings.team_index(spec.team);
    if (team < 0 || components_.settings.team_shard[static_cast<std::size_t>(team)] != shard)
      continue;
    const auto p = world.progress(j, jobs::kTasksPerChunk);
    if (p.done + p.placed >= spec.tasks) continue;
    const auto need = jobs::Resources::of(spec.cpus, spec.gpus, spec.mem_gb);
    const double amount = static_cast<double>(spec.tasks - p.done - p.placed) * spec.cpus;
    for (std::size_t tier = 0; tier < out.size(); ++tier)
      if (c.accepts(static_cast<int>(tier), spec, need)) out[tier] += amount;
  }
  return out;
}

}  // namespace shunttrail::controller

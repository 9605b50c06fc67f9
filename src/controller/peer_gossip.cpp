#include "controller/peer_gossip.h"

#include <algorithm>
#include <utility>

#include "controller/cloud_manager.h"
#include "controller/membership.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"
#include "jobs/job.h"

namespace shunttrail::controller {
namespace {
constexpr double kHeartbeatIntervalS = 1;
constexpr double kHeartbeatTimeoutS = 2;
/// Time for which a reported load or offer is valid.
constexpr double kLoadValidS = 2.5;
/// Shortest interval between two transfers from one shard: the loads must reflect the first
/// transfer before the second is decided.
constexpr double kTransferIntervalS = 2.5;
/// Largest age of the latest read of the state service at which this node reports that it can
/// serve.
constexpr double kServingReadAgeS = 3;
/// Largest numbers of connections to one other controller, and of requests that wait for one.
constexpr int kMaxConnections = 2;
constexpr int kMaxQueuedRequests = 4;
/// Loads are sent in hundredths of a machine, and are limited to this many machines.
constexpr double kLoadScale = 100;
constexpr double kMaxSentLoad = 1e7;

std::uint32_t encode_load(double machines) {
  return static_cast<std::uint32_t>(std::clamp(machines, 0.0, kMaxSentLoad) * kLoadScale);
}

shard::Load decode_load(const peer::PeerHeartbeat::Load& load) {
  return {load.capacity / kLoadScale, load.entitled / kLoadScale, load.demand / kLoadScale};
}
}  // namespace

PeerGossip::PeerGossip(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop),
      components_(components),
      peer_status_(components.settings.shards()),
      loads_(components.settings.shards()),
      transferred_at_(components.settings.shards(), -1e9),
      started_at_(loop.now()),
      offers_(components.settings.shards()) {
  for (const auto& node : components_.settings.nodes) {
    clients_.emplace_back();
    for (const auto& peer : components_.settings.peers)
      if (peer.node == node)
        clients_.back() =
            std::make_unique<net::Client>(loop, peer.addr, kMaxConnections, kMaxQueuedRequests);
  }
}

void PeerGossip::tick() {
  post([this] {
    if (loop_.now() > next_heartbeat_at_) send_heartbeats();
  });
}

void PeerGossip::handle_heartbeat(net::ExchangePtr exchange) {
  post([this, exchange = std::move(exchange)] { receive_heartbeat(exchange); });
}

void PeerGossip::handle_room_offers(net::ExchangePtr exchange) {
  post([this, exchange = std::move(exchange)] { receive_room_offers(exchange); });
}

bool PeerGossip::another_serves() const {
  return peer::another_serves(peer_status_, started_at_, loop_.now());
}

// ---- heartbeats

void PeerGossip::receive_heartbeat(const net::ExchangePtr& exchange) {
  const int shards = components_.settings.shards();
  const auto heartbeat = peer::decode(exchange->body, shards);
  if (!heartbeat) {
    ++malformed_;
    return exchange->send({400, "{}", 0});
  }
  peer_status_[heartbeat->node] = {loop_.now(), heartbeat->serving};
  bool may_be_replaced = false;
  for (int shard = 0; shard < shards; ++shard)
    may_be_replaced |= record_shard_status(shard, *heartbeat);
  if (may_be_replaced)
    components_.state_store->linearizable_read(
        reply<bool>([this](bool) { components_.membership->reconsider_leadership(); }));
  exchange->send({200, "{}", 0});
}

// Records the sender's load of the shard. Returns true if the sender knows a newer token of a shard
// that this node leads.
bool PeerGossip::record_shard_status(int shard, const peer::PeerHeartbeat& heartbeat) {
  const peer::PeerHeartbeat::Load& load = heartbeat.loads[shard];
  if (load.sender_leads) loads_[shard] = {loop_.now(), decode_load(load)};
  const scheduler::ShardScheduler* scheduler = components_.shard_controller(shard).scheduler();
  return scheduler && heartbeat.tokens[shard] > scheduler->token();
}

void PeerGossip::send_heartbeats() {
  next_heartbeat_at_ = loop_.now() + kHeartbeatIntervalS;
  const std::string body = peer::encode(make_heartbeat());
  for (const auto& client : clients_)
    if (client) client->request("POST", "/peer/beat", body, kHeartbeatTimeoutS, [](net::Result) {});
  rebalance();
  exchange_room_offers();
}

peer::PeerHeartbeat PeerGossip::make_heartbeat() {
  const StateStore& store = *components_.state_store;
  peer::PeerHeartbeat heartbeat;
  heartbeat.node = components_.settings.self;
  heartbeat.serving = store.fresh(kServingReadAgeS) && components_.schema->may_serve();
  for (int shard = 0; shard < components_.settings.shards(); ++shard) {
    heartbeat.tokens.push_back(store.cache().leader(shard).mod_revision);
    heartbeat.loads.push_back(update_own_load(shard));
  }
  return heartbeat;
}

// Computes and records the shard's present load if this node leads the shard. Returns an empty load
// otherwise.
peer::PeerHeartbeat::Load PeerGossip::update_own_load(int shard) {
  const scheduler::ShardScheduler* scheduler = components_.shard_controller(shard).scheduler();
  if (!scheduler) return {};
  const double now = loop_.now();
  loads_[shard] = {now, scheduler->load(now)};
  const shard::Load& load = loads_[shard].load;
  return {encode_load(load.capacity), encode_load(load.entitled), encode_load(load.demand), true};
}

// ---- transfers

// Requests transfers of machines to the shards that lack them, once every shard's load is known.
void PeerGossip::rebalance() {
  const std::vector<shard::Load> loads = recent_loads();
  if (loads.size() < loads_.size()) return;
  for (int shard = 0; shard < components_.settings.shards(); ++shard)
    transfer_machines(shard, loads);
}

// Returns the loads by shard, up to the first shard whose load is not known.
std::vector<shard::Load> PeerGossip::recent_loads() const {
  const double now = loop_.now();
  std::vector<shard::Load> loads;
  for (const auto& report : loads_) {
    if (now - report.at > kLoadValidS) break;
    loads.push_back(report.load);
  }
  return loads;
}

void PeerGossip::transfer_machines(int from, const std::vector<shard::Load>& loads) {
  const scheduler::ShardScheduler* scheduler = components_.shard_controller(from).scheduler();
  const double now = loop_.now();
  if (!scheduler || now < transferred_at_[from] + kTransferIntervalS) return;
  transferred_at_[from] = now;
  // Machines that are already marked for transfer still count in the capacity of this shard, which
  // all leaders compute with. While any machine is marked, the amounts for all other shards are
  // therefore sent again, also an amount of 0: the scheduler then keeps machines marked beyond the
  // amount. Otherwise a leader would see less capacity than there is, and promise machines again
  // that another leader has promised.
  const bool has_pending_transfers = scheduler->transferring() > 0;
  const std::vector<int> transfers = shard::transfers(loads, from);
  for (int to = 0; to < components_.settings.shards(); ++to) {
    const int machines = transfers[static_cast<std::size_t>(to)];
    if (to == from || (machines <= 0 && !has_pending_transfers)) continue;
    components_.shard_controller(from).transfer(
        {to, static_cast<double>(machines), waiting_vcpus_by_tier(to)});
  }
}

// Returns for each tier how many vCPUs of the shard's unplaced work it could take.
std::vector<double> PeerGossip::waiting_vcpus_by_tier(int shard) const {
  const scheduler::MachineCatalogue& catalogue = components_.cloud_manager->catalogue();
  const state::StateCache& cache = components_.state_store->cache();
  const config::Settings& settings = components_.settings;
  std::vector<double> vcpus(catalogue.types.size() * 2, 0);
  for (const auto& [id, job] : cache.jobs()) {
    const wire::JobSpec& spec = job.record.spec;
    const int team = settings.team_index(spec.team);
    if (team < 0 || settings.team_shard[static_cast<std::size_t>(team)] != shard) continue;
    const auto progress = cache.progress(job, jobs::kTasksPerChunk);
    const std::uint64_t placed = progress.done + progress.placed;
    if (placed >= spec.tasks) continue;
    const auto need = jobs::Resources::of(spec.cpus, spec.gpus, spec.mem_gb);
    const double amount = static_cast<double>(spec.tasks - placed) * spec.cpus;
    for (std::size_t tier = 0; tier < vcpus.size(); ++tier)
      if (catalogue.accepts(static_cast<int>(tier), spec, need)) vcpus[tier] += amount;
  }
  return vcpus;
}

// ---- offers of free capacity (docs/delegation.md)

void PeerGossip::exchange_room_offers() {
  if (!components_.tuning.delegation || components_.cloud_manager->catalogue().empty()) return;
  const std::vector<scheduler::RoomOffer> own = own_room_offers();
  send_room_offers(own);
  distribute_room_offers(own);
}

// Returns the offers of all shards that this node leads, limited to the number that one message
// holds.
std::vector<scheduler::RoomOffer> PeerGossip::own_room_offers() const {
  std::vector<scheduler::RoomOffer> own;
  for (const auto& controller : components_.shard_controllers) {
    const scheduler::ShardScheduler* scheduler = controller->scheduler();
    if (!scheduler) continue;
    const auto offers = scheduler->room_offers(loop_.now());
    own.insert(own.end(), offers.begin(), offers.end());
  }
  if (own.size() > peer::kMaxCapacityOffers) own.resize(peer::kMaxCapacityOffers);
  return own;
}

// Sends the offers to the other controllers. An empty message is sent only once; after that,
// earlier offers expire at the receivers.
void PeerGossip::send_room_offers(const std::vector<scheduler::RoomOffer>& offers) {
  if (offers.empty() && !has_sent_offers_) return;
  has_sent_offers_ = !offers.empty();
  const scheduler::MachineCatalogue& catalogue = components_.cloud_manager->catalogue();
  peer::CapacityOffers message;
  message.node = components_.settings.self;
  for (const scheduler::RoomOffer& offer : offers)
    message.offers.push_back({offer.shard,
                              catalogue.types[static_cast<std::size_t>(offer.type)].spec.name,
                              components_.settings.zones[static_cast<std::size_t>(offer.zone)],
                              offer.spot, offer.room.cpus, offer.room.gpus, offer.room.mem});
  const std::string body = peer::encode(message);
  for (const auto& client : clients_)
    if (client) client->request("POST", "/peer/room", body, kHeartbeatTimeoutS, [](net::Result) {});
}

void PeerGossip::receive_room_offers(const net::ExchangePtr& exchange) {
  const auto message = peer::decode_capacity_offers(exchange->body, components_.settings.shards());
  if (!message) {
    ++malformed_;
    return exchange->send({400, "{}", 0});
  }
  const scheduler::MachineCatalogue& catalogue = components_.cloud_manager->catalogue();
  ReceivedOffers& report = offers_[message->node];
  report = {loop_.now(), {}};
  for (const peer::CapacityOffers::Offer& offer : message->offers) {
    const int type = catalogue.type_index(offer.type);
    const int zone = components_.settings.zone_index(offer.zone);
    if (type < 0 || zone < 0) continue;
    report.offers.push_back(
        {offer.shard, type, zone, offer.spot, {offer.cpus, offer.gpus, offer.mem}});
  }
  exchange->send({200, "{}", 0});
}

// Passes to each shard the offers of all other shards, including those that this node leads.
void PeerGossip::distribute_room_offers(const std::vector<scheduler::RoomOffer>& own) {
  std::vector<scheduler::RoomOffer> all = own;
  for (const ReceivedOffers& report : offers_)
    if (loop_.now() - report.at <= kLoadValidS)
      all.insert(all.end(), report.offers.begin(), report.offers.end());
  for (int shard = 0; shard < components_.settings.shards(); ++shard) {
    std::vector<scheduler::RoomOffer> others;
    for (const scheduler::RoomOffer& offer : all)
      if (offer.shard != shard) others.push_back(offer);
    components_.shard_controller(shard).set_room_offers(std::move(others));
  }
}

}  // namespace shunttrail::controller

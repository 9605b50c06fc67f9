#include "controller/worker_api.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "controller/cloud_manager.h"
#include "controller/heartbeat_relay.h"
#include "controller/inventory.h"
#include "controller/schema_manager.h"
#include "wire/codec.h"

namespace shunttrail::controller {

void WorkerApi::handle_heartbeat(net::ExchangePtr exchange, HeartbeatPath path) {
  post([this, exchange = std::move(exchange), path] { route_heartbeat(exchange, path); });
}

// Returns the machine's shard according to the inventory or, if the machine was rented just now and
// is not in the inventory yet, according to the schedulers. None: the machine belongs to no shard.
std::optional<int> WorkerApi::shard_of(const std::string& machine) const {
  if (const auto* record = components_.state_store->cache().machine(machine)) return record->shard;
  std::optional<int> found;
  for (int shard = 0; shard < components_.settings.shards(); ++shard) {
    const scheduler::ShardScheduler* scheduler = components_.shard_controller(shard).scheduler();
    if (scheduler && scheduler->has_machine(machine)) found = shard;
  }
  return found;
}

bool WorkerApi::may_serve_elsewhere(int node) const {
  if (node < 0 || node == components_.settings.self) return false;
  const schema::StoredView& view = components_.state_store->cache().schema();
  const schema::StoredView::Member& member = view.members[static_cast<std::size_t>(node)];
  return member.mod_revision != 0 && schema::serving_refusal(view, member.build).empty();
}

// Returns another node whose build can read the stored state, preferably the shard's leader; empty
// if there is none.
std::string WorkerApi::node_that_may_serve(std::optional<int> shard) const {
  const config::Settings& settings = components_.settings;
  if (shard && *shard < settings.shards()) {
    const int leader = components_.state_store->cache().leader(*shard).node;
    if (may_serve_elsewhere(leader)) return settings.nodes[static_cast<std::size_t>(leader)];
  }
  for (int node = 0; node < settings.shards(); ++node)
    if (may_serve_elsewhere(node)) return settings.nodes[static_cast<std::size_t>(node)];
  return {};
}

void WorkerApi::route_heartbeat(const net::ExchangePtr& exchange, HeartbeatPath path) {
  wire::Heartbeat heartbeat;
  try {
    heartbeat = wire::decode_heartbeat(exchange->body);
  } catch (const wire::Malformed& error) {
    ++malformed_;
    spdlog::info("cannot decode a heartbeat of {} bytes: {}", exchange->body.size(), error.what());
    return exchange->send({400, "{}", 0});
  }
  // A leader that has not read the state service within the staleness bound may have been replaced,
  // and may not know of cancellations. It must let the workers' leases expire.
  if (!components_.state_store->fresh(components_.settings.staleness_bound_s()))
    return exchange->send({503, "{}", 0});
  const std::optional<int> shard = shard_of(heartbeat.machine);
  if (!components_.schema->may_serve())
    return exchange->send({421, wire::encode_redirect(node_that_may_serve(shard)), 0});
  if (shard) return route_to_shard(exchange, std::move(heartbeat), *shard, path);
  if (!components_.cloud_manager->was_recently_deleted(heartbeat.machine)) adopt(heartbeat);
  exchange->send({503, "{}", 0});
}

// Adopts a machine that the inventory does not hold. No task can have been placed on it.
void WorkerApi::adopt(const wire::Heartbeat& heartbeat) const {
  components_.cloud_manager->unknown_machine_reported(heartbeat.machine, heartbeat.addr);
  components_.inventory->adopt_orphan(
      {heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, 0, 0, 0});
}

void WorkerApi::route_to_shard(const net::ExchangePtr& exchange, wire::Heartbeat heartbeat,
                               int shard, HeartbeatPath path) {
  if (shard >= components_.settings.shards()) return exchange->send({503, "{}", 0});
  ShardController& controller = components_.shard_controller(shard);
  // A relayed heartbeat is never relayed again.
  const bool may_relay = path == HeartbeatPath::direct && !controller.scheduler();
  if (!may_relay) return controller.take_heartbeat(exchange, std::move(heartbeat), path);
  components_.heartbeat_relay->route_heartbeat(exchange, heartbeat.machine,
                                               {heartbeat.incarnation, heartbeat.sequence},
                                               components_.settings.zone_index(heartbeat.zone),
                                               components_.state_store->cache().leader(shard).node);
}

}  // namespace shunttrail::controller

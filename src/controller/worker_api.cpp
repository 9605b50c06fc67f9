#include "controller/worker_api.h"

#include <spdlog/spdlog.h>

#include "controller/cloud_manager.h"
#include "controller/heartbeat_relay.h"
#include "controller/inventory.h"
#include "controller/schema_manager.h"
#include "controller/shard_controller.h"
#include "wire/codec.h"

namespace shunttrail::controller {

void WorkerApi::handle_heartbeat(net::ExchangePtr ex, HeartbeatPath path) {
  post([this, ex, path] { route_heartbeat(ex, path); });
}

int WorkerApi::shard_of(const std::string& machine) const {
  if (const auto* m = components_.state_store->cache().machine(machine)) return m->shard;
  // Just rented: a scheduler has it before the inventory does.
  int shard = -1;
  for (int k = 0; k < components_.settings.shards(); ++k)
    if (const auto* d = components_.shard_controller(k).scheduler(); d && d->has_machine(machine))
      shard = k;
  return shard;
}

// A node whose build can do with the state as it stands: the owner of the shard, if it is known.
std::string WorkerApi::can_lead(int shard) const {
  const state::StateCache& world = components_.state_store->cache();
  const schema::StoredView& v = world.schema();
  auto fit = [&](int n) {
    if (n < 0 || n == components_.settings.self) return false;
    const auto& m = v.members[static_cast<std::size_t>(n)];
    return m.mod_revision != 0 && schema::refusal(v, m.build).empty();
  };
  if (shard >= 0 && shard < components_.settings.shards() && fit(world.leader(shard).node))
    return components_.settings.nodes[static_cast<std::size_t>(world.leader(shard).node)];
  for (int n = 0; n < components_.settings.shards(); ++n)
    if (fit(n)) return components_.settings.nodes[static_cast<std::size_t>(n)];
  return {};
}

void WorkerApi::route_heartbeat(const net::ExchangePtr& ex, HeartbeatPath path) {
  wire::Heartbeat r;
  try {
    r = wire::decode_heartbeat(ex->body);
  } catch (const wire::Malformed& e) {
    ++malformed_;
    spdlog::info("garbage report: {}", e.what());
    return ex->send({400, "{}", 0});
  }
  // An owner that has not read the state service for S may have been replaced, and may not know
  // of cancellations: it must let the leases run out.
  if (!components_.state_store->fresh(components_.settings.staleness_bound_s()))
    return ex->send({503, "{}", 0});
  const int shard = shard_of(r.machine);
  if (!components_.schema->may_serve())
    return ex->send({421, wire::encode_redirect(can_lead(shard)), 0});
  if (shard < 0) {
    if (components_.cloud_manager->removed(r.machine)) return ex->send({503, "{}", 0});
    // Nobody's: adopted. Nothing can have been placed on what the inventory does not hold.
    components_.cloud_manager->unknown_machine_reported(r.machine, r.addr);
    components_.inventory->adopt_orphan({r.machine, r.type, r.zone, r.spot, 0, 0, 0});
    return ex->send({503, "{}", 0});
  }
  if (shard >= components_.settings.shards()) return ex->send({503, "{}", 0});
  if (path == HeartbeatPath::direct && !components_.shard_controller(shard).scheduler())
    return components_.heartbeat_relay->route_heartbeat(
        ex, r.machine, {r.incarnation, r.sequence}, components_.settings.zone_index(r.zone),
        components_.state_store->cache().leader(shard).node);
  components_.shard_controller(shard).take_heartbeat(ex, std::move(r), path);
}

}  // namespace shunttrail::controller

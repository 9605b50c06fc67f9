#include "controller/worker_api.h"

#include <spdlog/spdlog.h>

#include "controller/cloud_manager.h"
#include "controller/schema_manager.h"
#include "controller/heartbeat_relay.h"
#include "controller/inventory.h"
#include "controller/shard_controller.h"
#include "wire/codec.h"

namespace shunt::front {

void Workers::report(net::ExchangePtr ex, bool passed_on) {
  post([this, ex, passed_on] { take(ex, passed_on); });
}

int Workers::shard_of(const std::string& machine) const {
  if (const auto* m = parts_.store->world().machine(machine)) return m->shard;
  // Just rented: a desk has it before the roster does.
  int shard = -1;
  for (int k = 0; k < parts_.settings.shards(); ++k)
    if (const auto* d = parts_.runner(k).desk(); d && d->has_machine(machine)) shard = k;
  return shard;
}

// A node whose build can do with the state as it stands: the owner of the shard, if it is known.
std::string Workers::able(int shard) const {
  const state::World& world = parts_.store->world();
  const levels::View& v = world.levels();
  auto fit = [&](int n) {
    if (n < 0 || n == parts_.settings.self) return false;
    const auto& m = v.members[static_cast<std::size_t>(n)];
    return m.stamp != 0 && levels::refusal(v, m.build).empty();
  };
  if (shard >= 0 && shard < parts_.settings.shards() && fit(world.owner(shard).node))
    return parts_.settings.nodes[static_cast<std::size_t>(world.owner(shard).node)];
  for (int n = 0; n < parts_.settings.shards(); ++n)
    if (fit(n)) return parts_.settings.nodes[static_cast<std::size_t>(n)];
  return {};
}

void Workers::take(const net::ExchangePtr& ex, bool passed_on) {
  wire::Report r;
  try {
    r = wire::decode_report(ex->body);
  } catch (const wire::Malformed& e) {
    ++garbage_;
    spdlog::info("garbage report: {}", e.what());
    return ex->send({400, "{}", 0});
  }
  // An owner that has not read the state service for S may have been replaced, and may not know
  // of cancellations: it must let the leases run out.
  if (!parts_.store->fresh(parts_.settings.stale_s())) return ex->send({503, "{}", 0});
  const int shard = shard_of(r.machine);
  if (!parts_.levels->serves()) return ex->send({421, wire::encode_redirect(able(shard)), 0});
  if (shard < 0) {
    if (parts_.cloud->removed(r.machine)) return ex->send({503, "{}", 0});
    // Nobody's: adopted. Nothing can have been placed on what the roster does not hold.
    parts_.cloud->met(r.machine, r.addr);
    parts_.roster->adopt({r.machine, r.type, r.zone, r.spot, 0, 0, 0});
    return ex->send({503, "{}", 0});
  }
  if (shard >= parts_.settings.shards()) return ex->send({503, "{}", 0});
  if (!passed_on && !parts_.runner(shard).desk())
    return parts_.relay->report(ex, r.machine, {r.session, r.seq},
                                parts_.settings.zone_index(r.zone),
                                parts_.store->world().owner(shard).node);
  parts_.runner(shard).report(ex, std::move(r), passed_on);
}

}  // namespace shunt::front

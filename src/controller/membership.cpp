#include "controller/membership.h"

#include <algorithm>

#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
constexpr double kDisplacedGap = 1;  // between registrations over one that is not ours
}  // namespace

Membership::Membership(actor::Loop& loop, ControllerComponents& parts)
    : Actor(loop), components_(parts), election_(parts.settings) {
  components_.state_store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

std::string Membership::tags() const {
  return components_.settings.node + "." + std::to_string(process_id_) + ".";
}
std::string Membership::tag(char letter, std::uint64_t n) const {
  return tags() + letter + std::to_string(n);
}

void Membership::tick() {
  post([this] {
    renew_node_lease();
    observe();
  });
}
void Membership::reconsider() {
  post([this] { observe(); });
}

void Membership::changed(const std::vector<state::Change>& changes) {
  if (std::any_of(changes.begin(), changes.end(), [](const state::Change& c) {
        return c.kind == state::Change::leader || c.kind == state::Change::node;
      }))
    observe();
}

void Membership::observe() {
  if (!components_.state_store->loaded()) return;
  election_.observe(components_.state_store->cache(), loop_.now());
  for (auto& r : components_.shard_controllers) r->reconsider_leadership();
}

void Membership::renew_node_lease() {
  double now = loop_.now();
  if (lease_busy_ || !components_.state_store->loaded()) return;
  // A build that cannot do with the state as it stands is nobody: it is not registered, and if it
  // was, others need not wait for the hold to end.
  if (!components_.schema->may_serve()) return leave();
  if (!node_lease_) {
    lease_busy_ = true;
    components_.state_client.post("/holds", wire::encode_lease(components_.tuning.node_lease_s),
                                  state::RequestPriority::safety,
                                  reply<net::Result>([this](net::Result r) {
                                    lease_busy_ = false;
                                    try {
                                      if (r.status != 200) return;
                                      node_lease_ = wire::decode_lease(r.body);
                                    } catch (const wire::Malformed&) {
                                      return;
                                    }
                                    if (!process_id_) process_id_ = node_lease_;
                                    renew_at_ = loop_.now() + components_.tuning.node_lease_s / 4;
                                    register_node();
                                  }));
    return;
  }
  const std::uint64_t stands =
      components_.state_store->cache().node_revision(components_.settings.self);
  // A former self's registration may come late, and another process may have been started under
  // this name: the key is written anew, but two that do so must not fill the state service.
  if ((!own_key_revision_ || stands != own_key_revision_) && (!stands || now >= displaced_after_)) {
    displaced_after_ = now + kDisplacedGap;
    register_node();
  }
  if (now < renew_at_) return;
  lease_busy_ = true;
  renew_at_ = now + components_.tuning.node_lease_s / 4;
  components_.state_client.post("/holds/" + std::to_string(node_lease_) + "/renew", "",
                                state::RequestPriority::safety,
                                reply<net::Result>([this](net::Result r) {
                                  lease_busy_ = false;
                                  if (r.status == 404) node_lease_ = 0;
                                }));
}

void Membership::leave() {
  const std::string key = state::node_key(components_.settings.node);
  const std::uint64_t mod_revision =
      components_.state_store->cache().node_revision(components_.settings.self);
  if (registering_ || !mod_revision) return;
  registering_ = true;
  own_key_revision_ = 0;
  wire::Transaction t{{{key, mod_revision}}, {{key, std::nullopt, 0}}};
  components_.state_store->resolve_unknown_commit(
      std::move(t), state::RequestPriority::safety, 3,
      reply<state::CommitResult>([this](state::CommitResult) { registering_ = false; }));
}

void Membership::register_node() {
  if (registering_ || !node_lease_) return;
  auto t = schema::enroll(components_.state_store->cache().schema(), components_.settings.node,
                          process_id_, components_.schema->build(), node_lease_);
  if (!t) return;
  registering_ = true;
  components_.state_store->resolve_unknown_commit(
      std::move(*t), state::RequestPriority::safety, 3,
      reply<state::CommitResult>([this](state::CommitResult r) {
        registering_ = false;
        if (r.kind == state::CommitResult::no_lease) node_lease_ = 0;
        if (r.kind != state::CommitResult::applied) return;
        own_key_revision_ = r.revision;
        election_.registered(r.revision, tags());
        observe();
      }));
}

}  // namespace shunttrail::controller

#include "controller/membership.h"

#include <algorithm>

#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunt::front {
namespace {
constexpr double kDisplacedGap = 1;  // between registrations over one that is not ours
}  // namespace

Membership::Membership(actor::Loop& loop, Parts& parts)
    : Actor(loop), parts_(parts), ownership_(parts.settings) {
  parts_.store->listen(reply<Changes>([this](Changes c) { changed(*c); }));
}

std::string Membership::tags() const {
  return parts_.settings.node + "." + std::to_string(boot_) + ".";
}
std::string Membership::tag(char letter, std::uint64_t n) const {
  return tags() + letter + std::to_string(n);
}

void Membership::tick() {
  post([this] {
    renew_hold();
    observe();
  });
}
void Membership::look() {
  post([this] { observe(); });
}

void Membership::changed(const std::vector<state::Change>& changes) {
  if (std::any_of(changes.begin(), changes.end(), [](const state::Change& c) {
        return c.kind == state::Change::owner || c.kind == state::Change::node;
      }))
    observe();
}

void Membership::observe() {
  if (!parts_.store->loaded()) return;
  ownership_.observe(parts_.store->world(), loop_.now());
  for (auto& r : parts_.runners) r->consider();
}

void Membership::renew_hold() {
  double now = loop_.now();
  if (hold_busy_ || !parts_.store->loaded()) return;
  // A build that cannot do with the state as it stands is nobody: it is not registered, and if it
  // was, others need not wait for the hold to end.
  if (!parts_.levels->serves()) return leave();
  if (!hold_) {
    hold_busy_ = true;
    parts_.state.post("/holds", wire::encode_lease(parts_.tuning.hold_s), state::Urgency::safety,
                      reply<net::Result>([this](net::Result r) {
                        hold_busy_ = false;
                        try {
                          if (r.status != 200) return;
                          hold_ = wire::decode_lease(r.body);
                        } catch (const wire::Malformed&) {
                          return;
                        }
                        if (!boot_) boot_ = hold_;
                        renew_at_ = loop_.now() + parts_.tuning.hold_s / 4;
                        register_node();
                      }));
    return;
  }
  const std::uint64_t stands = parts_.store->world().node_stamp(parts_.settings.self);
  // A former self's registration may come late, and another process may have been started under
  // this name: the key is written anew, but two that do so must not fill the state service.
  if ((!mine_ || stands != mine_) && (!stands || now >= displaced_after_)) {
    displaced_after_ = now + kDisplacedGap;
    register_node();
  }
  if (now < renew_at_) return;
  hold_busy_ = true;
  renew_at_ = now + parts_.tuning.hold_s / 4;
  parts_.state.post("/holds/" + std::to_string(hold_) + "/renew", "", state::Urgency::safety,
                    reply<net::Result>([this](net::Result r) {
                      hold_busy_ = false;
                      if (r.status == 404) hold_ = 0;
                    }));
}

void Membership::leave() {
  const std::string key = state::node_key(parts_.settings.node);
  const std::uint64_t stamp = parts_.store->world().node_stamp(parts_.settings.self);
  if (registering_ || !stamp) return;
  registering_ = true;
  mine_ = 0;
  wire::Txn t{{{key, stamp}}, {{key, std::nullopt, 0}}};
  parts_.store->settle(
      std::move(t), state::Urgency::safety, 3,
      reply<state::CommitResult>([this](state::CommitResult) { registering_ = false; }));
}

void Membership::register_node() {
  if (registering_ || !hold_) return;
  auto t = levels::enroll(parts_.store->world().levels(), parts_.settings.node, boot_,
                          parts_.levels->build(), hold_);
  if (!t) return;
  registering_ = true;
  parts_.store->settle(std::move(*t), state::Urgency::safety, 3,
                       reply<state::CommitResult>([this](state::CommitResult r) {
                         registering_ = false;
                         if (r.kind == state::CommitResult::no_lease) hold_ = 0;
                         if (r.kind != state::CommitResult::applied) return;
                         mine_ = r.revision;
                         ownership_.registered(r.revision, tags());
                         observe();
                       }));
}

}  // namespace shunt::front

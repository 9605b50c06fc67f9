#include "controller/membership.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "controller/schema_manager.h"
#include "controller/shard_controller.h"

namespace shunttrail::controller {
namespace {
/// Shortest interval between two registrations that overwrite a node key of another process.
constexpr double kOverwriteIntervalS = 1;
/// Number of times that the lease is renewed within its duration.
constexpr double kRenewalsPerLease = 4;
/// Time after which a commit on the node key that could not be sent is abandoned.
constexpr double kCommitTimeoutS = 3;
}  // namespace

Membership::Membership(actor::Loop& loop, ControllerComponents& components)
    : Actor(loop), components_(components), election_(components.settings) {
  components_.state_store->listen(
      reply<Changes>([this](const Changes& changes) { on_changes(*changes); }));
}

std::string Membership::tag_prefix() const {
  return components_.settings.node + "." + std::to_string(process_id_) + ".";
}

std::string Membership::tag(char letter, std::uint64_t n) const {
  return tag_prefix() + letter + std::to_string(n);
}

void Membership::tick() {
  post([this] {
    keep_registered();
    update_election();
  });
}

void Membership::reconsider_leadership() {
  post([this] { update_election(); });
}

void Membership::on_changes(const std::vector<state::Change>& changes) {
  const bool concerns_leaders =
      std::any_of(changes.begin(), changes.end(), [](const state::Change& change) {
        return change.kind == state::Change::leader || change.kind == state::Change::node;
      });
  if (concerns_leaders) update_election();
}

void Membership::update_election() {
  if (!components_.state_store->loaded()) return;
  election_.observe(components_.state_store->cache(), loop_.now());
  for (const auto& controller : components_.shard_controllers) controller->reconsider_leadership();
}

// ---- the lease

void Membership::keep_registered() {
  if (is_lease_request_in_flight_ || !components_.state_store->loaded()) return;
  // A build that cannot read the stored state must not be registered. If it was registered, its
  // node key is deleted, so that other nodes need not wait for the lease to end.
  if (!components_.schema->may_serve()) return deregister_node();
  if (!lease_id_) return acquire_lease();
  restore_node_key();
  if (loop_.now() >= renew_at_) renew_lease();
}

double Membership::next_renewal() const {
  return loop_.now() + components_.tuning.node_lease_s / kRenewalsPerLease;
}

void Membership::acquire_lease() {
  is_lease_request_in_flight_ = true;
  components_.state_client.post(
      "/holds", wire::encode_lease(components_.tuning.node_lease_s), state::RequestPriority::safety,
      reply<net::Result>([this](const net::Result& response) { on_lease(response); }));
}

void Membership::on_lease(const net::Result& response) {
  is_lease_request_in_flight_ = false;
  if (response.status != 200) return;
  try {
    lease_id_ = wire::decode_lease(response.body);
  } catch (const wire::Malformed&) {
    return;
  }
  if (!process_id_) process_id_ = lease_id_;
  renew_at_ = next_renewal();
  register_node();
}

void Membership::renew_lease() {
  is_lease_request_in_flight_ = true;
  renew_at_ = next_renewal();
  components_.state_client.post("/holds/" + std::to_string(lease_id_) + "/renew", "",
                                state::RequestPriority::safety,
                                reply<net::Result>([this](const net::Result& response) {
                                  is_lease_request_in_flight_ = false;
                                  if (response.status == 404) lease_id_ = 0;
                                }));
}

// ---- the node key

// Writes the node key again if it does not hold this process's registration: a late registration of
// an earlier process of this node may have replaced it, or another process may have been started
// under the same node name. The interval between overwrites keeps two such processes from flooding
// the state service.
void Membership::restore_node_key() {
  const std::uint64_t key_revision =
      components_.state_store->cache().node_revision(components_.settings.self);
  if (registered_key_revision_ && key_revision == registered_key_revision_) return;
  const bool is_taken = key_revision != 0;
  if (is_taken && loop_.now() < may_overwrite_at_) return;
  may_overwrite_at_ = loop_.now() + kOverwriteIntervalS;
  register_node();
}

void Membership::deregister_node() {
  const std::string key = state::node_key(components_.settings.node);
  const std::uint64_t key_revision =
      components_.state_store->cache().node_revision(components_.settings.self);
  if (is_commit_in_flight_ || !key_revision) return;
  is_commit_in_flight_ = true;
  registered_key_revision_ = 0;
  wire::Transaction transaction{{{key, key_revision}}, {{key, std::nullopt, 0}}};
  components_.state_store->commit_or_reread(
      std::move(transaction), state::RequestPriority::safety, kCommitTimeoutS,
      reply<state::CommitResult>(
          [this](const state::CommitResult&) { is_commit_in_flight_ = false; }));
}

void Membership::register_node() {
  if (is_commit_in_flight_ || !lease_id_) return;
  auto transaction =
      schema::enroll(components_.state_store->cache().schema(), components_.settings.node,
                     process_id_, components_.schema->build(), lease_id_);
  if (!transaction) return;
  is_commit_in_flight_ = true;
  components_.state_store->commit_or_reread(
      std::move(*transaction), state::RequestPriority::safety, kCommitTimeoutS,
      reply<state::CommitResult>(
          [this](const state::CommitResult& result) { on_registered(result); }));
}

void Membership::on_registered(const state::CommitResult& result) {
  is_commit_in_flight_ = false;
  if (result.kind == state::CommitResult::no_lease) lease_id_ = 0;
  if (result.kind != state::CommitResult::applied) return;
  registered_key_revision_ = result.revision;
  election_.registered(result.revision, tag_prefix());
  update_election();
}

}  // namespace shunttrail::controller

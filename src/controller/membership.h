/// Membership of this process among the controllers: its lease, its node key, and the election of
/// shard leaders.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "shard/leader_election.h"

namespace shunttrail::controller {

/// Keeps the node key under a lease, so that other nodes see that this process is alive, and
/// notifies the shard controllers when leadership may have changed. The id of its first lease
/// identifies the process.
class Membership : public actor::Actor {
 public:
  Membership(actor::Loop& loop, ControllerComponents& components);
  /// Renews the lease, restores the node key and updates the election. Must be called at short,
  /// regular intervals.
  void tick();
  /// Has the shard controllers check their leadership, after an event that may affect it but is not
  /// shown by the cache.
  void reconsider_leadership();

  [[nodiscard]] const shard::LeaderElection& election() const { return election_; }
  /// Returns an id that no other process has, which is the id of this process's first lease; 0
  /// before it has one.
  [[nodiscard]] std::uint64_t process_id() const { return process_id_; }
  /// Returns the tag of write number `n` of the writer `letter`. The letter distinguishes the
  /// writers of this process, each of which counts its own writes.
  [[nodiscard]] std::string tag(char letter, std::uint64_t n) const;

 private:
  void on_changes(const std::vector<state::Change>& changes);
  void update_election();
  void keep_registered();
  void acquire_lease();
  void on_lease(const net::Result& response);
  void restore_node_key();
  void renew_lease();
  void deregister_node();
  void register_node();
  void on_registered(const state::CommitResult& result);
  [[nodiscard]] std::string tag_prefix() const;
  [[nodiscard]] double next_renewal() const;

  ControllerComponents& components_;
  shard::LeaderElection election_;
  std::uint64_t lease_id_ = 0;  ///< 0: none.
  std::uint64_t process_id_ = 0;
  /// The revision of the node key as this process wrote it; 0 if it has not been written.
  std::uint64_t registered_key_revision_ = 0;
  bool is_lease_request_in_flight_ = false;
  bool is_commit_in_flight_ = false;
  double renew_at_ = 0;
  /// The loop time before which a node key that another process wrote is not overwritten.
  double may_overwrite_at_ = 0;
};

}  // namespace shunttrail::controller

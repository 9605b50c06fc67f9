/// This process among the controllers: its lease, its node key, and who leads which shard.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "shard/leader_election.h"

namespace shunttrail::controller {

/// Keeps the node key under a lease, so that others see that this process lives, and tells the
/// shard controllers when leadership may have changed. The first lease's id names the process.
class Membership : public actor::Actor {
 public:
  Membership(actor::Loop& loop, ControllerComponents& components);
  /// To be called at short, regular intervals.
  void tick();
  /// A leader may have changed in a way that the cache does not show: the shard controllers check.
  void reconsider_leadership();

  [[nodiscard]] const shard::LeaderElection& election() const { return election_; }
  /// An id that no other process has: that of its first lease. 0: none yet.
  [[nodiscard]] std::uint64_t process_id() const { return process_id_; }
  /// A tag for what this process writes; `letter` tells its writers apart, each counts `n`.
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
  /// The revision of the node key as this process wrote it; 0: not written.
  std::uint64_t registered_key_revision_ = 0;
  bool is_lease_request_in_flight_ = false;
  bool is_commit_in_flight_ = false;
  double renew_at_ = 0;
  /// Before that, a node key that another process wrote is not overwritten.
  double may_overwrite_at_ = 0;
};

}  // namespace shunttrail::controller

// This process among the controllers: the hold that shows it alive, its node key, the names that no
// other process has, and who owns which shard.
#pragma once
#include <cstdint>
#include <string>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "shard/leader_election.h"

namespace shunttrail::controller {

class Membership : public actor::Actor {
 public:
  Membership(actor::Loop& loop, ControllerComponents& parts);
  void tick();
  // Somebody has news of an owner that the cache may not have yet: the shard controllers look
  // again.
  void reconsider();

  const shard::LeaderElection& election() const { return election_; }
  // The first hold's id: no other process has it. 0: none yet.
  std::uint64_t process_id() const { return process_id_; }
  // Names what this process writes; `letter` tells its parts apart, `n` is counted by each.
  std::string tag(char letter, std::uint64_t n) const;
  std::string tags() const;  // what all of this process's names begin with

 private:
  void changed(const std::vector<state::Change>& changes);
  void observe();
  void renew_node_lease();
  void register_node();
  void leave();

  ControllerComponents& components_;
  shard::LeaderElection election_;
  std::uint64_t node_lease_ = 0, process_id_ = 0;
  std::uint64_t own_key_revision_ = 0;  // the revision of the node key that this process wrote
  bool lease_busy_ = false, registering_ = false;
  double renew_at_ = 0, displaced_after_ = 0;
};

}  // namespace shunttrail::controller

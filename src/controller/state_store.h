// The state service as this node knows it: the cache, the watch that keeps it up, read barriers,
// and commits. What it says when it fails is met here: whoever commits learns whether the commit
// was carried out, and, if that is not so or not known, can have everything read again first.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "state/client.h"
#include "state/state_cache.h"

namespace shunttrail::controller {

using Changes = std::shared_ptr<const std::vector<state::Change>>;

class StateStore : public actor::Actor {
 public:
  StateStore(actor::Loop& loop, const config::Settings& s, state::Client& client);

  // Told of every change of the cache, in order. Both are reply addresses.
  void listen(std::function<void(Changes)> told) { listeners_.push_back(std::move(told)); }
  void tick();

  const state::StateCache& cache() const { return cache_; }
  bool loaded() const { return loaded_; }
  // The latest successful read began so many seconds ago at the most.
  bool fresh(double within) const;

  // A read that begins after now: whatever was committed before is in the cache once it answers
  // true. Requests that come while one is out share the next one.
  void linearizable_read(std::function<void(bool)> then);
  // A commit that was carried out is in the cache, and listeners are told, before `done` is.
  void commit(wire::Transaction t, state::RequestPriority u, double give_up_s,
              std::function<void(state::CommitResult)> done);
  // A transaction whose answer was lost has been found to have been carried out.
  void apply_commit(const wire::Transaction& t, std::uint64_t revision, std::function<void()> done);
  // As commit; one that was not carried out, or perhaps not, is followed by a read, so that what is
  // decided next is decided by what is there.
  void resolve_unknown_commit(wire::Transaction t, state::RequestPriority u, double give_up_s,
                              std::function<void(state::CommitResult)> done);

 private:
  void reload();
  void load(double began, std::string after, std::uint64_t revision,
            std::vector<wire::Event> items);
  void watch_loop();
  void watched(double began, const net::Result& r);
  void wait_for_read(std::function<void(bool)> then);
  void start_linearizable_read();
  void applied(std::vector<wire::Event> events, std::uint64_t revision);
  void notify(std::vector<state::Change> changes);

  state::Client& client_;
  state::StateCache cache_;
  std::vector<std::function<void(Changes)>> listeners_;
  bool loaded_ = false, loading_ = false, watching_ = false;
  double last_read_at_ = -1e9;  // when the latest successful read of the state service began
  double next_watch_ = 0, watch_fail_ = 0;
  std::vector<std::function<void(bool)>> read_waiters_;
  bool read_armed_ = false, read_in_flight_ = false;
  actor::Timer watch_timer_, read_timer_;
};

}  // namespace shunttrail::controller

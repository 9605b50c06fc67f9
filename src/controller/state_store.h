/// The state service as seen by this node: the cache, the watch that keeps it current, linearizable
/// reads, and commits.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "state/client.h"
#include "state/state_cache.h"

namespace shunttrail::controller {

/// Changes of the cache, shared by all listeners.
using Changes = std::shared_ptr<const std::vector<state::Change>>;

/// Caches all keys under the root prefix and handles failures of the state service. A committer is
/// notified whether its commit was applied. If it was not, or the outcome is unknown, the store can
/// read the state again before it notifies the committer. Callbacks are reply addresses
/// (actor::Actor::reply).
class StateStore : public actor::Actor {
 public:
  StateStore(actor::Loop& loop, const config::Settings& settings, state::Client& client);

  /// Calls `listener` for every change of the cache, in order. Listeners are called in the order in
  /// which they were added.
  void listen(std::function<void(Changes)> listener) { listeners_.push_back(std::move(listener)); }
  /// Starts a full read if the cache is not loaded. Must be called at short, regular intervals.
  void tick();

  [[nodiscard]] const state::StateCache& cache() const { return cache_; }
  /// Returns whether the cache holds all keys and the watch continues from its revision.
  [[nodiscard]] bool loaded() const { return is_loaded_; }
  /// Returns whether the latest successful read began less than `max_age_s` ago.
  [[nodiscard]] bool fresh(double max_age_s) const;

  /// Starts a read after this call. Calls `then` with true once the cache holds everything that was
  /// committed before the call, or with false if the read failed. Requests made while a read is in
  /// flight share the next one.
  void linearizable_read(std::function<void(bool)> then);
  /// Commits a transaction. If it is applied, the cache is updated and the listeners are called
  /// before `done`. A transaction that could not be sent within `timeout_s` is not executed.
  void commit(wire::Transaction transaction, state::RequestPriority priority, double timeout_s,
              std::function<void(state::CommitResult)> done);
  /// Updates the cache by a transaction whose response was lost and that turned out to have been
  /// applied.
  void apply_commit(const wire::Transaction& transaction, std::uint64_t revision,
                    std::function<void()> done);
  /// Commits like `commit`. If the transaction was not applied, or the outcome is unknown, the
  /// state is read again before `done` is called, so that the next decision is based on the stored
  /// state.
  void commit_or_reread(wire::Transaction transaction, state::RequestPriority priority,
                        double timeout_s, std::function<void(state::CommitResult)> done);

 private:
  /// A read of all keys, page by page.
  struct FullRead {
    double began_at = 0;  ///< When the first page was requested, loop time.
    std::string last_key;
    std::uint64_t revision = 0;  ///< Revision of the first page; 0 before it is read.
    std::vector<wire::Event> items;
  };
  void reload();
  void read_page(FullRead read);
  void on_page(FullRead read, const net::Result& response);
  void finish_full_read(const FullRead& read);
  void continue_watch();
  void on_watch_response(double began_at, const net::Result& response);
  void apply_watch(double began_at, const std::string& body);
  void delay_watch(const char* why);
  void enqueue_linearizable_read(std::function<void(bool)> then);
  void schedule_linearizable_read(double delay_s);
  void start_linearizable_read();
  void apply(std::vector<wire::Event> events, std::uint64_t revision);
  void notify(std::vector<state::Change> changes);

  state::Client& client_;
  state::StateCache cache_;
  std::vector<std::function<void(Changes)>> listeners_;
  bool is_loaded_ = false;
  bool is_loading_ = false;
  bool is_watching_ = false;
  /// When the latest successful read of the state service began, loop time.
  double last_read_at_ = -1e9;
  double next_watch_at_ = 0;
  /// Delay after the latest failed watch; it grows with each failure until a watch succeeds.
  double watch_backoff_s_ = 0;
  std::vector<std::function<void(bool)>> read_waiters_;
  bool is_read_scheduled_ = false;
  bool is_read_in_flight_ = false;
  actor::Timer watch_timer_;
  actor::Timer read_timer_;
};

}  // namespace shunttrail::controller

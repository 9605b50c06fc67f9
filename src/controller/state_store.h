/// The state service as this node knows it: the cache, the watch that keeps it current,
/// linearizable reads, and commits.
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

/// Keeps a cache of everything under the root prefix and handles the failures of the state service:
/// whoever commits learns whether the commit was applied and, if that is not so or not known, can
/// have everything read again first. Callbacks are reply addresses (actor::Actor::reply).
class StateStore : public actor::Actor {
 public:
  StateStore(actor::Loop& loop, const config::Settings& settings, state::Client& client);

  /// Tells `listener` of every change of the cache, in order. Listeners are told in the order in
  /// which they were added.
  void listen(std::function<void(Changes)> listener) { listeners_.push_back(std::move(listener)); }
  /// To be called at short, regular intervals.
  void tick();

  [[nodiscard]] const state::StateCache& cache() const { return cache_; }
  /// Whether the cache holds all keys and the watch goes on from there.
  [[nodiscard]] bool loaded() const { return is_loaded_; }
  /// Whether the latest successful read began less than `max_age_s` ago.
  [[nodiscard]] bool fresh(double max_age_s) const;

  /// A read that begins after this call: whatever was committed before is in the cache once `then`
  /// is told true; false: the read failed. Requests that come while one is in flight share the next
  /// one.
  void linearizable_read(std::function<void(bool)> then);
  /// A transaction that was applied is in the cache, and listeners are told, before `done` is. One
  /// that could not be sent within `timeout_s` is not executed.
  void commit(wire::Transaction transaction, state::RequestPriority priority, double timeout_s,
              std::function<void(state::CommitResult)> done);
  /// Takes over a transaction whose response was lost and that was found to have been applied.
  void apply_commit(const wire::Transaction& transaction, std::uint64_t revision,
                    std::function<void()> done);
  /// As `commit`; a transaction that was not applied, or perhaps not, is followed by a read, so
  /// that what is decided next is decided by what is stored then.
  void commit_or_reread(wire::Transaction transaction, state::RequestPriority priority,
                        double timeout_s, std::function<void(state::CommitResult)> done);

 private:
  /// A read of all keys, page by page.
  struct FullRead {
    double began_at = 0;  ///< When the first page was asked for, loop time.
    std::string last_key;
    std::uint64_t revision = 0;  ///< Of the first page; 0: not read yet.
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
  /// After the latest failed watch; grows with each until one succeeds.
  double watch_backoff_s_ = 0;
  std::vector<std::function<void(bool)>> read_waiters_;
  bool is_read_scheduled_ = false;
  bool is_read_in_flight_ = false;
  actor::Timer watch_timer_;
  actor::Timer read_timer_;
};

}  // namespace shunttrail::controller

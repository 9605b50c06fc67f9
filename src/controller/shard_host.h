/// The interface between a shard controller and its parts.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "actor/loop.h"
#include "controller/components.h"
#include "controller/state_store.h"
#include "scheduler/shard_scheduler.h"

namespace shunttrail::controller {

/// The interface that a shard controller offers its parts: leadership, transactions, heartbeat
/// responses and direct commands. All parts run in the shard controller's actor, so none of them
/// needs a lock. They request each other's work only through this interface.
class ShardHost {
 public:
  ShardHost(actor::Actor& actor, const actor::Loop& loop, ControllerComponents& components,
            int shard)
      : actor_(actor), clock_(loop), components_(components), shard_(shard) {}
  ShardHost(const ShardHost&) = delete;
  ShardHost& operator=(const ShardHost&) = delete;
  virtual ~ShardHost() = default;

  /// Returns the scheduler; null if this node does not lead the shard.
  [[nodiscard]] virtual scheduler::ShardScheduler* active_scheduler() = 0;
  /// Creates the scheduler from the cached state, under the fencing token `token`.
  virtual void open_scheduler(std::uint64_t token) = 0;
  /// Destroys the scheduler and discards everything that was to be sent on its behalf.
  virtual void close_scheduler() = 0;
  /// Checks whether leadership has to be taken, kept, handed over or given up.
  virtual void decide_leadership() = 0;
  /// Schedules the next scheduling pass, unless one is scheduled already.
  virtual void schedule_pass() = 0;
  /// Sends the direct commands and the transaction that may be sent now.
  virtual void send_pending_work() = 0;
  /// Answers the held heartbeats that need not wait any longer.
  virtual void flush_held_responses() = 0;
  /// Returns the tag for the next write on this shard's behalf.
  [[nodiscard]] virtual std::string next_tag() = 0;

  /// Returns whether the active scheduler is the one that was opened under this token. Responses to
  /// requests of an earlier scheduler must be ignored.
  [[nodiscard]] bool is_current(std::uint64_t opened_under) {
    const scheduler::ShardScheduler* scheduler = active_scheduler();
    return scheduler && scheduler->opened_under() == opened_under;
  }
  /// Returns whether the state service was read recently enough to start tasks (docs/safety.md).
  [[nodiscard]] bool may_start_tasks() const {
    return components_.state_store->fresh(kStartMaxReadAgeS);
  }
  [[nodiscard]] double now() const { return clock_.now(); }
  [[nodiscard]] int shard() const { return shard_; }
  [[nodiscard]] ControllerComponents& components() { return components_; }
  [[nodiscard]] const config::Settings& settings() const { return components_.settings; }
  [[nodiscard]] const StateStore& state_store() const { return *components_.state_store; }

  /// Returns a reply address (actor::Actor::reply) of the shard controller's actor.
  template <class... Values, class Handler>
  std::function<void(Values...)> reply(Handler handler) {
    return actor_.reply<Values...>(std::move(handler));
  }

 private:
  static constexpr double kStartMaxReadAgeS = 5;

  actor::Actor& actor_;
  const actor::Loop& clock_;
  ControllerComponents& components_;
  const int shard_;
};

}  // namespace shunttrail::controller

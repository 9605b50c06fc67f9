// The event loop of the process, timers on it, and the mailboxes of its actors.
#pragma once
#include <event2/event.h>

#include <deque>
#include <functional>
#include <memory>

namespace shunttrail::actor {

struct EventFree {
  void operator()(event* resource) const { event_free(resource); }
  void operator()(event_base* resource) const { event_base_free(resource); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

/// This machine's steady clock, in seconds.
[[nodiscard]] double steady_now();
/// This machine's time of day, in seconds since 1970.
[[nodiscard]] double wall_now();

/// What drives a loop instead of this machine's clocks and events: a simulated host
// (src/simulation).
class EventSource {
 public:
  using Handle = std::shared_ptr<void>;  ///< released: the event does not run any more
  virtual ~EventSource() = default;
  virtual double now() const = 0;
  virtual double wall_now() const = 0;
  /// Runs `fn` once, as an event of its own, so many seconds from now.
  [[nodiscard]] virtual Handle schedule(double seconds, std::function<void()> fn) = 0;
};

/// The event loop of a process, or of a simulated host.
class Loop {
 public:
  /// Throws std::runtime_error.
  Loop();
  explicit Loop(EventSource& simulated) : simulated_(&simulated) {}
  [[nodiscard]] event_base* base() const { return base_.get(); }
  /// Null: the loop runs on this machine's clocks.
  [[nodiscard]] EventSource* simulated() const { return simulated_; }
  [[nodiscard]] double now() const { return simulated_ ? simulated_->now() : steady_now(); }
  [[nodiscard]] double wall_now() const {
    return simulated_ ? simulated_->wall_now() : actor::wall_now();
  }
  /// Runs this machine's events, until stop(). Not for a simulated host.
  void run() { event_base_dispatch(base_.get()); }
  void stop() { event_base_loopbreak(base_.get()); }

 private:
  EventSource* simulated_ = nullptr;
  std::unique_ptr<event_base, EventFree> base_;
};

/// Calls a function once, some time after it was set; setting it again replaces the time.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> fn);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void after(double seconds);
  void cancel();

 private:
  std::function<void()> fn_;
  EventSource* simulated_;
  EventSource::Handle handle_;
  EventPtr event_;
};

/// An actor owns its state. Others leave messages in its mailbox; they are handled one at a time,
/// in order, so no handler ever runs inside another one.
class Actor {
 public:
  using Message = std::function<void()>;
  explicit Actor(Loop& loop);
  virtual ~Actor() = default;
  Actor(const Actor&) = delete;
  Actor& operator=(const Actor&) = delete;
  void post(Message message);
  /// How many messages wait.
  [[nodiscard]] std::size_t waiting() const { return mailbox_.size(); }

  /// A reply address: calling it leaves a message here that runs `handler` with the values.
  template <class... Values, class Handler>
  std::function<void(Values...)> reply(Handler handler) {
    return [this, handler = std::move(handler)](Values... values) {
      post([handler, ... values = std::move(values)]() mutable { handler(std::move(values)...); });
    };
  }

 protected:
  Loop& loop_;

 private:
  void schedule_processing();
  void process_mailbox();
  std::deque<Message> mailbox_;
  EventPtr processing_event_;
  EventSource::Handle scheduled_processing_;
};

}  // namespace shunttrail::actor

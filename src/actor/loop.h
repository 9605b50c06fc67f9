// The event loop of a process, its timers, and the mailboxes of its actors.
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

/// Returns the time of this machine's steady clock, in seconds.
[[nodiscard]] double steady_now();
/// Returns this machine's time of day, in seconds since 1970.
[[nodiscard]] double wall_now();

/// The source of time and events of a simulated host (src/simulation). It drives a loop in place of
/// this machine's clocks and events.
class EventSource {
 public:
  using Handle = std::shared_ptr<void>;  ///< releasing it cancels the event
  virtual ~EventSource() = default;
  virtual double now() const = 0;
  virtual double wall_now() const = 0;
  /// Runs `fn` once, as an event of its own, `seconds` from now.
  [[nodiscard]] virtual Handle schedule(double seconds, std::function<void()> fn) = 0;
};

/// The event loop of a process, or of a simulated host.
class Loop {
 public:
  /// Makes a loop on this machine's clocks. Throws std::runtime_error on failure.
  Loop();
  explicit Loop(EventSource& simulated) : simulated_(&simulated) {}
  [[nodiscard]] event_base* base() const { return base_.get(); }
  /// Returns the simulated host, or null if the loop runs on this machine's clocks.
  [[nodiscard]] EventSource* simulated() const { return simulated_; }
  [[nodiscard]] double now() const { return simulated_ ? simulated_->now() : steady_now(); }
  [[nodiscard]] double wall_now() const {
    return simulated_ ? simulated_->wall_now() : actor::wall_now();
  }
  /// Runs events until stop() is called. Must not be called for a simulated host.
  void run() { event_base_dispatch(base_.get()); }
  void stop() { event_base_loopbreak(base_.get()); }

 private:
  EventSource* simulated_ = nullptr;
  std::unique_ptr<event_base, EventFree> base_;
};

/// Calls a function once, after a delay. Setting the timer again replaces the delay.
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

/// Base of objects that share no state. Others post messages to the mailbox of an actor. Messages
/// are handled one at a time, in order, so no handler ever runs inside another one.
class Actor {
 public:
  using Message = std::function<void()>;
  explicit Actor(Loop& loop);
  virtual ~Actor() = default;
  Actor(const Actor&) = delete;
  Actor& operator=(const Actor&) = delete;
  void post(Message message);
  /// Returns the number of messages in the mailbox.
  [[nodiscard]] std::size_t waiting() const { return mailbox_.size(); }

  /// Returns a function that posts a message to this actor. The message runs `handler` with the
  /// function's arguments.
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

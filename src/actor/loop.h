// The event loop of the process, timers on it, and the mailboxes of its actors.
#pragma once
#include <event2/event.h>

#include <deque>
#include <functional>
#include <memory>

namespace shunttrail::actor {

struct EventFree {
  void operator()(event* e) const { event_free(e); }
  void operator()(event_base* b) const { event_base_free(b); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

double steady_now();  // this machine's steady clock, seconds
double wall_now();    // its time of day, seconds

// What drives a loop instead of this machine's clocks and events: a simulated host
// (src/simulation).
class EventSource {
 public:
  using Handle = std::shared_ptr<void>;  // released: it does not run any more
  virtual ~EventSource() = default;
  virtual double now() const = 0;
  virtual double wall_now() const = 0;
  // Runs `fn` once, in a turn of its own, so many seconds from now.
  [[nodiscard]] virtual Handle schedule(double seconds, std::function<void()> fn) = 0;
};

class Loop {
 public:
  Loop();
  explicit Loop(EventSource& simulated) : simulated_(&simulated) {}
  event_base* base() const { return base_.get(); }
  EventSource* simulated() const { return simulated_; }  // none: this machine's clocks
  double now() const { return simulated_ ? simulated_->now() : steady_now(); }
  double wall_now() const { return simulated_ ? simulated_->wall_now() : actor::wall_now(); }
  // Of this machine's events alone.
  void run() { event_base_dispatch(base_.get()); }
  void stop() { event_base_loopbreak(base_.get()); }

 private:
  EventSource* simulated_ = nullptr;
  std::unique_ptr<event_base, EventFree> base_;
};

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

// An actor owns its state. Others leave messages in its mailbox; they are taken one at a time,
// in order, each in a turn of its own, so no handler ever runs inside another one.
class Actor {
 public:
  using Message = std::function<void()>;
  explicit Actor(Loop& loop);
  virtual ~Actor() = default;
  Actor(const Actor&) = delete;
  Actor& operator=(const Actor&) = delete;
  void post(Message m);
  std::size_t waiting() const { return mailbox_.size(); }

  // A reply address: calling it leaves a message here that runs `fn` with the values.
  template <class... A, class F>
  std::function<void(A...)> reply(F fn) {
    return [this, fn = std::move(fn)](A... a) {
      post([fn, ... a = std::move(a)]() mutable { fn(std::move(a)...); });
    };
  }

 protected:
  Loop& loop_;

 private:
  void wake();
  void drain();
  std::deque<Message> mailbox_;
  EventPtr wake_;
  EventSource::Handle wake_pending_;
};

}  // namespace shunttrail::actor

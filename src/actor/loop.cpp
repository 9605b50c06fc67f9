#include "actor/loop.h"

#include <chrono>
#include <cmath>
#include <stdexcept>

namespace shunttrail::actor {
namespace {
struct ConfigFree {
  void operator()(event_config* c) const { event_config_free(c); }
};
timeval to_timeval(double s) {
  if (s < 0) s = 0;
  timeval tv;
  tv.tv_sec = static_cast<time_t>(s);
  tv.tv_usec = static_cast<suseconds_t>((s - std::floor(s)) * 1e6);
  return tv;
}
double seconds(auto d) { return std::chrono::duration<double>(d).count(); }
}  // namespace

Loop::Loop() {
  std::unique_ptr<event_config, ConfigFree> cfg(event_config_new());
  event_config_set_flag(cfg.get(), EVENT_BASE_FLAG_NOLOCK);
  base_.reset(event_base_new_with_config(cfg.get()));
  if (!base_) throw std::runtime_error("cannot make an event loop");
}

double steady_now() { return seconds(std::chrono::steady_clock::now().time_since_epoch()); }
double wall_now() { return seconds(std::chrono::system_clock::now().time_since_epoch()); }

Timer::Timer(Loop& loop, std::function<void()> fn)
    : fn_(std::move(fn)), simulated_(loop.simulated()) {
  if (simulated_) return;
  event_.reset(event_new(
      loop.base(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fn_(); }, this));
}
void Timer::after(double s) {
  if (simulated_) {
    handle_ = simulated_->schedule(s, fn_);
    return;
  }
  timeval tv = to_timeval(s);
  event_add(event_.get(), &tv);
}
void Timer::cancel() {
  handle_.reset();
  if (event_) event_del(event_.get());
}

Actor::Actor(Loop& loop) : loop_(loop) {
  if (loop.simulated()) return;
  wake_.reset(event_new(
      loop.base(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Actor*>(self)->drain(); }, this));
}
void Actor::post(Message m) {
  mailbox_.push_back(std::move(m));
  if (mailbox_.size() == 1) wake();
}
void Actor::wake() {
  if (auto* c = loop_.simulated())
    wake_pending_ = c->schedule(0, [this] { drain(); });
  else
    event_active(wake_.get(), EV_TIMEOUT, 0);
}
void Actor::drain() {
  // Only what is here now: what these messages post runs in the next turn.
  for (std::size_t n = mailbox_.size(); n > 0; --n) {
    Message m = std::move(mailbox_.front());
    m();
    mailbox_.pop_front();
  }
  if (!mailbox_.empty()) wake();
}

}  // namespace shunttrail::actor

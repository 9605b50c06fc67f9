#include "actor/loop.h"

#include <chrono>
#include <cmath>
#include <stdexcept>

namespace shunttrail::actor {
namespace {

struct ConfigFree {
  void operator()(event_config* resource) const { event_config_free(resource); }
};

// Converts a delay; negative delays count as 0.
timeval to_timeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval time;
  time.tv_sec = static_cast<time_t>(seconds);
  time.tv_usec = static_cast<suseconds_t>((seconds - std::floor(seconds)) * 1e6);
  return time;
}

double to_seconds(auto duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

Loop::Loop() {
  std::unique_ptr<event_config, ConfigFree> config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_NOLOCK);
  base_.reset(event_base_new_with_config(config.get()));
  if (!base_)
    throw std::runtime_error("cannot create an event loop: event_base_new_with_config failed");
}

double steady_now() { return to_seconds(std::chrono::steady_clock::now().time_since_epoch()); }
double wall_now() { return to_seconds(std::chrono::system_clock::now().time_since_epoch()); }

Timer::Timer(Loop& loop, std::function<void()> fn)
    : fn_(std::move(fn)), simulated_(loop.simulated()) {
  if (simulated_) return;
  event_.reset(event_new(
      loop.base(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fn_(); }, this));
}

void Timer::after(double seconds) {
  if (simulated_) {
    handle_ = simulated_->schedule(seconds, fn_);
    return;
  }
  const timeval delay = to_timeval(seconds);
  event_add(event_.get(), &delay);
}

void Timer::cancel() {
  handle_.reset();
  if (event_) event_del(event_.get());
}

Actor::Actor(Loop& loop) : loop_(loop) {
  if (loop.simulated()) return;
  processing_event_.reset(event_new(
      loop.base(), -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<Actor*>(self)->process_mailbox(); },
      this));
}

void Actor::post(Message message) {
  mailbox_.push_back(std::move(message));
  if (mailbox_.size() == 1) schedule_processing();
}

void Actor::schedule_processing() {
  if (EventSource* simulated = loop_.simulated())
    scheduled_processing_ = simulated->schedule(0, [this] { process_mailbox(); });
  else
    event_active(processing_event_.get(), EV_TIMEOUT, 0);
}

void Actor::process_mailbox() {
  // Handles only the messages that are present now. Messages that these post are handled in the
  // next event.
  for (std::size_t left = mailbox_.size(); left > 0; --left) {
    Message message = std::move(mailbox_.front());
    message();
    mailbox_.pop_front();
  }
  if (!mailbox_.empty()) schedule_processing();
}

}  // namespace shunttrail::actor

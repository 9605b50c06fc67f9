#include "simulation/simulation.h"

#include <cmath>
#include <utility>

namespace shunttrail::simulation {
namespace {
constexpr double kStartWallClockS = 1.7e9;  // Unix time at the simulation's start
constexpr double kTimerResolutionS = 1e-6;
constexpr double kClockErrorRadianS = 70;  // a wall clock's error is a cosine of time / 70 s
std::string text(const config::Endpoint& at) { return at.host + ":" + std::to_string(at.port); }
}  // namespace

// ---- the digest of the history

void Simulation::record(Step step, const Request& request) {
  digest_.add_number(static_cast<std::uint64_t>(step));
  digest_.add_double(now_);
  digest_.add_text(request.from);
  digest_.add_text(request.to);
  digest_.add_text(request.method);
  digest_.add_text(request.path);
  digest_.add_text(request.body);
}

void Simulation::record_answer(const Request& request, const net::Answer& answer) {
  digest_.add_number(static_cast<std::uint64_t>(Step::answer_given));
  digest_.add_double(now_);
  digest_.add_text(request.from);
  digest_.add_text(request.to);
  digest_.add_number(static_cast<std::uint64_t>(answer.status));
  digest_.add_text(answer.body);
  digest_.add_double(answer.retry_after_s);
}

// ---- time

void Simulation::at(double when, std::function<void()> fn) {
  push({when,
        ++event_count_,
        std::make_shared<std::function<void()>>(std::move(fn)),
        {},
        {},
        false});
}

void Simulation::run_until(double at) {
  while (!queue_.empty() && queue_.top().at <= at) {
    Event e = queue_.top();
    queue_.pop();
    now_ = std::max(now_, e.at);
    if (e.on_host) {
      auto process = e.process.lock();
      if (!process) continue;
      if (process->frozen_until <= now_ && !process->pending_freezes.empty() &&
          --process->pending_freezes.front().turns_left == 0) {
        process->frozen_since = now_;
        process->frozen_until = now_ + process->pending_freezes.front().for_s;
        process->pending_freezes.pop_front();
      }
      if (process->frozen_until > now_) {
        postpone(std::move(e), *process);
        continue;
      }
    }
    auto fn = e.owned_callback ? std::move(e.owned_callback) : e.weak_callback.lock();
    if (fn) (*fn)();
  }
  now_ = std::max(now_, at);
}

void Simulation::postpone(Event e, const Host::ProcessState& process) {
  // Events that were due when the freeze began are posts of the host's own mailboxes and keep their
  // order. Later ones get a random place, which may be among the events that the host's first turns
  // post.
  if (process.shuffle_after_freeze && e.at > process.frozen_since)
    e.sequence = rng_() % (2 * event_count_ + 2);
  e.at = process.frozen_until;
  push(std::move(e));
}

void Simulation::send_copy(Request request, const config::Endpoint& to) {
  deliver(std::make_shared<Request>(std::move(request)), text(to), [](const net::Answer&) {});
}

Host::Host(Simulation& sim, std::string name, double rate, double wall_clock_error_s)
    : sim_(sim), name_(std::move(name)), rate_(rate), wall_clock_error_s_(wall_clock_error_s) {}
Host::~Host() {
  std::erase_if(sim_.listeners_, [&](const auto& entry) { return entry.second.host == this; });
}

void Host::freeze(double until) {
  if (process_->frozen_until <= sim_.now()) process_->frozen_since = sim_.now();
  process_->frozen_until = std::max(process_->frozen_until, until);
}
double Host::now() const { return 1000 + sim_.now() * rate_; }
double Host::wall_now() const {
  return kStartWallClockS + sim_.now() +
         wall_clock_error_s_ * std::cos(sim_.now() / kClockErrorRadianS);
}

actor::EventSource::Handle Host::schedule(double seconds, std::function<void()> fn) {
  auto callback = std::make_shared<std::function<void()>>(std::move(fn));
  // A real timer has a limited resolution. Without it, a timer whose delay is lost in rounding
  // would fire at the same simulated time, find nothing due and be set again endlessly.
  const double wait = seconds > 0 ? std::max(seconds, kTimerResolutionS) : 0;
  sim_.push({sim_.now() + wait / rate_, ++sim_.event_count_, {}, callback, process_, true});
  return callback;
}

// ---- the network

net::Network::Handle Host::listen(const config::Endpoint& at, Handler handler) {
  auto shared_handler = std::make_shared<Handler>(std::move(handler));
  sim_.listeners_[text(at)] = {this, shared_handler};
  return shared_handler;
}

// Delivers the request to the listener at this address at the time of arrival. Without a listener
// it is answered like a refused connection.
void Simulation::deliver(const std::shared_ptr<Request>& request, const std::string& to,
                         const std::function<void(const net::Answer&)>& on_answer) {
  auto reply = [this, request, on_answer](const net::Answer& a) {
    record_answer(*request, a);
    on_answer(a);
  };
  auto listener = listeners_.find(to);
  if (listener == listeners_.end() || listener->second.handler.expired()) return reply({0, "", 0});
  const auto handler = listener->second.handler;
  const std::weak_ptr<Host::ProcessState> process = listener->second.host->process_;
  // The exchange is created in an event of the receiving host, so that a host which is frozen or
  // ends before has not seen the request.
  auto handle_request =
      std::make_shared<std::function<void()>>([this, handler, request, reply, process] {
        auto h = handler.lock();
        if (!h) return;
        record(Step::request_delivered, *request);
        (*h)(std::make_shared<net::Exchange>(request->method, request->path, request->body,
                                             [reply, process](const net::Answer& a) {
                                               if (!process.expired()) reply(a);
                                             }));
      });
  push({now_, ++event_count_, handle_request, {}, process, true});
}

net::Network::Handle Host::request(const config::Endpoint& to, std::string method, std::string path,
                                   std::string body, double timeout_s,
                                   std::function<void(net::Result)> done) {
  Simulation& sim = sim_;
  auto request = std::make_shared<Request>(
      Request{name_, to.host, std::move(method), std::move(path), std::move(body)});
  sim.record(Simulation::Step::request_sent, *request);
  const Delivery delivery = sim.delivery_of ? sim.delivery_of(*request) : Delivery{};
  // The callback gets the answer or the time-out, whichever comes first, and neither once the
  // sender has released the handle.
  struct PendingRequest {
    std::function<void(net::Result)> done;
    EventSource::Handle timeout;
  };
  auto pending = std::make_shared<PendingRequest>();
  pending->done = std::move(done);
  std::weak_ptr<PendingRequest> weak_pending = pending;
  auto finish = [weak_pending](net::Result result) {
    if (auto f = weak_pending.lock())
      if (auto then = std::exchange(f->done, nullptr)) then(std::move(result));
  };
  pending->timeout = schedule(timeout_s, [finish] { finish({}); });
  // Answers arrive in an event of the sending host.
  auto arrive = [&sim, finish, process = std::weak_ptr<ProcessState>(process_)](
                    double after, net::Result result) {
    auto fn = std::make_shared<std::function<void()>>(
        [finish, result = std::move(result)] { finish(result); });
    sim.push({sim.now() + after, ++sim.event_count_, fn, {}, process, true});
  };
  if (delivery.refusal_status) {
    const net::Answer refusal{delivery.refusal_status, "{\"error\":\"trouble\"}", 0};
    sim.record_answer(*request, refusal);
    arrive(delivery.request_delay_s + delivery.answer_delay_s,
           {refusal.status, refusal.body, refusal.retry_after_s});
    return pending;
  }
  auto reply = [&sim, request, delivery, arrive](const net::Answer& a) {
    const double extra_delay_s = sim.answer_delay_of ? sim.answer_delay_of(*request) : 0;
    if (!delivery.answer_arrives || extra_delay_s < 0) return;
    arrive(delivery.answer_delay_s + extra_delay_s, {a.status, a.body, std::ceil(a.retry_after_s)});
  };
  const std::string address = text(to);
  if (delivery.arrives)
    sim.at(sim.now() + delivery.request_delay_s,
           [&sim, request, address, reply] { sim.deliver(request, address, reply); });
  for (double copy_delay_s : delivery.copy_delays_s)
    sim.at(sim.now() + delivery.request_delay_s + copy_delay_s,
           [&sim, request, address] { sim.deliver(request, address, [](const net::Answer&) {}); });
  return pending;
}

}  // namespace shunttrail::simulation

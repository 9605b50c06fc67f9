#include "simulation/simulation.h"

#include <cmath>
#include <utility>

namespace shunttrail::simulation {
namespace {
constexpr double kMidnight = 1.7e9;  // the time of day at the simulation's start
constexpr double kTimerStep = 1e-6;
constexpr double kWander = 70;  // seconds in which a time of day wanders by a radian
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
  push({when, ++orders_, std::make_shared<std::function<void()>>(std::move(fn)), {}, {}, false});
}

void Simulation::run_until(double at) {
  while (!queue_.empty() && queue_.top().at <= at) {
    Event e = queue_.top();
    queue_.pop();
    now_ = std::max(now_, e.at);
    if (e.on_host) {
      auto life = e.life.lock();
      if (!life) continue;
      if (life->frozen_until <= now_ && !life->next.empty() &&
          --life->next.front().turns_left == 0) {
        life->frozen_since = now_;
        life->frozen_until = now_ + life->next.front().for_s;
        life->next.pop_front();
      }
      if (life->frozen_until > now_) {
        hold(std::move(e), *life);
        continue;
      }
    }
    auto fn = e.own ? std::move(e.own) : e.asked.lock();
    if (fn) (*fn)();
  }
  now_ = std::max(now_, at);
}

void Simulation::hold(Event e, const Host::Life& life) {
  // What waits in the host's own mailboxes keeps its order. The rest draws one, among what its
  // first turns post too.
  if (life.any_order && e.at > life.frozen_since) e.order = rng_() % (2 * orders_ + 2);
  e.at = life.frozen_until;
  push(std::move(e));
}

void Simulation::send_copy(Request r, const config::Endpoint& to) {
  deliver(std::make_shared<Request>(std::move(r)), text(to), [](const net::Answer&) {});
}

Host::Host(Simulation& sim, std::string name, double rate, double wall_clock_error_s)
    : sim_(sim), name_(std::move(name)), rate_(rate), wall_clock_error_s_(wall_clock_error_s) {}
Host::~Host() {
  std::erase_if(sim_.listeners_, [&](const auto& l) { return l.second.host == this; });
}

void Host::freeze(double until) {
  if (life_->frozen_until <= sim_.now()) life_->frozen_since = sim_.now();
  life_->frozen_until = std::max(life_->frozen_until, until);
}
double Host::now() const { return 1000 + sim_.now() * rate_; }
double Host::wall_now() const {
  return kMidnight + sim_.now() + wall_clock_error_s_ * std::cos(sim_.now() / kWander);
}

actor::EventSource::Handle Host::schedule(double seconds, std::function<void()> fn) {
  auto kept = std::make_shared<std::function<void()>>(std::move(fn));
  // As fine as a real timer is: what is due by less than a rounding must not come at this very
  // moment, find nothing due, and be set again for ever.
  const double wait = seconds > 0 ? std::max(seconds, kTimerStep) : 0;
  sim_.push({sim_.now() + wait / rate_, ++sim_.orders_, {}, kept, life_, true});
  return kept;
}

// ---- the network

net::Network::Handle Host::listen(const config::Endpoint& at, Handler handler) {
  auto kept = std::make_shared<Handler>(std::move(handler));
  sim_.listeners_[text(at)] = {this, kept};
  return kept;
}

// To whoever listens there when it arrives; nobody: as a connection that is refused.
void Simulation::deliver(const std::shared_ptr<Request>& r, const std::string& to,
                         const std::function<void(const net::Answer&)>& pass_on) {
  auto reply = [this, r, pass_on](const net::Answer& a) {
    record_answer(*r, a);
    pass_on(a);
  };
  auto l = listeners_.find(to);
  if (l == listeners_.end() || l->second.handler.expired()) return reply({0, "", 0});
  const auto handler = l->second.handler;
  const std::weak_ptr<Host::Life> life = l->second.host->life_;
  // The exchange is made in the host's own turn: one that is frozen, or ends before, has seen
  // nothing.
  auto take = std::make_shared<std::function<void()>>([this, handler, r, reply, life] {
    auto h = handler.lock();
    if (!h) return;
    record(Step::request_delivered, *r);
    (*h)(std::make_shared<net::Exchange>(r->method, r->path, r->body,
                                         [reply, life](const net::Answer& a) {
                                           if (!life.expired()) reply(a);
                                         }));
  });
  push({now_, ++orders_, take, {}, life, true});
}

net::Network::Handle Host::request(const config::Endpoint& to, std::string method, std::string path,
                                   std::string body, double timeout_s,
                                   std::function<void(net::Result)> done) {
  Simulation& sim = sim_;
  auto r = std::make_shared<Request>(
      Request{name_, to.host, std::move(method), std::move(path), std::move(body)});
  sim.record(Simulation::Step::request_sent, *r);
  const Delivery way = sim.way ? sim.way(*r) : Delivery{};
  // The first of an answer and the timeout; neither once the asker has let go.
  struct Flight {
    std::function<void(net::Result)> done;
    EventSource::Handle timeout;
  };
  auto flight = std::make_shared<Flight>();
  flight->done = std::move(done);
  std::weak_ptr<Flight> in_flight = flight;
  auto finish = [in_flight](net::Result result) {
    if (auto f = in_flight.lock())
      if (auto then = std::exchange(f->done, nullptr)) then(std::move(result));
  };
  flight->timeout = schedule(timeout_s, [finish] { finish({}); });
  // Answers come in the asker's own turns.
  auto arrive = [&sim, finish, life = std::weak_ptr<Life>(life_)](double after,
                                                                  net::Result result) {
    auto fn = std::make_shared<std::function<void()>>(
        [finish, result = std::move(result)] { finish(result); });
    sim.push({sim.now() + after, ++sim.orders_, fn, {}, life, true});
  };
  if (way.refused) {
    const net::Answer refusal{way.refused, "{\"error\":\"trouble\"}", 0};
    sim.record_answer(*r, refusal);
    arrive(way.there_s + way.back_s, {refusal.status, refusal.body, refusal.retry_after_s});
    return flight;
  }
  auto reply = [&sim, r, way, arrive](const net::Answer& a) {
    const double held = sim.hold_answer ? sim.hold_answer(*r) : 0;
    if (!way.answered || held < 0) return;
    arrive(way.back_s + held, {a.status, a.body, std::ceil(a.retry_after_s)});
  };
  const std::string address = text(to);
  if (way.arrives)
    sim.at(sim.now() + way.there_s, [&sim, r, address, reply] { sim.deliver(r, address, reply); });
  for (double later : way.copies_s)
    sim.at(sim.now() + way.there_s + later,
           [&sim, r, address] { sim.deliver(r, address, [](const net::Answer&) {}); });
  return flight;
}

}  // namespace shunttrail::simulation

/// Simulated time, hosts and the network between them, on which the product's own actors run. A
/// simulation is one process without sockets or a real clock; the same seed gives the same history.
/// All times are in seconds. Not thread-safe.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "net/http.h"
#include "simulation/history_digest.h"

namespace shunttrail::simulation {

class Simulation;

/// One simulated process, from its start to its end. Actors that are created on its loop run on
/// simulated time and must not outlive the host.
class Host final : public actor::EventSource, public net::Network {
 public:
  /// `rate`: seconds that its steady clock advances in one simulated second (PROTOCOL: the rates of
  /// two hosts differ by 0.05% at most). `wall_clock_error_s`: largest error of its wall clock,
  /// fast or slow; the error varies with time.
  Host(Simulation& sim, std::string name, double rate = 1, double wall_clock_error_s = 0);
  ~Host() override;
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  actor::Loop& loop() { return loop_; }
  /// Freezes the process until this simulated time; events that fall due meanwhile are postponed.
  void freeze(double until);
  /// Freezes the process for `for_s` seconds once it has handled `turns` more events. The turns of
  /// a further call are counted from the end of that freeze.
  void freeze_after(std::uint64_t turns, double for_s) {
    process_->pending_freezes.push_back({turns, for_s});
  }
  /// Makes the process handle the events that a freeze has postponed in random order.
  void shuffle_after_freezes() { process_->shuffle_after_freeze = true; }

  double now() const override;
  double wall_now() const override;
  EventSource::Handle schedule(double seconds, std::function<void()> fn) override;
  net::Network::Handle listen(const config::Endpoint& at, Handler handler) override;
  net::Network::Handle request(const config::Endpoint& to, std::string method, std::string path,
                               std::string body, double timeout_s,
                               std::function<void(net::Result)> done) override;

 private:
  friend class Simulation;
  struct Freeze {
    std::uint64_t turns_left;
    double for_s;
  };
  struct ProcessState {
    double frozen_since = 0, frozen_until = 0;
    std::deque<Freeze> pending_freezes;
    bool shuffle_after_freeze = false;
  };
  Simulation& sim_;
  const std::string name_;
  const double rate_, wall_clock_error_s_;
  std::shared_ptr<ProcessState> process_ = std::make_shared<ProcessState>();
  actor::Loop loop_{*this};
};

/// Path of the requests with direct commands (PROTOCOL, "Controller nodes -> workers").
inline constexpr const char* kDirectCommandPath = "/orders";

/// An HTTP request in transit.
struct Request {
  std::string from, to;  ///< host names
  std::string method, path, body;
};

/// How the network delivers a request and its answer.
struct Delivery {
  double request_delay_s = 0.002, answer_delay_s = 0.002;  ///< one-way delays
  bool arrives = true;         ///< if false, the request is lost and gets no answer
  bool answer_arrives = true;  ///< if false, the answer is lost
  int refusal_status = 0;      ///< HTTP status of a refusal by the network; 0: not refused
  /// A copy of the request is delivered this much later for each element; answers to copies are
  /// dropped.
  std::vector<double> copy_delays_s{};
};

/// Handles the events of all hosts in the order of simulated time.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : rng_(seed) {}
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  double now() const { return now_; }
  std::mt19937& rng() { return rng_; }
  /// Returns a uniformly distributed random number.
  double draw(double from, double to) { return std::uniform_real_distribution<>(from, to)(rng_); }
  /// Returns true with this probability.
  bool chance(double share) { return draw(0, 1) < share; }

  /// Handles all events up to this time.
  void run_until(double at);
  /// Schedules an event of the simulation itself, outside of every host.
  void at(double when, std::function<void()> fn);
  /// Delivers a copy of a request at once and drops the answer.
  void send_copy(Request request, const config::Endpoint& to);

  /// Returns a hash of the history so far: of every request, when it is sent and when the receiving
  /// host handles it, and of every answer when it is given, each with its simulated time, in order.
  /// Equal digests mean equal histories. Computing it draws no random numbers and reorders no
  /// events.
  std::uint64_t digest() const { return digest_.value(); }

  /// Called when a request is sent. If it is empty, every request is delivered by default.
  std::function<Delivery(const Request&)> delivery_of;
  /// Called when a request is answered; returns the additional delay of the answer in seconds, or a
  /// negative number if the answer is lost.
  std::function<double(const Request&)> answer_delay_of;

 private:
  friend class Host;
  struct Event {
    double at;
    std::uint64_t sequence;
    // One of the two is set. The second is owned by the holder of the handle, who cancels the event
    // by releasing it.
    std::shared_ptr<std::function<void()>> owned_callback;
    std::weak_ptr<std::function<void()>> weak_callback;
    std::weak_ptr<Host::ProcessState> process;  // the event is dropped once the process has ended
    bool on_host;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  struct Listener {
    Host* host;
    std::weak_ptr<net::Network::Handler> handler;
  };
  // The kinds of records in the digest. The values are hashed: changing one changes every digest.
  enum class Step : std::uint64_t { request_sent = 1, request_delivered = 2, answer_given = 3 };
  void record(Step step, const Request& request);
  void record_answer(const Request& request, const net::Answer& answer);
  void push(Event e) { queue_.push(std::move(e)); }
  void postpone(Event e, const Host::ProcessState& process);
  void deliver(const std::shared_ptr<Request>& request, const std::string& to,
               const std::function<void(const net::Answer&)>& on_answer);

  double now_ = 0;
  std::uint64_t event_count_ = 0;
  std::mt19937 rng_;
  HistoryDigest digest_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::map<std::string, Listener> listeners_;  // by address
};

}  // namespace shunttrail::simulation

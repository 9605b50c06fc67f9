/// Simulated time, hosts and the network between them, for the library's own actors: one process,
/// no sockets, no wall clock, and with the same seed the same history. All times are seconds. Not
/// thread-safe.
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

/// One life of one process: its loop drives whatever is made on it, and ends with it.
class Host final : public actor::EventSource, public net::Network {
 public:
  /// `rate`: seconds that its steady clock shows in one second (PROTOCOL: apart by 0.05% at most).
  /// `wall_off_s`: the time of day wanders by so much to either side.
  Host(Simulation& sim, std::string name, double rate = 1, double wall_clock_error_s = 0);
  ~Host() override;
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  const std::string& name() const { return name_; }
  actor::Loop& loop() { return loop_; }
  /// The process stands still until this moment of the simulation; what comes meanwhile waits.
  void freeze(double until);
  /// The process stands still for so long after so many more of its turns (events that its loop
  /// handles); the turns of a further call count from when it goes on.
  void freeze_after(std::uint64_t turns, double for_s) {
    process_->pending_freezes.push_back({turns, for_s});
  }
  /// After a freeze, what has come meanwhile and what fell due is handled in a drawn order.
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

/// An HTTP request on its way.
struct Request {
  std::string from, to;  ///< hosts' names
  std::string method, path, body;
};

/// What becomes of a request on its way.
struct Delivery {
  double request_delay_s = 0.002, answer_delay_s = 0.002;  ///< one-way delays
  bool arrives = true;                  ///< otherwise it is lost, and nobody answers
  bool answer_arrives = true;           ///< otherwise the answer is lost
  int refusal_status = 0;               ///< status by which it is refused on the way; 0: it is not
  std::vector<double> copy_delays_s{};  ///< delivered again so much later, without an answer
};

/// The order of all events.
class Simulation {
 public:
  explicit Simulation(unsigned seed) : rng_(seed) {}
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  double now() const { return now_; }
  std::mt19937& rng() { return rng_; }
  /// Uniformly distributed.
  double draw(double from, double to) { return std::uniform_real_distribution<>(from, to)(rng_); }
  /// True with this probability.
  bool chance(double share) { return draw(0, 1) < share; }

  /// Handles all events up to this moment.
  void run_until(double at);
  /// Schedules an event of the simulation itself, outside of every host.
  void at(double when, std::function<void()> fn);
  /// A request that nobody waits for: a copy from somewhere on the way.
  void send_copy(Request r, const config::Endpoint& to);

  /// Identifies the history so far: a hash of every request, as it is sent and as the receiving
  /// host takes it, and of every answer as it is given, each with its simulated time, in order.
  /// Equal digests mean the same history; keeping it draws no random numbers and reorders no
  /// events.
  std::uint64_t digest() const { return digest_.value(); }

  /// Asked as each request leaves. None: nothing is ever lost.
  std::function<Delivery(const Request&)> delivery_of;
  /// Asked as its answer leaves: seconds that it is held up, or below 0: it is lost.
  std::function<double(const Request&)> answer_delay_of;

 private:
  friend class Host;
  struct Event {
    double at;
    std::uint64_t sequence;
    std::shared_ptr<std::function<void()>> owned_callback;  // kept by the event, or
    std::weak_ptr<std::function<void()>> weak_callback;     // by whoever holds the handle
    std::weak_ptr<Host::ProcessState> process;
    bool on_host;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  struct Listener {
    Host* host;
    std::weak_ptr<net::Network::Handler> handler;
  };
  // What is recorded in the digest. The values are hashed: changing one changes every digest.
  enum class Step : std::uint64_t { request_sent = 1, request_delivered = 2, answer_given = 3 };
  void record(Step step, const Request& request);
  void record_answer(const Request& request, const net::Answer& answer);
  void push(Event e) { queue_.push(std::move(e)); }
  void postpone(Event e, const Host::ProcessState& process);
  void deliver(const std::shared_ptr<Request>& r, const std::string& to,
               const std::function<void(const net::Answer&)>& on_answer);

  double now_ = 0;
  std::uint64_t event_count_ = 0;
  std::mt19937 rng_;
  HistoryDigest digest_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::map<std::string, Listener> listeners_;  // by address
};

}  // namespace shunttrail::simulation

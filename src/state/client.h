// Talks to the state service, within this node's share of its rates, safety first.
#pragma once
#include <array>
#include <deque>
#include <functional>

#include "actor/loop.h"
#include "net/http.h"
#include "state/limits.h"
#include "wire/codec.h"

namespace shunttrail::state {

// Tokens that refill at `rate`, up to so many seconds' worth.
class TokenBucket {
 public:
  TokenBucket(double rate, double now, double burst_s = 1)
      : burst_s_(burst_s),
        rate_(rate),
        cap_(std::max(rate * burst_s, 1.0)),
        level_(cap_),
        at_(now) {}
  void refill(double now);
  double level() const { return level_; }
  double cap() const { return cap_; }
  double rate() const { return rate_; }
  void take(double n) { level_ -= n; }
  // From now on; what was saved up under a higher rate is gone with it.
  void set_rate(double rate);
  double wait_for(double n) const { return level_ >= n ? 0 : (n - level_) / rate_; }

 private:
  double burst_s_, rate_, cap_, level_, at_;
};

inline constexpr std::size_t kLeastWrites = 2;  // a job's end, and a move, take as many

enum class RequestPriority { safety, user, work, sweep };
inline constexpr int kRequestPriorities = 4;

struct CommitResult {
  // unknown: no answer; it may have been carried out, or may yet be.
  // too_large: refused for its size; sent unchanged it would be refused again.
  enum Kind {
    applied,
    precondition_failed,
    not_executed,
    unknown,
    no_lease,
    too_large
  } kind = unknown;
  std::uint64_t revision = 0;
  std::vector<std::string> failed;
};

class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& s);
  // Ownership of the callback's thread of control: each runs in the asker's mailbox if it was
  // made by Actor::reply.
  void commit(wire::Transaction t, RequestPriority u, double give_up_s,
              std::function<void(CommitResult)> done);
  void watch(std::uint64_t after, int block_ms, std::function<void(net::Result)> done);
  void get(std::string path, RequestPriority u, std::function<void(net::Result)> done);
  void post(std::string path, std::string body, RequestPriority u,
            std::function<void(net::Result)> done);
  std::size_t queued() const;
  // So many changes could be sent at once, as far as the rates go. What is made only then holds all
  // that has come up to that moment: made earlier, it would wait here while more comes.
  std::size_t writes_now(RequestPriority u);
  const Limits& limits() const { return limits_; }
  // What the rates have cost: calls answered 429, seconds that calls have waited, writes a second
  // at present.
  struct Cost {
    std::uint64_t refused = 0;
    double waited_s = 0, write_rate = 0;
  };
  Cost cost() const;
  using actor::Actor::post;

 private:
  struct Call {
    const char* method;
    std::string path, body;
    double writes = 0, timeout_s = 2, give_up_at = 0;
    std::function<void(net::Result)> done;
    double since = 0;
  };
  void call(const char* method, std::string path, std::string body, RequestPriority u,
            std::function<void(net::Result)> done);
  void submit(Call c, RequestPriority u);
  void pump();
  void refill(double now);
  void heard(int status, bool wrote);

  net::Client http_, watch_http_;
  Limits limits_;
  AdaptiveRate request_pace_, write_pace_;
  TokenBucket requests_, writes_;
  double waited_s_ = 0;
  std::array<std::deque<Call>, kRequestPriorities> queues_;
  actor::Timer timer_;
};

}  // namespace shunttrail::state

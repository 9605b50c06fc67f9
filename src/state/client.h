/// @file
/// The client of the state service. It keeps within this node's share of the service's rates, and
/// sends the most urgent requests first.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "actor/loop.h"
#include "net/http.h"
#include "state/limits.h"
#include "wire/codec.h"

namespace shunttrail::state {

/// Tokens that are refilled at a rate, up to so many seconds' worth, but at least one. Times are
/// seconds of the steady clock.
class TokenBucket {
 public:
  /// A full bucket. `rate`: tokens a second; `burst_s`: how many seconds' worth it holds.
  TokenBucket(double rate, double now, double burst_s = 1)
      : burst_s_(burst_s),
        rate_(rate),
        cap_(std::max(rate * burst_s, 1.0)),
        level_(cap_),
        refilled_at_(now) {}
  /// Adds what has come in since the last refill.
  void refill(double now);
  /// The tokens that are there; negative after more were taken than there were.
  [[nodiscard]] double level() const { return level_; }
  /// The most that it can hold.
  [[nodiscard]] double cap() const { return cap_; }
  [[nodiscard]] double rate() const { return rate_; }
  void take(double tokens) { level_ -= tokens; }
  /// Changes the rate. Tokens above the new cap are lost.
  void set_rate(double rate);
  /// Seconds until there are this many tokens.
  [[nodiscard]] double wait_for(double tokens) const {
    return level_ >= tokens ? 0 : (tokens - level_) / rate_;
  }

 private:
  double burst_s_;
  double rate_;
  double cap_;
  double level_;
  double refilled_at_;
};

/// Changes of the smallest useful transaction: the end of a job, or the move of a task.
inline constexpr std::size_t kMinTransactionWrites = 2;

/// The order in which requests are sent, the most urgent first.
enum class RequestPriority { safety, user, work, sweep };
/// The number of request priorities.
inline constexpr int kRequestPriorities = 4;

/// What became of a commit.
struct CommitResult {
  enum Kind {
    applied,
    precondition_failed,
    not_executed,  ///< it was not applied and will not be
    unknown,       ///< no answer: it may have been applied, or may yet be
    no_lease,      ///< the lease that it names has ended
    too_large      ///< refused for its size: unchanged it would be refused again
  } kind = unknown;
  std::uint64_t revision = 0;       ///< applied: at which it was
  std::vector<std::string> failed;  ///< precondition_failed: the keys
};

/// The client. Callbacks run on this actor; one made by `Actor::reply` runs on the caller's.
class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& settings);

  /// Sends a transaction, unless it has waited for `give_up_s` seconds before it could be sent.
  void commit(wire::Transaction transaction, RequestPriority priority, double give_up_s,
              std::function<void(CommitResult)> done);
  /// Watches the root prefix for changes after a revision; see wire::watch_path.
  void watch(std::uint64_t after, int block_ms, std::function<void(net::Result)> done);
  /// Sends a GET request.
  void get(std::string path, RequestPriority priority, std::function<void(net::Result)> done);
  /// Sends a POST request that changes no key.
  void post(std::string path, std::string body, RequestPriority priority,
            std::function<void(net::Result)> done);
  using actor::Actor::post;

  /// The number of requests that wait.
  [[nodiscard]] std::size_t queued() const;
  /// How many changes could be sent at once at this priority, as far as the rates go. A transaction
  /// that is built only then has everything that came up to that moment; built earlier, it would
  /// wait here while more comes.
  std::size_t available_writes(RequestPriority priority);
  [[nodiscard]] const Limits& limits() const { return limits_; }

  /// What the rates have cost.
  struct Cost {
    std::uint64_t refused = 0;  ///< requests answered 429
    double waited_s = 0;        ///< seconds that requests have waited, in all
    double write_rate = 0;      ///< changes a second at present
  };
  [[nodiscard]] Cost cost() const;

 private:
  struct Call {
    const char* method = nullptr;
    std::string path;
    std::string body;
    double writes = 0;
    double timeout_s = 0;
    double give_up_at = 0;
    std::function<void(net::Result)> done;
    double queued_at = 0;
  };
  void call(const char* method, std::string path, std::string body, RequestPriority priority,
            std::function<void(net::Result)> done);
  void submit(Call call, RequestPriority priority);
  /// Sends what may be sent now, and sets the timer for the next request.
  void pump();
  /// Seconds until the rates allow the call.
  [[nodiscard]] double wait_for(const Call& call, RequestPriority priority) const;
  void send(Call call, double now);
  void refill(double now);
  /// Lowers a rate if the answer is 429.
  void on_status(int status, bool is_commit);
  CommitResult read_commit_answer(const net::Result& answer, std::size_t longest_value,
                                  std::size_t ops);

  net::Client http_;
  net::Client watch_http_;
  Limits limits_;
  AdaptiveRate request_rate_;
  AdaptiveRate write_rate_;
  TokenBucket request_tokens_;
  TokenBucket write_tokens_;
  double waited_s_ = 0;
  std::array<std::deque<Call>, kRequestPriorities> queues_;
  actor::Timer timer_;
};

}  // namespace shunttrail::state

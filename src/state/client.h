/// @file
/// The client of the state service. It stays within this node's share of the service's rate limits
/// and sends the most urgent requests first.
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

/// A token bucket for rate limiting. It holds the tokens of `burst_s` seconds, but at least one.
/// Times are seconds of the steady clock.
class TokenBucket {
 public:
  /// Creates a full bucket. `rate` is in tokens a second; `burst_s` is the bucket's size in
  /// seconds.
  TokenBucket(double rate, double now, double burst_s = 1)
      : burst_s_(burst_s),
        rate_(rate),
        cap_(std::max(rate * burst_s, 1.0)),
        level_(cap_),
        refilled_at_(now) {}
  /// Adds the tokens that have accrued since the last refill.
  void refill(double now);
  /// Returns the available tokens; negative if more were taken than were available.
  [[nodiscard]] double level() const { return level_; }
  /// Returns the largest number of tokens that the bucket holds.
  [[nodiscard]] double cap() const { return cap_; }
  [[nodiscard]] double rate() const { return rate_; }
  void take(double tokens) { level_ -= tokens; }
  /// Changes the rate. Tokens above the new cap are lost.
  void set_rate(double rate);
  /// Returns the seconds until this many tokens are available.
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

/// The number of operations of the smallest useful transaction: the end of a job, or the move of a
/// task.
inline constexpr std::size_t kMinTransactionWrites = 2;

/// The order in which requests are sent, the most urgent first.
enum class RequestPriority { safety, user, work, sweep };
/// The number of request priorities.
inline constexpr int kRequestPriorities = 4;

/// The outcome of a commit.
struct CommitResult {
  enum Kind {
    applied,
    precondition_failed,
    not_executed,  ///< the transaction was not applied and will not be
    unknown,       ///< no response: it may have been applied, or may still be
    no_lease,      ///< a lease that the transaction refers to has ended
    too_large      ///< rejected for its size: an unchanged retry fails as well
  } kind = unknown;
  std::uint64_t revision = 0;       ///< applied: the revision of the commit
  std::vector<std::string> failed;  ///< precondition_failed: the keys whose revisions differ
};

/// The client of the state service. Callbacks run on this actor; a callback made by `Actor::reply`
/// runs on the caller's actor.
class Client : public actor::Actor {
 public:
  Client(actor::Loop& loop, const config::Settings& settings);

  /// Sends a transaction. If the rate limits delay it by more than `give_up_s` seconds, it is
  /// dropped.
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

  /// Returns the number of requests queued for the rate limits.
  [[nodiscard]] std::size_t queued() const;
  /// Returns how many operations the rates allow to be sent at once at this priority. A caller that
  /// builds its transaction only then includes every change made up to that moment; a transaction
  /// built earlier would wait in the queue while further changes come.
  std::size_t available_writes(RequestPriority priority);
  [[nodiscard]] const Limits& limits() const { return limits_; }

  /// The effects of the rate limits on this node's requests.
  struct Cost {
    std::uint64_t refused = 0;  ///< requests answered 429
    double waited_s = 0;        ///< total seconds that requests have been queued
    double write_rate = 0;      ///< current rate of operations a second
  };
  [[nodiscard]] Cost cost() const;

 private:
  /// The shortest time between two log lines about rejected transactions.
  static constexpr double kRejectionLogIntervalS = 1;
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
  /// Sends the requests that the rates allow, and sets the timer for the next one.
  void pump();
  /// Returns the seconds until the rates allow the call.
  [[nodiscard]] double wait_for(const Call& call, RequestPriority priority) const;
  void send(Call call, double now);
  void refill(double now);
  /// Lowers a rate if the response is 429.
  void on_status(int status, bool is_commit);
  /// The size of a transaction, as far as the limits concern it.
  struct TransactionSize {
    std::size_t ops = 0;
    std::size_t longest_value = 0;  ///< in bytes
    std::string longest_key;        ///< the key that has this value
  };
  static TransactionSize size_of(const wire::Transaction& transaction);
  CommitResult read_commit_answer(const net::Result& answer, const TransactionSize& size);
  /// Lowers the limits after a transaction was rejected as too large, and logs the rejection.
  void on_too_large(const TransactionSize& size);

  net::Client http_;
  net::Client watch_http_;
  Limits limits_;
  AdaptiveRate request_rate_;
  AdaptiveRate write_rate_;
  TokenBucket request_tokens_;
  TokenBucket write_tokens_;
  double waited_s_ = 0;
  double rejection_logged_at_ = -kRejectionLogIntervalS;
  std::array<std::deque<Call>, kRequestPriorities> queues_;
  actor::Timer timer_;
};

}  // namespace shunttrail::state

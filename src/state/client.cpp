#include "state/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "state/keys.h"

namespace shunttrail::state {

namespace {

// The number of connections, and of requests that wait for one. Both follow from the rate limits in
// the settings, not from the number of machines: of 80 requests a second, this node's share of a
// third is 27 a second, which 12 connections carry even if each request takes 0.4 s. Watches block,
// so they have connections of their own.
constexpr std::size_t kConnections = 12;
constexpr std::size_t kMaxOutstanding = 256;
constexpr std::size_t kWatchConnections = 2;
constexpr std::size_t kMaxOutstandingWatches = 4;
/// The number of requests of each priority that may wait for the rate limits: at 27 a second, the
/// requests of 19 s, and each gives up sooner. The number of machines adds few requests: a shard
/// has one transaction in flight at a time, and so has the inventory.
constexpr std::size_t kMaxQueued = 512;
constexpr double kTimeoutS = 2;
/// How long a request that changes no key may wait to be sent.
constexpr double kMaxSendDelayS = 3;
/// The shortest timer. A shorter one could fire before the bucket has the token.
constexpr double kMinTimerS = 0.002;
/// The share of a bucket's capacity that each step of priority reserves for more urgent requests.
constexpr double kReservedRequestShare = 0.1;
constexpr double kReservedWriteShare = 0.12;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

/// Returns the tokens that a request of this priority leaves to more urgent requests.
double reserved_tokens(const TokenBucket& bucket, RequestPriority priority, double share) {
  return bucket.cap() * share * static_cast<int>(priority);
}

}  // namespace

void TokenBucket::refill(double now) {
  if (now > refilled_at_) level_ = std::min(cap(), level_ + (now - refilled_at_) * rate_);
  refilled_at_ = std::max(refilled_at_, now);
}

void TokenBucket::set_rate(double rate) {
  if (rate == rate_) return;
  rate_ = rate;
  cap_ = std::max(rate * burst_s_, 1.0);
  level_ = std::min(level_, cap_);
}

Client::Client(actor::Loop& loop, const config::Settings& settings)
    : Actor(loop),
      http_(loop, settings.state, kConnections, kMaxOutstanding),
      watch_http_(loop, settings.state, kWatchConnections, kMaxOutstandingWatches),
      limits_(settings),
      request_rate_(settings.state_limits.rps / settings.shards(),
                    settings.state_next.rps / settings.shards()),
      write_rate_(settings.state_limits.write_rps / settings.shards(),
                  settings.state_next.write_rps / settings.shards()),
      request_tokens_(settings.state_limits.rps / settings.shards(), loop.now()),
      write_tokens_(settings.state_limits.write_rps / settings.shards(), loop.now()),
      timer_(loop, [this] { pump(); }) {}

std::size_t Client::queued() const {
  std::size_t total = 0;
  for (const auto& queue : queues_) total += queue.size();
  return total;
}

Client::Cost Client::cost() const {
  return {request_rate_.refusals() + write_rate_.refusals(), waited_s_, write_tokens_.rate()};
}

void Client::refill(double now) {
  request_tokens_.refill(now);
  write_tokens_.refill(now);
  request_tokens_.set_rate(request_rate_.rate(now));
  write_tokens_.set_rate(write_rate_.rate(now));
}

void Client::on_status(int status, bool is_commit) {
  if (status != kStatusTooManyRequests) return;
  const double now = loop_.now();
  // A commit may have exceeded either rate. The write rate is usually far lower, so it is reduced.
  (is_commit ? write_rate_ : request_rate_).refused(now);
  refill(now);
}

std::size_t Client::available_writes(RequestPriority priority) {
  refill(loop_.now());
  for (int p = 0; p <= static_cast<int>(priority); ++p)
    if (!queues_[static_cast<std::size_t>(p)].empty()) return 0;
  const double requests = 1 + reserved_tokens(request_tokens_, priority, kReservedRequestShare);
  if (request_tokens_.wait_for(std::min(requests, request_tokens_.cap())) > 0) return 0;
  // A bucket that is full at a low rate may hold less than the smallest transaction, which would
  // otherwise never be sent.
  if (write_tokens_.level() >= write_tokens_.cap())
    return std::max(kMinTransactionWrites, static_cast<std::size_t>(write_tokens_.cap()));
  const double available =
      write_tokens_.level() - reserved_tokens(write_tokens_, priority, kReservedWriteShare);
  return static_cast<std::size_t>(std::max(0.0, available));
}

void Client::submit(Call call, RequestPriority priority) {
  auto& queue = queues_[static_cast<std::size_t>(priority)];
  if (queue.size() >= kMaxQueued) {
    // The request was not sent, so the result is the same as a rejection by the service.
    call.done({kStatusUnavailable, {}});
    return;
  }
  call.queued_at = loop_.now();
  queue.push_back(std::move(call));
  pump();
}

double Client::wait_for(const Call& call, RequestPriority priority) const {
  const double requests = 1 + reserved_tokens(request_tokens_, priority, kReservedRequestShare);
  const double wait_s = request_tokens_.wait_for(std::min(requests, request_tokens_.cap()));
  if (call.writes <= 0) return wait_s;
  const double writes = call.writes + reserved_tokens(write_tokens_, priority, kReservedWriteShare);
  return std::max(wait_s, write_tokens_.wait_for(std::min(writes, write_tokens_.cap())));
}

void Client::pump() {
  const double now = loop_.now();
  refill(now);
  for (int p = 0; p < kRequestPriorities; ++p) {
    auto& queue = queues_[static_cast<std::size_t>(p)];
    while (!queue.empty()) {
      const bool is_late = queue.front().give_up_at < now;
      if (!is_late) {
        const double wait_s = wait_for(queue.front(), static_cast<RequestPriority>(p));
        if (wait_s > 0) {
          timer_.after(std::max(wait_s, kMinTimerS));
          return;
        }
      }
      Call call = std::move(queue.front());
      queue.pop_front();
      if (is_late)
        call.done({kStatusUnavailable, {}});
      else
        send(std::move(call), now);
    }
  }
}

void Client::send(Call call, double now) {
  request_tokens_.take(1);
  write_tokens_.take(call.writes);
  waited_s_ += now - call.queued_at;
  http_.request(call.method, std::move(call.path), std::move(call.body), call.timeout_s,
                std::move(call.done));
}

Client::TransactionSize Client::size_of(const wire::Transaction& transaction) {
  TransactionSize size;
  size.ops = transaction.ops.size();
  for (const auto& op : transaction.ops) {
    if (!op.value || op.value->size() <= size.longest_value) continue;
    size.longest_value = op.value->size();
    size.longest_key = op.key;
  }
  return size;
}

void Client::on_too_large(const TransactionSize& size) {
  const TransactionLimits before = limits_.transaction_limits();
  limits_.too_large(size.longest_value, size.ops);
  const double now = loop_.now();
  if (now - rejection_logged_at_ < kRejectionLogIntervalS) return;
  rejection_logged_at_ = now;
  const TransactionLimits after = limits_.transaction_limits();
  spdlog::warn(
      "the state service rejected a transaction as too large: {} operations (limit {}, now {}), "
      "longest value {} bytes, of {} (limit {}, now {})",
      size.ops, before.ops, after.ops, size.longest_value, size.longest_key, before.value_bytes,
      after.value_bytes);
}

CommitResult Client::read_commit_answer(const net::Result& answer, const TransactionSize& size) {
  CommitResult out;
  try {
    if (answer.status == kStatusOk) {
      out.revision = wire::decode_revision(answer.body);
      out.kind = CommitResult::applied;
    } else if (answer.status == kStatusConflict) {
      out.failed = wire::decode_failed(answer.body);
      out.kind = CommitResult::precondition_failed;
    } else if (answer.status == kStatusUnavailable || answer.status == kStatusTooManyRequests) {
      out.kind = CommitResult::not_executed;
    } else if (answer.status == kStatusBadRequest) {
      out.kind =
          wire::lease_missing(answer.body) ? CommitResult::no_lease : CommitResult::too_large;
      if (out.kind == CommitResult::too_large) on_too_large(size);
    }
  } catch (const wire::Malformed&) {
    out.kind = CommitResult::unknown;
  }
  return out;
}

void Client::commit(wire::Transaction transaction, RequestPriority priority, double give_up_s,
                    std::function<void(CommitResult)> done) {
  Call call;
  call.method = "POST";
  call.path = "/commit";
  call.body = wire::encode_transaction(transaction);
  call.writes = static_cast<double>(transaction.ops.size());
  call.timeout_s = kTimeoutS;
  call.give_up_at = loop_.now() + give_up_s;
  call.done = [this, size = size_of(transaction),
               done = std::move(done)](const net::Result& answer) {
    on_status(answer.status, true);
    done(read_commit_answer(answer, size));
  };
  submit(std::move(call), priority);
}

void Client::watch(std::uint64_t after, int block_ms, std::function<void(net::Result)> done) {
  // Watches have connections of their own: they block, and must not delay a commit.
  refill(loop_.now());
  request_tokens_.take(1);
  const double timeout_s = block_ms / 1000.0 + kTimeoutS;
  watch_http_.request("GET", wire::watch_path(kRoot, after, block_ms), "", timeout_s,
                      [this, done = std::move(done)](net::Result answer) {
                        on_status(answer.status, false);
                        done(std::move(answer));
                      });
}

void Client::get(std::string path, RequestPriority priority,
                 std::function<void(net::Result)> done) {
  call("GET", std::move(path), "", priority, std::move(done));
}

void Client::post(std::string path, std::string body, RequestPriority priority,
                  std::function<void(net::Result)> done) {
  call("POST", std::move(path), std::move(body), priority, std::move(done));
}

void Client::call(const char* method, std::string path, std::string body, RequestPriority priority,
                  std::function<void(net::Result)> done) {
  Call call;
  call.method = method;
  call.path = std::move(path);
  call.body = std::move(body);
  call.timeout_s = kTimeoutS;
  call.give_up_at = loop_.now() + kMaxSendDelayS;
  call.done = [this, done = std::move(done)](net::Result answer) {
    on_status(answer.status, false);
    done(std::move(answer));
  };
  submit(std::move(call), priority);
}

}  // namespace shunttrail::state

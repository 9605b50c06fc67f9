/// @file
/// The size and rate limits of the state service: the current and the announced ones from the
/// settings, and lower ones learned from rejected requests. Free of I/O.
#pragma once
#include <cstddef>
#include <cstdint>

#include "config/settings.h"
#include "wire/types.h"

namespace shunttrail::state {

/// The largest encoded transaction, in bytes (PROTOCOL: 64 KiB overall).
inline constexpr std::size_t kMaxTransactionBytes = std::size_t{64} * 1024;

/// The size limits of one transaction. The protocol allows four preconditions for each operation. A
/// larger cluster needs more transactions, not larger ones.
struct TransactionLimits {
  std::size_t value_bytes = 4096;  ///< the longest value
  std::size_t ops = 12;
  std::size_t preconditions = 48;
};

/// Appends the operations and preconditions of `part` to `whole` if the result is within the limits
/// and leaves space for a few preconditions that all parts share. Returns false, and appends
/// nothing, if it is not. The length of values is not checked.
[[nodiscard]] bool append_within(const TransactionLimits& limits, wire::Transaction part,
                                 wire::Transaction& whole);

/// Tracks the size limits of transactions.
class Limits {
 public:
  explicit Limits(const config::Settings& settings);
  /// Returns the limits for data that can be split into small transactions. Announced lower limits
  /// apply from the start, since the current larger ones may end at any time.
  [[nodiscard]] TransactionLimits transaction_limits() const {
    return {transaction_limits_.value_bytes, transaction_limits_.ops,
            kPreconditionsPerOp * transaction_limits_.ops};
  }
  /// Returns the limits for data that another version may still have to read in its current format
  /// (inventory pages): the current settings until a rejection shows that a lower limit applies.
  [[nodiscard]] TransactionLimits present() const {
    return is_smaller_shown_ ? transaction_limits() : present_;
  }
  /// Lowers the limits that may explain the rejection of a transaction of this size as too large.
  /// None is lowered if one of the sizes is above the known limits, which explains the rejection.
  /// The actual limits may be lower than the announced ones.
  void too_large(std::size_t longest_value, std::size_t ops);
  /// Returns how many transactions were rejected as too large.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  static constexpr std::size_t kPreconditionsPerOp = 4;
  /// The bytes of a transaction that its longest value leaves to keys, preconditions and short
  /// values.
  static constexpr std::size_t kTransactionOverheadBytes = 1024;
  static constexpr std::size_t kMaxValueBytes = kMaxTransactionBytes - kTransactionOverheadBytes;
  static std::size_t value_bytes(double kilobytes);

  TransactionLimits present_;
  TransactionLimits transaction_limits_;
  bool is_smaller_shown_ = false;
  std::uint64_t refusals_ = 0;
};

/// An adaptive request rate. A 429 response lowers it at once to the announced rate, and further if
/// that is still too high. It rises again slowly. Rates above the announced one are retried at
/// growing intervals.
class AdaptiveRate {
 public:
  /// `present` is the current rate and `next` the announced rate, both in requests a second.
  AdaptiveRate(double present, double next) : present_(present), next_(next), rate_(present) {}
  /// Returns the rate at this time; `now` is in seconds of the steady clock.
  double rate(double now);
  /// Records that a request was answered with 429.
  void refused(double now);
  /// Returns how many requests were answered with 429.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  static constexpr double kFirstBackoffS = 30;
  static constexpr double kNeverS = -1e9;

  double present_;
  double next_;
  double rate_;
  double updated_at_ = 0;
  double refused_at_ = kNeverS;
  /// The time without a 429 response after which a rate above the announced one is tried.
  double backoff_s_ = kFirstBackoffS;
  std::uint64_t refusals_ = 0;
};

}  // namespace shunttrail::state

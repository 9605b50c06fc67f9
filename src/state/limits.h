/// @file
/// What the state service accepts: as the settings say, as they announce it for later, and as its
/// refusals have shown. Free of I/O.
#pragma once
#include <cstddef>
#include <cstdint>

#include "config/settings.h"

namespace shunttrail::state {

/// The largest transaction, by the settings; four preconditions for each change, as in the
/// protocol. More work takes more transactions: the number of machines changes none of these.
struct TransactionLimits {
  std::size_t value_bytes = 4096;  ///< of one value
  std::size_t ops = 12;
  std::size_t preconditions = 48;
};

/// The limits of a transaction's size.
class Limits {
 public:
  explicit Limits(const config::Settings& settings);
  /// The limits for everything that can be written small. What is announced for later holds from
  /// the start, since nothing may rely on a larger size staying.
  [[nodiscard]] TransactionLimits transaction_limits() const {
    return {transaction_limits_.value_bytes, transaction_limits_.ops,
            kPreconditionsPerOp * transaction_limits_.ops};
  }
  /// The limits for what another version may still have to read in its present form (inventory
  /// pages): the settings' present ones until a smaller limit has shown itself.
  [[nodiscard]] TransactionLimits present() const {
    return is_smaller_shown_ ? transaction_limits() : present_;
  }
  /// A transaction of this size was refused as too large. Limits may have fallen below what is
  /// announced, so they are lowered where the announced ones do not explain the refusal.
  void too_large(std::size_t longest_value, std::size_t ops);
  /// How many transactions were refused as too large.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  static constexpr std::size_t kPreconditionsPerOp = 4;

  TransactionLimits present_;
  TransactionLimits transaction_limits_;
  bool is_smaller_shown_ = false;
  std::uint64_t refusals_ = 0;
};

/// A rate of requests. A 429 lowers it at once to what is announced for later, and further if that
/// is still too much. It rises again slowly; above the announced rate it is tried ever more rarely.
class AdaptiveRate {
 public:
  /// Both in requests a second: what is accepted now, and what is announced for later.
  AdaptiveRate(double present, double next) : present_(present), next_(next), rate_(present) {}
  /// The rate at this time; `now` in seconds of the steady clock.
  double rate(double now);
  /// A request was answered 429.
  void refused(double now);
  /// How many requests were answered 429.
  [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

 private:
  static constexpr double kFirstBackoffS = 30;
  static constexpr double kNeverS = -1e9;

  double present_;
  double next_;
  double rate_;
  double updated_at_ = 0;
  double refused_at_ = kNeverS;
  /// Time without a refusal before a rate above the announced one is tried.
  double backoff_s_ = kFirstBackoffS;
  std::uint64_t refusals_ = 0;
};

}  // namespace shunttrail::state

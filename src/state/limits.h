// What the state service takes: as the settings say, as they say that it will be, and as it has
// shown. Free of I/O.
#pragma once
#include <cstddef>
#include <cstdint>

#include "config/settings.h"

namespace shunttrail::state {

// The size of one transaction, by the settings; four conditions for each change, as the protocol
// has it. More work takes more transactions: the fleet's size changes none of these.
struct TransactionLimits {
  std::size_t value_bytes = 4096, ops = 12, preconditions = 48;
};

class Limits {
 public:
  explicit Limits(const config::Settings& s);
  // For everything that can be written small: nothing may rely on a larger size staying, so what
  // is announced for later holds from the start.
  TransactionLimits transaction_limits() const {
    return {transaction_limits_.value_bytes, transaction_limits_.ops, 4 * transaction_limits_.ops};
  }
  // For what another version may still have to read in its present form (inventory pages), until a
  // smaller limit has shown itself.
  TransactionLimits present() const { return shown_ ? transaction_limits() : present_; }
  // A transaction of this size was refused as too large. Limits may have fallen further than
  // anybody said.
  void too_large(std::size_t longest_value, std::size_t ops);
  std::uint64_t refusals() const { return refusals_; }

 private:
  TransactionLimits present_, transaction_limits_;
  bool shown_ = false;
  std::uint64_t refusals_ = 0;
};

// A rate that a 429 lowers at once to what is announced for later, and further if that is still too
// much. It rises again slowly; above the announced rate it is tried more and more seldom.
class AdaptiveRate {
 public:
  AdaptiveRate(double present, double next) : present_(present), next_(next), rate_(present) {}
  double rate(double now);
  void refused(double now);
  std::uint64_t refusals() const { return refusals_; }

 private:
  double present_, next_, rate_;
  double at_ = 0, refused_at_ = -1e9, backoff_ = 30;
  std::uint64_t refusals_ = 0;
};

}  // namespace shunttrail::state

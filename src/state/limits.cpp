#include "state/limits.h"

#include <algorithm>

namespace shunttrail::state {
namespace {
constexpr std::size_t kLeastValue = 1024, kLeastOps = 2;
constexpr double kGrowth = 0.02;     // of the announced rate, a second
constexpr double kLeastRate = 0.25;  // of the announced rate
constexpr double kHush = 1;          // refusals this close together count once

std::size_t bytes(double kb) { return static_cast<std::size_t>(kb * 1024); }
}  // namespace

Limits::Limits(const config::Settings& s)
    : present_{bytes(s.state_limits.value_kb), static_cast<std::size_t>(s.state_limits.txn_ops),
               4 * static_cast<std::size_t>(s.state_limits.txn_ops)},
      transaction_limits_{std::min(present_.value_bytes, bytes(s.state_next.value_kb)),
                          std::min(present_.ops, static_cast<std::size_t>(s.state_next.txn_ops))} {}

void Limits::too_large(std::size_t longest_value, std::size_t ops) {
  ++refusals_;
  if (!shown_) {
    shown_ = true;
    // What is announced explains it.
    if (longest_value > transaction_limits_.value_bytes || ops > transaction_limits_.ops) return;
  }
  // Which of the two it was is not said.
  if (longest_value <= transaction_limits_.value_bytes)
    transaction_limits_.value_bytes =
        std::min(transaction_limits_.value_bytes, std::max(kLeastValue, longest_value * 3 / 4));
  if (ops <= transaction_limits_.ops)
    transaction_limits_.ops = std::min(transaction_limits_.ops, std::max(kLeastOps, ops * 3 / 4));
}

double AdaptiveRate::rate(double now) {
  double past = std::max(0.0, now - at_);
  at_ = std::max(at_, now);
  if (rate_ >= present_) return rate_;
  if (rate_ < next_)
    rate_ = std::min(next_, rate_ + kGrowth * next_ * past);
  else if (now - refused_at_ > backoff_)
    rate_ = std::min(present_, rate_ + kGrowth * next_ * past);
  return rate_;
}

void AdaptiveRate::refused(double now) {
  ++refusals_;
  if (now - refused_at_ < kHush) return;
  refused_at_ = now;
  if (rate_ > next_) {
    if (rate_ < present_) backoff_ *= 2;
    rate_ = next_;
  } else {
    rate_ = std::max(kLeastRate * next_, rate_ * 0.8);
  }
}

}  // namespace shunttrail::state

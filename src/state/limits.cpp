#include "state/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "wire/state_codec.h"

namespace shunttrail::state {
namespace {

constexpr std::size_t kMinValueBytes = 1024;
constexpr std::size_t kMinOps = 2;
/// How fast a lowered rate grows, as a share of the announced rate a second.
constexpr double kGrowthPerS = 0.02;
/// The lowest rate, as a share of the announced rate.
constexpr double kMinRateShare = 0.25;
constexpr double kRateReduction = 0.8;
/// 429 responses within this time are to requests sent at one rate, so they lower the rate once.
constexpr double kRefusalWindowS = 1;

/// Returns three quarters of a rejected size, but at least `minimum`.
std::size_t reduced(std::size_t refused, std::size_t minimum) {
  return std::max(minimum, refused * 3 / 4);
}

/// The bytes of a transaction that its parts leave to preconditions which they share.
constexpr std::size_t kSharedBytes = 512;

/// Moves the elements of `from` to the end of `to`.
template <typename T>
void move_to_end(std::vector<T>& from, std::vector<T>& to) {
  to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

}  // namespace

bool append_within(const TransactionLimits& limits, wire::Transaction part,
                   wire::Transaction& whole) {
  if (whole.ops.size() + part.ops.size() > limits.ops) return false;
  if (whole.preconditions.size() + part.preconditions.size() > limits.preconditions) return false;
  const std::size_t bytes =
      wire::encode_transaction(whole).size() + wire::encode_transaction(part).size();
  if (bytes + kSharedBytes > kMaxTransactionBytes) return false;
  move_to_end(part.ops, whole.ops);
  move_to_end(part.preconditions, whole.preconditions);
  return true;
}

std::size_t Limits::value_bytes(double kilobytes) {
  return std::min(kMaxValueBytes, static_cast<std::size_t>(kilobytes * 1024));
}

Limits::Limits(const config::Settings& settings)
    : present_{value_bytes(settings.state_limits.value_kb),
               static_cast<std::size_t>(settings.state_limits.txn_ops),
               kPreconditionsPerOp * static_cast<std::size_t>(settings.state_limits.txn_ops)},
      transaction_limits_{
          std::min(present_.value_bytes, value_bytes(settings.state_next.value_kb)),
          std::min(present_.ops, static_cast<std::size_t>(settings.state_next.txn_ops))} {}

void Limits::too_large(std::size_t longest_value, std::size_t ops) {
  ++refusals_;
  is_smaller_shown_ = true;
  TransactionLimits& limits = transaction_limits_;
  // The known limits explain the rejection. It shows nothing about the other size.
  if (longest_value > limits.value_bytes || ops > limits.ops) return;
  // The response does not say which of the two sizes was too large, so both limits are lowered.
  // A size that every state service accepts cannot be the reason.
  if (longest_value > kMinValueBytes)
    limits.value_bytes = std::min(limits.value_bytes, reduced(longest_value, kMinValueBytes));
  if (ops > kMinOps) limits.ops = std::min(limits.ops, reduced(ops, kMinOps));
}

double AdaptiveRate::rate(double now) {
  const double elapsed_s = std::max(0.0, now - updated_at_);
  updated_at_ = std::max(updated_at_, now);
  if (rate_ >= present_) return rate_;
  const double grown = rate_ + kGrowthPerS * next_ * elapsed_s;
  if (rate_ < next_)
    rate_ = std::min(next_, grown);
  else if (now - refused_at_ > backoff_s_)
    rate_ = std::min(present_, grown);
  return rate_;
}

void AdaptiveRate::refused(double now) {
  ++refusals_;
  if (now - refused_at_ < kRefusalWindowS) return;
  refused_at_ = now;
  if (rate_ > next_) {
    if (rate_ < present_) backoff_s_ *= 2;
    rate_ = next_;
  } else {
    rate_ = std::max(kMinRateShare * next_, rate_ * kRateReduction);
  }
}

}  // namespace shunttrail::state

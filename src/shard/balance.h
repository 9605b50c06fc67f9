/// @file
/// How machines are divided among the shards: from what each has, is entitled to and could use
/// (docs/design.md). Free of I/O.
#pragma once
#include <vector>

namespace shunttrail::shard {

/// A shard's machines; all amounts are in machines, and may be fractions.
struct Load {
  /// Up or booting, and staying. A machine that is promised to another shard counts until it has
  /// left.
  double capacity = 0;
  /// What its teams' unfinished work needs, within their guarantees.
  double entitled = 0;
  /// What its teams' unfinished work needs, within their limits.
  double demand = 0;
};

/// How many machines each shard should have. While there are enough for all, that is its demand;
/// otherwise guarantees come first, and the rest is divided by the demand beyond them.
[[nodiscard]] std::vector<double> targets(const std::vector<Load>& loads);

/// How many machines the shard `from` should send to each other one. Fractions of deficits and of
/// surpluses are combined into whole machines as long as that brings all shards nearer to their
/// targets. A shard with work and no machine gets one from the one with the largest surplus, and no
/// shard with work gives its last one. All leaders compute the same from the same loads.
[[nodiscard]] std::vector<int> transfers(const std::vector<Load>& loads, int from);

}  // namespace shunttrail::shard

/// @file
/// Divides the machines among the shards by what each shard has, is guaranteed and could use
/// (docs/design.md). Free of I/O.
#pragma once
#include <vector>

namespace shunttrail::shard {

/// A shard's capacity and demand. All amounts are in machines, and may be fractions.
struct Load {
  /// Machines that are up or booting and are not about to leave. A machine that is promised to
  /// another shard counts until it has left.
  double capacity = 0;
  /// The demand of the shard's teams within their guarantees.
  double entitled = 0;
  /// The demand of the shard's teams within their limits.
  double demand = 0;
};

/// Returns the number of machines that each shard should have. While there are enough for all, that
/// is its demand; otherwise guarantees come first, and the rest is divided in proportion to the
/// demand beyond the guarantees.
[[nodiscard]] std::vector<double> targets(const std::vector<Load>& loads);

/// Returns the number of machines that the shard `from` should send to each other shard. Fractions
/// of deficits and surpluses are combined into whole machines while that brings all shards nearer
/// to their targets. A shard that has work and no machine gets one from the shard with the largest
/// surplus, and no shard with work gives its last machine. The result depends only on `loads`, so
/// all leaders compute the same transfers.
[[nodiscard]] std::vector<int> transfers(const std::vector<Load>& loads, int from);

}  // namespace shunttrail::shard

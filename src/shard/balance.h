// How machines are shared out among the shards: from what each has, is entitled to and could use.
// Free of I/O.
#pragma once
#include <vector>

namespace shunttrail::shard {

// In machines.
struct Load {
  double capacity = 0;  // up or booting, and staying; what is promised, until it has gone
  double entitled = 0;  // what its teams' unfinished work needs, within their guarantees
  double demand = 0;    // the same, within their limits
};

// What each shard should have. While there is enough for all, nobody's surplus moves but to where
// work lacks it; else guarantees come first, and the rest goes by what is asked beyond them.
std::vector<double> targets(const std::vector<Load>& loads);

// How many machines `from` should send to each other shard. Fractions of what is lacking and of
// what is beyond a share are brought together in whole machines, as long as that brings all nearer
// to their goals; a shard with work and no machine at all gets one from whoever has most to spare,
// and nobody with work gives the last one.
std::vector<int> transfers(const std::vector<Load>& loads, int from);

}  // namespace shunttrail::shard

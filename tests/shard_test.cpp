// The sharing out of machines among shards.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>

#include "shard/balance.h"

namespace shunttrail::test {
namespace {
using shard::Load;

// A shard with thousands of waiting tasks stood beside others' idle machines for minutes.
TEST(MachineTransfer, SurplusGoesWhereWorkLacksIt) {
  std::vector<Load> l = {{100, 50, 300}, {100, 20, 20}, {100, 60, 60}};
  auto from1 = shard::transfers(l, 1), from2 = shard::transfers(l, 2);
  EXPECT_GT(from1[0], 30);
  EXPECT_GT(from2[0], 10);
  EXPECT_EQ(from1[2], 0);
  EXPECT_EQ(shard::transfers(l, 0), std::vector<int>(3, 0));
}

TEST(MachineTransfer, GuaranteesComeBeforeWhatIsBorrowed) {
  std::vector<Load> l = {{150, 40, 400}, {50, 100, 100}};
  EXPECT_EQ(shard::transfers(l, 0)[1], 50);
  EXPECT_EQ(shard::transfers(l, 1)[0], 0);
}

// What is lacking here and to spare there is often less than a machine each. Rounded down it left a
// team's shard without any machine for minutes, while three others had half of one too many.
TEST(MachineTransfer, PartsOfMachinesComeTogether) {
  std::vector<Load> l = {{2, 0, 3}, {2, 0, 3}, {2, 0, 3}, {0, 0, 3}};
  int got = 0;
  for (int k = 0; k < 3; ++k) got += shard::transfers(l, k)[3];
  EXPECT_EQ(got, 1);
  // An idle machine goes where a quarter of one is lacking.
  l = {{2, 0, 0.5}, {1, 0, 1.25}};
  EXPECT_EQ(shard::transfers(l, 0)[1], 1);
}

TEST(MachineTransfer, EveryShardWithWorkHasAMachineWherePossible) {
  const std::vector<Load> l = {{3, 2, 100}, {0, 0, 0.1}};
  EXPECT_EQ(shard::transfers(l, 0)[1], 1);
  EXPECT_EQ(shard::transfers({{2, 100, 100}, {1, 0, 0.1}}, 1)[0], 0);  // its last one stays
  EXPECT_EQ(shard::transfers({{1, 1, 1}, {0, 1, 1}}, 0)[1], 0);
}

// Whatever the loads, each transfer brings the shards nearer to their goals, but for the first
// machine of a shard that has work; what each owner gives, all together, is all that moves: shared
// out again, with the same work, nothing goes on or back. Beyond its goal nobody gives, nor gets, a
// whole machine.
RC_GTEST_PROP(MachineTransfer, MachinesDoNotOscillateBetweenShards, ()) {
  const int n = *rc::gen::inRange(2, 6);
  const int most = *rc::gen::element(8, 60, 30000);
  auto part = rc::gen::map(rc::gen::inRange(0, most), [](int x) { return x / 10.0; });
  std::vector<Load> l;
  for (int i = 0; i < n; ++i) {
    double e = *part;
    l.push_back({std::floor(*part), e, e + *part});
  }
  auto goal = shard::targets(l);
  auto far = [&](const std::vector<Load>& x) {
    double sum = 0;
    for (std::size_t k = 0; k < x.size(); ++k) sum += std::abs(x[k].capacity - goal[k]);
    return sum;
  };
  auto share_out = [&](const std::vector<Load>& x) {
    auto after = x;
    for (int k = 0; k < n; ++k) {
      const auto g = shard::transfers(x, k);
      const int given = std::accumulate(g.begin(), g.end(), 0);
      const auto from = static_cast<std::size_t>(k);
      RC_ASSERT(given < std::max(0.0, x[from].capacity - goal[from]) + 1);
      RC_ASSERT(given == 0 || x[from].capacity - given >= 1 || x[from].demand <= 0);
      for (std::size_t to = 0; to < x.size(); ++to) {
        after[from].capacity -= g[to];
        after[to].capacity += g[to];
      }
    }
    for (std::size_t k = 0; k < x.size(); ++k)
      RC_ASSERT(after[k].capacity <= x[k].capacity ||
                after[k].capacity < std::max(1.0, goal[k] + 1) + 1e-6);
    return after;
  };
  const auto once = share_out(l);
  const bool first = std::any_of(l.begin(), l.end(),
                                 [](const Load& x) { return x.capacity <= 0 && x.demand > 0; });
  if (!first) RC_ASSERT(far(once) <= far(l) + 1e-6);
  const auto twice = share_out(once);
  for (std::size_t k = 0; k < l.size(); ++k) RC_ASSERT(twice[k].capacity == once[k].capacity);
}

}  // namespace
}  // namespace shunttrail::test

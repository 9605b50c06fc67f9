// The sharing out of machines among shards.
#include "shard/balance.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>

namespace shunt::test {
namespace {
using shard::Load;

// A shard with thousands of waiting tasks stood beside others' idle machines for minutes.
TEST(Balance, SurplusGoesWhereWorkLacksIt) {
  std::vector<Load> l = {{100, 50, 300}, {100, 20, 20}, {100, 60, 60}};
  auto from1 = shard::gifts(l, 1), from2 = shard::gifts(l, 2);
  EXPECT_GT(from1[0], 30);
  EXPECT_GT(from2[0], 10);
  EXPECT_EQ(from1[2], 0);
  EXPECT_EQ(shard::gifts(l, 0), std::vector<int>(3, 0));
}

TEST(Balance, GuaranteesComeBeforeWhatIsBorrowed) {
  std::vector<Load> l = {{150, 40, 400}, {50, 100, 100}};
  EXPECT_EQ(shard::gifts(l, 0)[1], 50);
  EXPECT_EQ(shard::gifts(l, 1)[0], 0);
}

// Whatever the loads, gifts do not exceed what a giver has beyond its goal, nor bring a receiver
// beyond its own; so machines do not go to and fro.
RC_GTEST_PROP(Balance, NobodyGivesTooMuchNorGetsTooMuch, ()) {
  auto part = rc::gen::map(rc::gen::inRange(0, 300), [](int x) { return static_cast<double>(x); });
  std::vector<Load> l;
  for (int i = 0; i < 3; ++i) {
    double e = *part;
    l.push_back({*part, e, e + *part});
  }
  auto goal = shard::targets(l);
  std::vector<int> got(3, 0);
  for (int k = 0; k < 3; ++k) {
    auto g = shard::gifts(l, k);
    int given = std::accumulate(g.begin(), g.end(), 0);
    RC_ASSERT(given <= std::max(0.0, l[k].capacity - goal[k]) + 1e-6);
    for (int j = 0; j < 3; ++j) got[j] += g[j];
  }
  for (int j = 0; j < 3; ++j) RC_ASSERT(got[j] <= std::max(0.0, goal[j] - l[j].capacity) + 1e-6);
}

}  // namespace
}  // namespace shunt::test

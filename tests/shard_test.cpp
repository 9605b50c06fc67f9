// The division of machines among shards.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <numeric>

#include "shard/balance.h"

namespace shunttrail::test {
namespace {
using shard::Load;

// A shard with thousands of waiting tasks got no machines for minutes while others had idle ones.
TEST(MachineTransfer, SurplusMachinesGoToShardsWithADeficit) {
  std::vector<Load> loads = {{100, 50, 300}, {100, 20, 20}, {100, 60, 60}};
  auto from1 = shard::transfers(loads, 1), from2 = shard::transfers(loads, 2);
  EXPECT_GT(from1[0], 30);
  EXPECT_GT(from2[0], 10);
  EXPECT_EQ(from1[2], 0);
  EXPECT_EQ(shard::transfers(loads, 0), std::vector<int>(3, 0));
}

TEST(MachineTransfer, GuaranteesTakePrecedenceOverBorrowedCapacity) {
  std::vector<Load> loads = {{150, 40, 400}, {50, 100, 100}};
  EXPECT_EQ(shard::transfers(loads, 0)[1], 50);
  EXPECT_EQ(shard::transfers(loads, 1)[0], 0);
}

// Deficits and surpluses are often less than one machine each. Rounded down, they left a team's
// shard without any machine for minutes, while three other shards had half a machine too many each.
TEST(MachineTransfer, FractionalDeficitsCombineIntoWholeMachines) {
  std::vector<Load> loads = {{2, 0, 3}, {2, 0, 3}, {2, 0, 3}, {0, 0, 3}};
  int received = 0;
  for (int k = 0; k < 3; ++k) received += shard::transfers(loads, k)[3];
  EXPECT_EQ(received, 1);
  // An idle machine goes to a shard that lacks a quarter of one.
  loads = {{2, 0, 0.5}, {1, 0, 1.25}};
  EXPECT_EQ(shard::transfers(loads, 0)[1], 1);
}

TEST(MachineTransfer, EveryShardWithWorkHasAMachineWherePossible) {
  const std::vector<Load> loads = {{3, 2, 100}, {0, 0, 0.1}};
  EXPECT_EQ(shard::transfers(loads, 0)[1], 1);
  EXPECT_EQ(shard::transfers({{2, 100, 100}, {1, 0, 0.1}}, 1)[0],
            0);  // a shard with work keeps its last machine
  EXPECT_EQ(shard::transfers({{1, 1, 1}, {0, 1, 1}}, 0)[1], 0);
}

// For any loads, each transfer brings the shards nearer to their targets, except for the first
// machine of a shard that has work. After the transfers of all leaders, a second round with the
// same work moves nothing. No shard gives or gets a whole machine beyond its target.
RC_GTEST_PROP(MachineTransfer, MachinesDoNotOscillateBetweenShards, ()) {
  const int n = *rc::gen::inRange(2, 6);
  const int most = *rc::gen::element(8, 60, 30000);
  auto amount = rc::gen::map(rc::gen::inRange(0, most), [](int tenths) { return tenths / 10.0; });
  std::vector<Load> loads;
  for (int i = 0; i < n; ++i) {
    double entitled = *amount;
    loads.push_back({std::floor(*amount), entitled, entitled + *amount});
  }
  auto target = shard::targets(loads);
  auto distance = [&](const std::vector<Load>& loads_before) {
    double sum = 0;
    for (std::size_t k = 0; k < loads_before.size(); ++k)
      sum += std::abs(loads_before[k].capacity - target[k]);
    return sum;
  };
  auto balance = [&](const std::vector<Load>& loads_before) {
    auto after = loads_before;
    for (int k = 0; k < n; ++k) {
      const auto sent = shard::transfers(loads_before, k);
      const int total_sent = std::accumulate(sent.begin(), sent.end(), 0);
      const auto from = static_cast<std::size_t>(k);
      RC_ASSERT(total_sent < std::max(0.0, loads_before[from].capacity - target[from]) + 1);
      RC_ASSERT(total_sent == 0 || loads_before[from].capacity - total_sent >= 1 ||
                loads_before[from].demand <= 0);
      for (std::size_t to = 0; to < loads_before.size(); ++to) {
        after[from].capacity -= sent[to];
        after[to].capacity += sent[to];
      }
    }
    for (std::size_t k = 0; k < loads_before.size(); ++k)
      RC_ASSERT(after[k].capacity <= loads_before[k].capacity ||
                after[k].capacity < std::max(1.0, target[k] + 1) + 1e-6);
    return after;
  };
  const auto after_first = balance(loads);
  const bool has_shard_without_machine =
      std::any_of(loads.begin(), loads.end(),
                  [](const Load& load) { return load.capacity <= 0 && load.demand > 0; });
  if (!has_shard_without_machine) RC_ASSERT(distance(after_first) <= distance(loads) + 1e-6);
  const auto after_second = balance(after_first);
  for (std::size_t k = 0; k < loads.size(); ++k)
    RC_ASSERT(after_second[k].capacity == after_first[k].capacity);
}

}  // namespace
}  // namespace shunttrail::test

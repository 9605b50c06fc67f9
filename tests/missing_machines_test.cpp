// Machines that the cloud's lists should contain and do not, while lists are out of date.
#include "cloud/missing_machines.h"

#include <gtest/gtest.h>

namespace shunttrail::test {
namespace {

using Names = std::vector<std::string>;

constexpr double kMaxListAgeS = 8;

struct ListedCloud {
  cloud::MissingMachines machines{kMaxListAgeS};

  // Reads a list that was requested at this time. Returns the machines that are reported missing.
  Names read_list(double at, const Names& listed) {
    machines.list_started(at);
    for (const std::string& name : listed) machines.listed(name);
    return machines.list_finished();
  }
};

// The process may have started after the machine left the cloud.
TEST(MissingMachines, AMachineThatNoListContainedIsReportedAfterTheSecondList) {
  ListedCloud cloud;
  cloud.machines.rented("m-1", 0);
  EXPECT_EQ(cloud.read_list(100, {"m-2"}), Names{});
  EXPECT_EQ(cloud.read_list(106, {"m-2"}), Names{"m-1"});
}

TEST(MissingMachines, AMachineIsReportedAfterEachListUntilItIsDeleted) {
  ListedCloud cloud;
  cloud.machines.rented("m-1", 0);
  cloud.machines.rented("m-2", 0);
  EXPECT_EQ(cloud.read_list(100, {}), Names{});
  EXPECT_EQ(cloud.read_list(106, {}), (Names{"m-1", "m-2"}));
  cloud.machines.deleted("m-2");
  EXPECT_EQ(cloud.read_list(112, {}), Names{"m-1"});
  cloud.machines.deleted("m-1");
  EXPECT_EQ(cloud.read_list(118, {}), Names{});
}

TEST(MissingMachines, AListThatMayBeOlderThanTheRentalDoesNotCount) {
  ListedCloud cloud;
  cloud.machines.rented("m-1", 100);
  EXPECT_EQ(cloud.read_list(102, {}), Names{});
  EXPECT_EQ(cloud.read_list(100 + kMaxListAgeS, {}), Names{});
  EXPECT_EQ(cloud.read_list(108.1, {}), Names{});
  EXPECT_EQ(cloud.read_list(114, {}), Names{"m-1"});
}

// A list may be older than the previous one.
TEST(MissingMachines, AnOlderListAfterTheFirstOneWithAMachineDoesNotCount) {
  ListedCloud cloud;
  EXPECT_EQ(cloud.read_list(100, {"m-1"}), Names{});
  EXPECT_EQ(cloud.read_list(106, {}), Names{});
  EXPECT_EQ(cloud.read_list(112, {}), Names{});
  EXPECT_EQ(cloud.read_list(118, {"m-1"}), Names{});
}

TEST(MissingMachines, ListsHaveToLackAMachineConsecutively) {
  ListedCloud cloud;
  cloud.machines.rented("m-1", 0);
  for (double at = 100; at < 200; at += 12) {
    EXPECT_EQ(cloud.read_list(at, {}), Names{});
    EXPECT_EQ(cloud.read_list(at + 6, {"m-1"}), Names{});
  }
}

// The first record may hold no time, so that the machine counts as rented when it was read.
TEST(MissingMachines, TheEarliestKnownTimeOfTheRentalCounts) {
  ListedCloud cloud;
  cloud.machines.rented("m-1", 100);
  cloud.machines.rented("m-1", 20);
  cloud.machines.rented("m-1", 101);
  EXPECT_EQ(cloud.read_list(101, {}), Names{});
  EXPECT_EQ(cloud.read_list(107, {}), Names{"m-1"});
}

}  // namespace
}  // namespace shunttrail::test

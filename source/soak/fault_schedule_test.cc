// Tests that a seed always gives the same schedule, so that a failed run can be
// repeated.

#include "soak/fault_schedule.h"

#include <set>

#include <gtest/gtest.h>

namespace bulrushmount::soak {
namespace {

constexpr Duration kLength = std::chrono::minutes(5);
constexpr std::size_t kNodes = 6;

TEST(FaultScheduleTest, DependsOnlyOnItsSeed) {
  const std::vector<Fault> faults = GenerateSchedule(7, kLength, kNodes);
  EXPECT_EQ(faults, GenerateSchedule(7, kLength, kNodes));
  EXPECT_NE(faults, GenerateSchedule(8, kLength, kNodes));
}

TEST(FaultScheduleTest, HasEveryKindInOrderOfTime) {
  const std::vector<Fault> faults = GenerateSchedule(7, kLength, kNodes);
  std::set<FaultKind> kinds;
  Duration previous{};
  for (const Fault& fault : faults) {
    kinds.insert(fault.kind);
    EXPECT_GE(fault.at, previous);
    EXPECT_LT(fault.node, kNodes);
    previous = fault.at;
  }
  EXPECT_EQ(kinds.size(), static_cast<std::size_t>(FaultKind::kMoveRoutes) + 1);
}

}  // namespace
}  // namespace bulrushmount::soak

// A seed that failed must play again as it was.

#include "soak/fault_schedule.h"

#include <set>

#include <gtest/gtest.h>

namespace bulrushmount::soak {
namespace {

constexpr Duration kLength = std::chrono::minutes(5);
constexpr std::size_t kNodes = 6;

TEST(FaultScheduleTest, IsAFunctionOfItsSeed) {
  const std::vector<Fault> faults = DrawSchedule(7, kLength, kNodes);
  EXPECT_EQ(faults, DrawSchedule(7, kLength, kNodes));
  EXPECT_NE(faults, DrawSchedule(8, kLength, kNodes));
}

TEST(FaultScheduleTest, HasEveryKindInOrderOfTime) {
  const std::vector<Fault> faults = DrawSchedule(7, kLength, kNodes);
  std::set<FaultKind> kinds;
  Duration before{};
  for (const Fault& fault : faults) {
    kinds.insert(fault.kind);
    EXPECT_GE(fault.at, before);
    EXPECT_LT(fault.node, kNodes);
    before = fault.at;
  }
  EXPECT_EQ(kinds.size(), static_cast<std::size_t>(FaultKind::kMoveRoutes) + 1);
}

}  // namespace
}  // namespace bulrushmount::soak

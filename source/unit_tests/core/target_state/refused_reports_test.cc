// Tests of `core/target_state/refused_reports.h`: each fault is logged once, up
// to a bound.

#include "core/target_state/refused_reports.h"

#include <chrono>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

const InstanceId kSender("i-1");

TEST(RefusedReportsTest, LogsEachFaultOfASenderOnce) {
  RefusedReports reports;
  const TimePoint now{1s};
  EXPECT_TRUE(reports.ShouldLog(now, kSender, "slots"));
  EXPECT_FALSE(reports.ShouldLog(now + 1s, kSender, "slots"));
  EXPECT_TRUE(reports.ShouldLog(now + 1s, kSender, "state"));
  EXPECT_TRUE(reports.ShouldLog(now + 1s, InstanceId("i-2"), "slots"));
}

// Guards against unbounded log and memory use by a sender that reports ever new
// targets, each with a fault.
TEST(RefusedReportsTest, BoundsLinesOfManySenders) {
  RefusedReports reports;
  std::size_t logged = 0;
  for (int sender = 0; sender < 10'000; ++sender) {
    const InstanceId id(fmt::format("i-{}", sender));
    logged += reports.ShouldLog(TimePoint{1s}, id, "slots") ? 1 : 0;
  }
  EXPECT_EQ(logged, RefusedReports::kMaxLogged);
}

TEST(RefusedReportsTest, LogsAPersistingFaultAgainLater) {
  RefusedReports reports;
  const TimePoint now{1s};
  EXPECT_TRUE(reports.ShouldLog(now, kSender, "slots"));
  const TimePoint later = now + RefusedReports::kResetAfter + 1s;
  EXPECT_TRUE(reports.ShouldLog(later, kSender, "slots"));
  EXPECT_FALSE(reports.ShouldLog(later, kSender, "slots"));
}

}  // namespace
}  // namespace bulrushmount

// Tests of `core/routing/target_notices.h`.

#include "core/routing/target_notices.h"

#include <optional>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

LoadReport Report(std::uint64_t process,
                  std::optional<double> rate_limit,
                  bool is_leaving = false) {
  LoadReport load;
  load.process = TargetProcess(process);
  load.notice = {rate_limit, is_leaving};
  return load;
}

TEST(TargetNoticesMemoryTest, FollowsTheLastReportedLimit) {
  TargetNotices notices;
  notices.OnReported(Report(1, 2.5));
  EXPECT_EQ(notices.RateLimitOf(TargetProcess(1)), 2.5);
  EXPECT_EQ(notices.RateLimitOf(TargetProcess(2)), std::nullopt);
  notices.OnReported(Report(1, 4));
  EXPECT_EQ(notices.RateLimitOf(TargetProcess(1)), 4);
  notices.OnReported(Report(1, std::nullopt));
  EXPECT_EQ(notices.RateLimitOf(TargetProcess(1)), std::nullopt);
  EXPECT_EQ(notices.size(), 0U);
}

// Guards against a leaving target that gets requests again because its owner
// has restarted and does not know that it is leaving.
TEST(TargetNoticesMemoryTest, LeavingIsFinal) {
  TargetNotices notices;
  notices.OnReported(Report(1, std::nullopt, true));
  notices.OnReported(Report(1, std::nullopt, false));
  notices.OnReported(Report(1, 3, false));
  EXPECT_TRUE(notices.IsLeaving(TargetProcess(1)));
  EXPECT_FALSE(notices.IsLeaving(TargetProcess(2)));
  EXPECT_EQ(notices.TakeNewlyLeaving().size(), 1U);
  EXPECT_TRUE(notices.TakeNewlyLeaving().empty());
}

TEST(TargetNoticesMemoryTest, IgnoresReportsOfUnknownProcesses) {
  TargetNotices notices;
  notices.OnReported(Report(0, 3, true));
  EXPECT_FALSE(notices.IsLeaving(TargetProcess(0)));
  EXPECT_EQ(notices.size(), 0U);
}

// Guards against memory that grows with every target that was ever replaced.
TEST(TargetNoticesMemoryTest, IsBounded) {
  TargetNotices notices;
  constexpr std::uint64_t processes = 3 * TargetNotices::kMaxProcesses;
  for (std::uint64_t process = 1; process <= processes; ++process) {
    notices.OnReported(Report(process, 1, process % 2 == 0));
    notices.OnReported(Report(process, std::nullopt));
  }
  EXPECT_LE(notices.size(), TargetNotices::kMaxProcesses);
  EXPECT_TRUE(notices.IsLeaving(TargetProcess(processes)));
}

// Guards against a process that is dropped early, because an earlier limit of
// it, since withdrawn, still counts as its record.
TEST(TargetNoticesMemoryTest, RepeatedLimitsDoNotDropOthers) {
  TargetNotices notices;
  notices.OnReported(Report(1, std::nullopt, true));
  for (std::size_t i = 0; i < 2 * TargetNotices::kMaxProcesses; ++i) {
    notices.OnReported(Report(2, 1));
    notices.OnReported(Report(2, std::nullopt));
  }
  EXPECT_TRUE(notices.IsLeaving(TargetProcess(1)));
}

}  // namespace
}  // namespace bulrushmount

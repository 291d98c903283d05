// Tests of `core/admission/adaptive_limit.h`.

#include "core/admission/adaptive_limit.h"

#include <chrono>
#include <cmath>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::uint32_t kSlots = 12;
constexpr std::uint32_t kFloor = 4;

class AdaptiveLimitTest : public testing::Test {
 protected:
  AdaptiveLimitTest() { m_limit.SetSlots(kSlots); }

  // Feeds a thousand answers a second for `time`, with a realistic spread.
  void Answer(const std::string& kind, Duration time, double mean_ms) {
    std::lognormal_distribution<double> spread(0, 0.5);
    for (const TimePoint end = m_now + time; m_now < end; m_now += 1ms) {
      const Duration latency = FromMilliseconds(mean_ms * spread(m_engine));
      m_limit.OnAnswer(m_now, {KindName(kind), latency, m_limit.limit()});
      m_lowest = std::min(m_lowest, m_limit.limit());
    }
  }

  AdaptiveLimit m_limit{AdaptiveLimitSettings{}};
  TimePoint m_now{1s};
  std::mt19937_64 m_engine{1};
  std::uint32_t m_lowest = kSlots;
};

TEST_F(AdaptiveLimitTest, KeepsAllSlotsWhileNothingChanges) {
  Answer("browse", 60s, 10);
  EXPECT_EQ(m_lowest, kSlots);
}

// Guards against a target that stays overcommitted under interference: with a
// fixed limit at the announced slots, everything runs slowly while latency is
// tripled. The limit must recover with the latency.
TEST_F(AdaptiveLimitTest, FallsUnderInterferenceAndRecovers) {
  Answer("browse", 5s, 10);
  Answer("browse", 2s, 30);
  EXPECT_LT(m_limit.limit(), kSlots);
  EXPECT_GE(m_lowest, kFloor);
  Answer("browse", 2s, 10);
  EXPECT_EQ(m_limit.limit(), kSlots);
}

// Guards against a limit that falls when the mix shifts from short lookups to
// downloads that take 20 times as long, although the speed is the same.
TEST_F(AdaptiveLimitTest, ChangeOfMixDoesNotLowerTheLimit) {
  Answer("lookup", 5s, 5);
  Answer("download", 5s, 100);
  Answer("lookup", 5s, 5);
  EXPECT_EQ(m_lowest, kSlots);
}

// Guards against a target that stays throttled after its requests became
// permanently slower, such as by a new release, because its baseline never
// rises.
TEST_F(AdaptiveLimitTest, BaselineFollowsALastingChange) {
  Answer("browse", 5s, 10);
  Answer("browse", 300s, 30);
  EXPECT_EQ(m_limit.limit(), kSlots);
}

struct SlotsCase {
  std::uint32_t slots;
  std::uint32_t lowest;
};

class AdaptiveLimitFloorTest : public AdaptiveLimitTest,
                               public testing::WithParamInterface<SlotsCase> {};

TEST_P(AdaptiveLimitFloorTest, NeverFallsBelowTheFloor) {
  m_limit.SetSlots(GetParam().slots);
  Answer("browse", 5s, 10);
  Answer("browse", 5s, 1000);
  EXPECT_EQ(m_limit.limit(), GetParam().lowest);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         AdaptiveLimitFloorTest,
                         testing::Values(SlotsCase{0, 0},
                                         SlotsCase{1, 1},
                                         SlotsCase{2, 1},
                                         SlotsCase{12, kFloor},
                                         SlotsCase{100, 34}));

}  // namespace
}  // namespace bulrushmount

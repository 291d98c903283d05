// Tests of `core/pipeline/retry_detector.h`.

#include "core/pipeline/retry_detector.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const KindName kKind("lookup");

struct RetryCase {
  const char* name;
  // Timeouts of requests 10 ms apart; the list is repeated a hundred times.
  std::vector<Duration> timeouts;
  // The next timeout, and the range of the elapsed time expected for it.
  Duration last;
  Duration least;
  Duration most;
};

class RetryDetectorTest : public testing::TestWithParam<RetryCase> {};

TEST_P(RetryDetectorTest, DetectsRetries) {
  RetryDetector detector;
  TimePoint now(100s);
  for (std::size_t index = 0; index < 100; ++index) {
    detector.EstimateElapsed(
        now, kKind, GetParam().timeouts[index % GetParam().timeouts.size()]);
    now += 10ms;
  }
  const Duration waited = detector.EstimateElapsed(now, kKind, GetParam().last);
  EXPECT_GE(waited, GetParam().least);
  EXPECT_LE(waited, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Callers,
    RetryDetectorTest,
    testing::Values(RetryCase{"FirstAttempt", {2000ms}, 2000ms, 0ms, 0ms},
                    RetryCase{"Retry", {2000ms}, 1600ms, 350ms, 400ms},
                    // Timeouts of first attempts vary.
                    RetryCase{"FirstAttemptOfMany",
                              {1990ms, 1720ms, 1810ms, 1900ms, 1760ms, 1960ms,
                               1860ms},
                              1730ms,
                              0ms,
                              0ms},
                    // Two in three requests are retries, with any remaining
                    // timeout.
                    RetryCase{"Overload",
                              {1990ms, 1400ms, 700ms, 1720ms, 1200ms, 900ms,
                               1810ms, 1100ms, 500ms, 1900ms, 1300ms, 600ms},
                              1300ms,
                              500ms,
                              650ms},
                    // No timeout stands out, so retries cannot be detected.
                    RetryCase{"Even",
                              {250ms, 238ms, 225ms, 213ms, 200ms, 188ms, 175ms,
                               163ms, 150ms, 138ms, 125ms, 113ms, 100ms, 88ms,
                               75ms,  63ms,  50ms,  38ms,  25ms,  13ms},
                              100ms,
                              0ms,
                              0ms}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RetryDetectorHistoryTest, DetectsNothingFromTooFewRequests) {
  RetryDetector detector;
  EXPECT_EQ(detector.EstimateElapsed(TimePoint(1s), kKind, 2000ms), 0ms);
  EXPECT_EQ(detector.EstimateElapsed(TimePoint(1s), kKind, 1500ms), 0ms);
}

TEST(RetryDetectorHistoryTest, TracksKindsSeparately) {
  RetryDetector detector;
  for (int request = 0; request < 50; ++request)
    detector.EstimateElapsed(TimePoint(1s), kKind, 2000ms);
  EXPECT_EQ(detector.EstimateElapsed(TimePoint(1s), KindName("book"), 500ms),
            0ms);
}

// Failure: all requests of a kind count as retries permanently after the
// callers are replaced by ones with a shorter timeout, because the longest
// timeout never expires.
TEST(RetryDetectorHistoryTest, ExpiresTheLongestTimeout) {
  RetryDetector detector;
  TimePoint now(1s);
  for (; now < TimePoint(2s); now += 10ms)
    detector.EstimateElapsed(now, kKind, 2000ms);
  Duration waited{};
  for (; now < TimePoint(70s); now += 10ms)
    waited = detector.EstimateElapsed(now, kKind, 1000ms);
  EXPECT_EQ(waited, 0ms);
}

}  // namespace
}  // namespace bulrushmount

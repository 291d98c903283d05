// Tests of `core/pipeline/retry_after_policy.h`.

#include "core/pipeline/retry_after_policy.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "core/common/random.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

struct RetryAfterCase {
  const char* name;
  Reason reason;
  LoadReport load;
  Duration left;
  // Bounds of the drawn times.
  Duration shortest;
  Duration longest;
};

class RetryAfterTest : public ::testing::TestWithParam<RetryAfterCase> {};

// Guards against a Retry-After that does not depend on the queue, is never
// honoured, or makes all refused callers come back together.
TEST_P(RetryAfterTest, IsSpreadFromTheTimeAtWhichCapacityIsFree) {
  SeededRandomSource random(1);
  Duration shortest = Duration::max();
  Duration longest{};
  for (int draw = 0; draw < 1000; ++draw) {
    const auto after = DrawRetryAfter(GetParam().reason, GetParam().load,
                                      GetParam().left, random);
    ASSERT_TRUE(after.has_value());
    shortest = std::min(shortest, *after);
    longest = std::max(longest, *after);
  }
  EXPECT_GE(shortest, GetParam().shortest);
  EXPECT_LE(longest, GetParam().longest);
  // The draws cover most of the range.
  EXPECT_GE(longest - shortest,
            9 * (GetParam().longest - GetParam().shortest) / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    RetryAfterTest,
    ::testing::Values(
        RetryAfterCase{"WithoutAReport",
                       Reason::kOverloaded,
                       {},
                       10s,
                       250ms,
                       500ms},
        RetryAfterCase{"LongQueue",
                       Reason::kOverloaded,
                       {6, 11, 6, 200ms, 1.7 + 2},
                       10s,
                       400ms,
                       800ms},
        RetryAfterCase{"NoQueue",
                       Reason::kOverloaded,
                       {6, 0, 6, 40ms, 1.7},
                       10s,
                       100ms,
                       200ms},
        RetryAfterCase{"VeryLongQueue",
                       Reason::kOverloaded,
                       {6, 47, 6, 10s, 9.7},
                       60s,
                       2s,
                       4s},
        // Interference lasts longer than the queue of short requests.
        RetryAfterCase{"Interference",
                       Reason::kOverloaded,
                       {6, 2, 6, 40ms, 7.5},
                       10s,
                       250ms,
                       500ms},
        // A caller ignores more than a third of its remaining time.
        RetryAfterCase{"LittleTimeLeft",
                       Reason::kOverloaded,
                       {6, 11, 6, 200ms, 3.7},
                       900ms,
                       150ms,
                       300ms},
        RetryAfterCase{"NoTimeLeft",
                       Reason::kOverloaded,
                       {6, 11, 6, 200ms, 3.7},
                       0ms,
                       50ms,
                       100ms},
        // The owner's queue does not show when interference at its target ends.
        RetryAfterCase{"SlowTarget",
                       Reason::kSlowTarget,
                       {6, 11, 6, 200ms, 3.7},
                       10s,
                       250ms,
                       500ms},
        RetryAfterCase{"OwnerWithoutATarget",
                       Reason::kOverloaded,
                       {0, 0, 0, 200ms, 1},
                       10s,
                       250ms,
                       500ms}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RetryAfterPolicyTest, IsAbsentForReasonsWithADefault) {
  SeededRandomSource random(1);
  EXPECT_FALSE(DrawRetryAfter(Reason::kNoRoute, {}, 10s, random).has_value());
}

}  // namespace
}  // namespace bulrushmount

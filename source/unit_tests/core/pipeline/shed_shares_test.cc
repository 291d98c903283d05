// Tests when a caller whose request was shed should retry at once.

#include "core/pipeline/shed_shares.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const ServiceName kService("press");

struct ShedCase {
  const char* name;
  // One request in `period` is answered and the others are shed; 0: all shed.
  int period;
  // Time since the last request.
  Duration age;
  bool is_worthwhile;
};

class ShedSharesTest : public testing::TestWithParam<ShedCase> {};

// Guards against callers that are sent away for hundreds of milliseconds,
// and miss their objective, although every other attempt succeeds; and against
// immediate retries at targets that shed everything.
TEST_P(ShedSharesTest, ImmediateRetryNeedsSomeAnswers) {
  ShedShares shares;
  TimePoint now{1h};
  for (int request = 0; request < 200; ++request) {
    now += 5ms;
    if (GetParam().period > 0 && request % GetParam().period == 0)
      shares.OnAnswered(now, kService);
    else
      shares.OnShed(now, kService);
  }
  EXPECT_EQ(shares.IsImmediateRetryWorthwhile(now + GetParam().age, kService),
            GetParam().is_worthwhile);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    ShedSharesTest,
    testing::Values(ShedCase{"HalfShed", 2, 0ms, true},
                    ShedCase{"MostShed", 5, 0ms, true},
                    ShedCase{"NearlyAllShed", 30, 0ms, false},
                    ShedCase{"AllShed", 0, 0ms, false},
                    ShedCase{"AllShedLater", 0, 2s, false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(UnknownShedShareTest, RetryIsNotImmediate) {
  EXPECT_FALSE(
      ShedShares().IsImmediateRetryWorthwhile(TimePoint{1h}, kService));
}

}  // namespace
}  // namespace bulrushmount

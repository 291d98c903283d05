// Tests of `core/target_state/cold_start.h`.

#include "core/target_state/cold_start.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace bulrushmount {

namespace {

using std::chrono::seconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};
constexpr Duration kWarmup = seconds(10);
constexpr std::uint32_t kWarmAnswers = 20;

struct RampCase {
  std::string name;
  Duration elapsed;
  std::uint32_t answers;
  double factor;
};

class RampTest : public testing::TestWithParam<RampCase> {};

TEST_P(RampTest, RisesWithTimeAndAnswers) {
  ColdStart cold_start(kBegin, kWarmup, kWarmAnswers);
  for (std::uint32_t i = 0; i < GetParam().answers; ++i) {
    cold_start.OnAnswered();
  }
  const TimePoint now = kBegin + GetParam().elapsed;
  EXPECT_DOUBLE_EQ(cold_start.Factor(now), GetParam().factor);
  EXPECT_EQ(cold_start.IsOver(now), GetParam().factor == 1.0);
}

INSTANTIATE_TEST_SUITE_P(
    Ramps,
    RampTest,
    testing::Values(RampCase{"AtBegin", seconds(0), 0, 0.1},
                    RampCase{"ManyAnswersAtOnce", seconds(0), 99, 0.1},
                    RampCase{"HalfTimeWarm", seconds(5), 20, 0.55},
                    RampCase{"HalfTimeHalfWarm", seconds(5), 10, 0.55},
                    RampCase{"HalfTimeNoAnswers", seconds(5), 0, 0.325},
                    RampCase{"WholeTimeWarm", seconds(10), 20, 1.0},
                    RampCase{"WholeTimeNoAnswers", seconds(10), 0, 0.55},
                    RampCase{"TwiceTheTime", seconds(20), 0, 1.0}),
    [](const auto& info) { return info.param.name; });

RC_GTEST_PROP(ColdStart, NeverDecreases, ()) {
  ColdStart cold_start(kBegin, kWarmup, kWarmAnswers);
  TimePoint now = kBegin;
  double last = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000));
  for (const int step : steps) {
    now += std::chrono::milliseconds(step);
    if (step % 2 == 0) {
      cold_start.OnAnswered();
    }
    const double factor = cold_start.Factor(now);
    RC_ASSERT(factor >= last);
    RC_ASSERT(factor >= ColdStart::kMinFactor && factor <= 1.0);
    last = factor;
  }
}

}  // namespace

}  // namespace bulrushmount

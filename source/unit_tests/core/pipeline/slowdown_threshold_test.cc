// How slow a start an entry accepts, by what owners told of late.

#include "core/pipeline/slowdown_threshold.h"

#include <chrono>
#include <cstdint>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const ServiceName kService("desk");
constexpr std::size_t kEnough = 4;

struct ThresholdCase {
  const char* name;
  // Told by owners 1, 2, ... of a service of four.
  std::vector<double> told;
  Duration age;
  double least;
  double most;
};

class SlowdownThresholdTest : public testing::TestWithParam<ThresholdCase> {};

// Symptom: after a restart of all each call asks four owners in vain before it
// is started. Sequence: all targets are cold and tell twice their usual time;
// an entry accepts half of that more. Cause: what was accepted was measured by
// a warm target, and not by the best there is.
TEST_P(SlowdownThresholdTest, AcceptsWhatIsHardlyWorseThanTheBest) {
  SlowdownThreshold threshold;
  const TimePoint reported_at(10s);
  std::uint64_t owner = 0;
  for (const double slowdown : GetParam().told)
    threshold.OnReported(reported_at, kService, NodeId(++owner), slowdown);
  const double acceptable =
      threshold.Acceptable(reported_at + GetParam().age, kService, kEnough);
  EXPECT_GE(acceptable, GetParam().least);
  EXPECT_LE(acceptable, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Words,
    SlowdownThresholdTest,
    testing::Values(
        ThresholdCase{"Nothing", {}, 0ms, 1.5, 1.5},
        ThresholdCase{"AllCold", {2, 2, 2, 2}, 10ms, 2, 2.3},
        // A disturbed target is not worth a start while another is free.
        ThresholdCase{"OneDisturbed", {4, 1, 1, 1}, 10ms, 1.5, 1.5},
        ThresholdCase{"OneUndisturbed", {4, 4, 4, 1}, 10ms, 1.5, 1.5},
        // The one that was not heard may be better than all others.
        ThresholdCase{"TooFewWords", {4, 4, 4}, 10ms, 1.5, 1.5},
        ThresholdCase{"WordsOfLongAgo", {2, 2, 2, 2}, 400ms, 1.5, 1.5}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(SlowdownThresholdTakenTest, WhatWasTakenIsAcceptedForAMoment) {
  SlowdownThreshold threshold;
  threshold.OnTaken(TimePoint(10s), kService, 3.0);
  EXPECT_EQ(threshold.Acceptable(TimePoint(10s) + 50ms, kService, kEnough),
            3.0);
  EXPECT_EQ(threshold.Acceptable(TimePoint(10s) + 150ms, kService, kEnough),
            1.5);
}

}  // namespace
}  // namespace bulrushmount

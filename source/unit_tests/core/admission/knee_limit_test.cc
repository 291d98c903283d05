// Tests of `core/admission/knee_limit.h`.

#include "core/admission/knee_limit.h"

#include <chrono>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "core/common/random.h"

namespace bulrushmount {
namespace {

constexpr std::uint32_t kSlots = 9;

struct KneeCase {
  const char* name;
  // Ratio of the service time on the congested target to the baseline.
  double congestion_slowdown;
  // Reported with each start.
  double slowdown;
  std::uint32_t limit;
};

class KneeLimitTest : public testing::TestWithParam<KneeCase> {
 protected:
  void Answer(std::uint32_t in_flight, double factor) {
    // Varies by a third around the mean, as requests differ.
    const double spread = 0.67 + 0.66 * m_random.Fraction();
    const double seconds = 0.2 * spread * factor * GetParam().slowdown;
    m_limit.OnAnswer(m_now, {KindName("search"), FromSeconds(seconds),
                             in_flight, GetParam().slowdown});
    m_now += std::chrono::milliseconds(20);
  }

  TimePoint m_now;
  SeededRandomSource m_random{7};
  KneeLimit m_limit;
};

// Guards against lower throughput at full load than just below it: with a knee,
// filling all slots makes each request take 1.7 times as long, and queues grow.
// Without a knee the limit must not give up a fifth of the slots.
TEST_P(KneeLimitTest, StaysBelowAKneeOnlyIfThereIsOne) {
  m_limit.SetSlots(kSlots);
  for (int round = 0; round < 60; ++round) {
    Answer(3, 1.0);
    Answer(kSlots, GetParam().congestion_slowdown);
  }
  EXPECT_EQ(m_limit.limit(), GetParam().limit);
}

INSTANTIATE_TEST_SUITE_P(
    Targets,
    KneeLimitTest,
    testing::Values(KneeCase{"NoKnee", 1.0, 1.0, kSlots},
                    KneeCase{"SlightKnee", 1.1, 1.0, kSlots},
                    KneeCase{"Knee", 1.7, 1.0, 7},
                    KneeCase{"KneeOfADisturbedTarget", 1.7, 7.0, 7},
                    KneeCase{"DisturbanceIsNoKnee", 1.0, 7.0, kSlots}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a service without a knee that gives up a fifth of its slots
// and refuses a third of its calls at full load: requests that call another
// service wait longer for it when all targets are busy, and these waits
// coincide with congested starts.
TEST(KneeLimitWaitsTest, WaitsForOtherServicesAreNoKnee) {
  KneeLimit limit;
  limit.SetSlots(kSlots);
  TimePoint now;
  for (int round = 0; round < 60; ++round) {
    const auto answer = [&](const char* kind, std::uint32_t in_flight,
                            double seconds) {
      limit.OnAnswer(now, {KindName(kind), FromSeconds(seconds), in_flight, 1});
      now += std::chrono::milliseconds(20);
    };
    answer("calls-others", 3, 0.2);
    answer("calls-nobody", 3, 0.2);
    answer("calls-others", kSlots, 0.5);
    answer("calls-nobody", kSlots, 0.21);
  }
  EXPECT_EQ(limit.limit(), kSlots);
}

// Guards against seconds without answers in time after all nodes restart:
// estimates are lost, the load is unchanged, and if targets are filled until a
// knee is detected, it slows down targets that are already cold.
TEST(KneeLimitUnknownTest, StaysBelowTheThresholdWithoutAnEstimate) {
  KneeLimit limit;
  limit.SetSlots(kSlots);
  TimePoint now;
  EXPECT_EQ(limit.limit(), 7U);
  int trials = 0;
  for (int answer = 0; answer < 40; ++answer) {
    const std::uint32_t in_flight = limit.limit();
    trials += in_flight > 7 ? 1 : 0;
    EXPECT_LE(in_flight, 8U);
    limit.OnAnswer(now, {KindName("search"), FromSeconds(0.2), in_flight, 1});
    now += std::chrono::milliseconds(20);
  }
  EXPECT_GE(trials, 3);
  EXPECT_LE(trials, 5);
}

// Trial starts alone must show that there is no knee, and then all slots are
// used.
TEST(KneeLimitUnknownTest, TrialsDetectThatThereIsNoKnee) {
  KneeLimit limit;
  limit.SetSlots(kSlots);
  TimePoint now;
  for (int answer = 0; answer < 150; ++answer) {
    limit.OnAnswer(now,
                   {KindName("search"), FromSeconds(0.2), limit.limit(), 1});
    now += std::chrono::milliseconds(20);
  }
  EXPECT_EQ(limit.limit(), kSlots);
}

TEST(KneeLimitBoundsTest, NeverFallsBelowOneSlot) {
  KneeLimit limit;
  EXPECT_EQ(limit.limit(), 0U);
  limit.SetSlots(1);
  EXPECT_EQ(limit.limit(), 1U);
  EXPECT_EQ(limit.uncongested_limit(), 1U);
}

}  // namespace
}  // namespace bulrushmount

// Tests of `core/admission/start_rate_limiter.h`.

#include "core/admission/start_rate_limiter.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/admission/cold_start_limiter.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

class StartRateLimiterTest : public ::testing::Test {
 protected:
  // Starts as many requests as allowed for `time`; returns their number.
  std::size_t StartAll(Duration time) {
    const TimePoint end = m_now + time;
    std::size_t started = 0;
    for (; m_now < end; m_now += 1ms) {
      while (m_limiter.MayStart(m_now)) {
        m_limiter.OnStarted(m_now);
        ++started;
      }
    }
    return started;
  }

  TimePoint m_now{std::chrono::hours(1)};
  StartRateLimiter m_limiter;
};

TEST_F(StartRateLimiterTest, WithoutARateItIsOpen) {
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(m_limiter.MayStart(m_now));
    m_limiter.OnStarted(m_now);
  }
  EXPECT_EQ(m_limiter.ExpectedWait(m_now, 1000), Duration::zero());
}

struct RateCase {
  const char* name;
  double rate;
  // Starts in 20 s if there are always requests to start.
  std::size_t least;
  std::size_t most;
};

class StartRateTest : public StartRateLimiterTest,
                      public ::testing::WithParamInterface<RateCase> {};

// Guards against a target that gets more or much less than its rate.
TEST_P(StartRateTest, IsKeptAndUsed) {
  m_limiter.SetRate(m_now, GetParam().rate);
  const std::size_t started = StartAll(20s);
  EXPECT_GE(started, GetParam().least);
  EXPECT_LE(started, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(Rates,
                         StartRateTest,
                         ::testing::Values(RateCase{"Zero", 0, 1, 6},
                                           RateCase{"Fraction", 0.5, 9, 11},
                                           RateCase{"Incident", 1.7, 33, 35},
                                           RateCase{"Ten", 10, 198, 206},
                                           RateCase{"Many", 500, 9900, 10260}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

// Guards against a burst that is allowed by each of many changes of the rate.
TEST_F(StartRateLimiterTest, ChangesDoNotAddStarts) {
  std::size_t started = 0;
  for (int change = 0; change < 100; ++change) {
    m_limiter.SetRate(m_now, change % 2 == 0 ? 2 : 4);
    started += StartAll(100ms);
  }
  EXPECT_LE(started, 10 * 4 + 2U);
  EXPECT_GE(started, 10 * 2U);
}

TEST_F(StartRateLimiterTest, RaisedRateAppliesAtOnce) {
  m_limiter.SetRate(m_now, 0);
  StartAll(1s);
  m_limiter.SetRate(m_now, 20);
  EXPECT_GE(StartAll(1s), 18U);
}

TEST_F(StartRateLimiterTest, WithdrawalOpensIt) {
  m_limiter.SetRate(m_now, 0.1);
  StartAll(100ms);
  EXPECT_FALSE(m_limiter.MayStart(m_now));
  m_limiter.SetRate(m_now, std::nullopt);
  EXPECT_TRUE(m_limiter.MayStart(m_now));
}

// Guards against an expected wait that is shorter or longer than the actual
// one.
RC_GTEST_PROP(StartRateLimiterProperty, ExpectedWaitIsTheWait, ()) {
  StartRateLimiter limiter;
  TimePoint now{std::chrono::hours(1)};
  const int rate = *rc::gen::inRange(1, 50);
  limiter.SetRate(now, rate / 4.0);
  for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
    if (limiter.MayStart(now))
      limiter.OnStarted(now);
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
  }
  const auto ahead = static_cast<std::size_t>(*rc::gen::inRange(0, 10));
  const TimePoint expected = now + limiter.ExpectedWait(now, ahead);
  for (std::size_t i = 0; i < ahead; ++i) {
    now += limiter.ExpectedWait(now, 0);
    limiter.OnStarted(now);
  }
  now += limiter.ExpectedWait(now, 0);
  const Duration difference = now > expected ? now - expected : expected - now;
  RC_ASSERT(difference <= std::chrono::microseconds(10));
}

// Guards against a start that only one of two gates admits.
TEST_F(StartRateLimiterTest, CombinedGateNeedsBoth) {
  ColdStartLimiter cold(ColdStartSettings{1.0, 0}, m_now - 10s);
  CombinedStartGate gate(cold, m_limiter);
  EXPECT_TRUE(gate.MayStart(m_now));
  m_limiter.SetRate(m_now, 1);
  gate.OnStarted(m_now);
  EXPECT_FALSE(gate.MayStart(m_now));
  EXPECT_GT(gate.ExpectedWait(m_now, 0), 900ms);
  m_limiter.SetRate(m_now, std::nullopt);
  cold.SetRate(1);
  cold.OnColdReported(m_now, 5s);
  gate.OnStarted(m_now);
  EXPECT_FALSE(gate.MayStart(m_now));
}

}  // namespace
}  // namespace bulrushmount

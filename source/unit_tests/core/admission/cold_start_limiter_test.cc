// Tests of `core/admission/cold_start_limiter.h`.

#include "core/admission/cold_start_limiter.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr double kRate = 11;
// Requests that a cold target tolerates in any second.
constexpr std::size_t kTolerated = 24;
constexpr ColdStartSettings kSettings{1.5, 8};
// Starts of one process among these: the rate times the overage.
constexpr std::size_t kCapacity = 16;

class ColdStartLimiterTest : public ::testing::Test {
 protected:
  // The process started 10 s ago, so no starts of an earlier one count.
  ColdStartLimiterTest() : m_limiter(kSettings, m_now - 10s) {
    m_limiter.SetRate(kRate);
  }

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

  void Verify(Duration cold_time_left) {
    m_limiter.OnVerified(m_now, m_now - 5ms, cold_time_left);
  }

  TimePoint m_now{std::chrono::hours(1)};
  ColdStartLimiter m_limiter;
};

TEST_F(ColdStartLimiterTest, WithoutARateItIsOpen) {
  m_limiter.SetRate(std::nullopt);
  m_limiter.OnColdReported(m_now, 3s);
  EXPECT_TRUE(m_limiter.MayStart(m_now));
  EXPECT_FALSE(m_limiter.NeedsVerification(m_now));
}

// Guards against cold targets that crash by too many requests.
TEST_F(ColdStartLimiterTest, KeepsAColdTargetAtItsRate) {
  m_limiter.OnColdReported(m_now, 3s);
  EXPECT_LE(StartAll(1s), kCapacity);
  EXPECT_LE(StartAll(1s), kCapacity);
}

// Guards against too many starts on a target that becomes cold between two
// reports.
TEST_F(ColdStartLimiterTest, BoundsStartsSinceTheLastVerification) {
  Verify(0ms);
  EXPECT_LE(StartAll(1s), kTolerated);
}

TEST_F(ColdStartLimiterTest, IsOpenWhileItIsVerified) {
  std::size_t started = 0;
  for (int i = 0; i < 100; ++i) {
    Verify(0ms);
    started += StartAll(10ms);
  }
  EXPECT_GT(started, 500U);
}

TEST_F(ColdStartLimiterTest, NeedsVerificationBeforeItCloses) {
  Verify(0ms);
  m_now += 10ms;
  EXPECT_FALSE(m_limiter.NeedsVerification(m_now));
  while (!m_limiter.NeedsVerification(m_now))
    m_limiter.OnStarted(m_now);
  EXPECT_TRUE(m_limiter.MayStart(m_now));
}

// Guards against a restarted owner that exceeds the tolerance because it does
// not know the starts of its previous process.
TEST_F(ColdStartLimiterTest, ANewProcessReservesCapacityForItsPredecessor) {
  ColdStartLimiter limiter(kSettings, m_now);
  limiter.SetRate(kRate);
  limiter.OnColdReported(m_now, 3s);
  std::size_t started = 0;
  for (; limiter.MayStart(m_now); ++started)
    limiter.OnStarted(m_now);
  EXPECT_GT(started, 0U);
  EXPECT_LE(started + kCapacity, kTolerated);
}

TEST_F(ColdStartLimiterTest, WithoutSlackANewProcessWaitsOutTheWindow) {
  ColdStartLimiter limiter({}, m_now);
  limiter.SetRate(kRate);
  limiter.OnColdReported(m_now, 3s);
  EXPECT_FALSE(limiter.MayStart(m_now + 900ms));
  EXPECT_TRUE(limiter.MayStart(m_now + 1100ms));
}

TEST_F(ColdStartLimiterTest, ANewProcessStartsAtOnceAtAWarmTarget) {
  ColdStartLimiter limiter(kSettings, m_now);
  limiter.SetRate(kRate);
  limiter.OnVerified(m_now, m_now - 5ms, 0ms);
  EXPECT_TRUE(limiter.MayStart(m_now));
}

// Guards against refusing requests that the pending answer of the health
// endpoint would allow to start.
TEST_F(ColdStartLimiterTest, ExpectsNoWaitForAVerification) {
  Verify(0ms);
  StartAll(100ms);
  EXPECT_FALSE(m_limiter.MayStart(m_now));
  EXPECT_EQ(m_limiter.ExpectedWait(m_now, 0), Duration::zero());
  m_limiter.OnVerificationFailed(m_now);
  EXPECT_GT(m_limiter.ExpectedWait(m_now, 0), 500ms);
}

TEST_F(ColdStartLimiterTest, ExpectsTheWaitBehindOthersAtAColdTarget) {
  m_limiter.OnColdReported(m_now, 3s);
  EXPECT_EQ(m_limiter.ExpectedWait(m_now, kCapacity - 1), Duration::zero());
  EXPECT_GE(m_limiter.ExpectedWait(m_now, kCapacity), 1s);
  StartAll(100ms);
  EXPECT_GE(m_limiter.ExpectedWait(m_now, 0), 900ms);
  EXPECT_GE(m_limiter.ExpectedWait(m_now, kCapacity), 1900ms);
}

// Guards against reporting a target as full that could start more: entries then
// try several owners for each request.
TEST_F(ColdStartLimiterTest, ReportsTheConcurrencyThatItsRateKeepsBusy) {
  EXPECT_EQ(m_limiter.Concurrency(m_now, 500ms), std::nullopt);
  m_limiter.OnColdReported(m_now, 3s);
  EXPECT_EQ(m_limiter.Concurrency(m_now, 500ms), kCapacity / 2);
  EXPECT_EQ(m_limiter.Concurrency(m_now, 1ms), 1U);
}

// For any sequence of reports, a target that becomes cold at any moment gets no
// more requests within any second from then on than it tolerates, provided that
// its health endpoint is correct and answers within 20 ms.
RC_GTEST_PROP(ColdStartLimiterProperty,
              AColdTargetGetsNoMoreThanItTolerates,
              ()) {
  const TimePoint begin(std::chrono::hours(1));
  ColdStartLimiter limiter(kSettings, begin - 10s);
  limiter.SetRate(kRate);
  const TimePoint cold_from =
      begin + std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
  const Duration cold_for =
      std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
  const Duration delay = std::chrono::milliseconds(*rc::gen::inRange(1, 20));
  const int gap = *rc::gen::inRange(1, 40);
  std::vector<TimePoint> cold_starts;
  std::optional<TimePoint> asked_at;
  for (TimePoint now = begin; now < begin + 6s; now += 1ms) {
    const auto cold_left = [&](TimePoint at) {
      return at < cold_from
                 ? Duration::zero()
                 : std::max(Duration::zero(), cold_from + cold_for - at);
    };
    if (asked_at && now - *asked_at >= delay) {
      limiter.OnVerified(now, *asked_at, cold_left(*asked_at + delay / 2));
      asked_at.reset();
    }
    if (!asked_at && limiter.NeedsVerification(now))
      asked_at = now;
    const auto elapsed =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - begin);
    if (elapsed.count() % gap == 0) {
      for (int burst = 0; burst < 5 && limiter.MayStart(now); ++burst) {
        limiter.OnStarted(now);
        if (cold_left(now) > Duration::zero())
          cold_starts.push_back(now);
      }
    }
  }
  for (std::size_t i = 0; i + kTolerated < cold_starts.size(); ++i)
    RC_ASSERT(cold_starts[i + kTolerated] - cold_starts[i] >= 1s);
}

}  // namespace
}  // namespace bulrushmount

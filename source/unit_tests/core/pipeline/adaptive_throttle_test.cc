// Tests which calls an entry throttles for services of a given capacity.

#include "core/pipeline/adaptive_throttle.h"

#include <algorithm>
#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "core/common/random.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const CallClass kLookups{ServiceName("vault"), KindName("lookup")};
const CallClass kDownloads{ServiceName("vault"), KindName("download")};

// A service that completes one call per `period`, queues a few and refuses all
// others at once.
class ThrottledService {
 public:
  explicit ThrottledService(Duration period) : m_period(period) {}

  void SetPeriod(Duration period) { m_period = period; }

  // One call arrives per `gap`.
  void Play(Duration length, Duration gap) {
    m_sent = 0;
    m_answered = 0;
    m_calls = 0;
    for (const TimePoint end = m_now + length; m_now < end; m_now += gap) {
      ++m_calls;
      if (m_throttle.Admit(m_now, kLookups, m_random))
        Run();
    }
  }

  double sent_share() const { return static_cast<double>(m_sent) / m_calls; }
  int sent() const { return m_sent; }
  int answered() const { return m_answered; }
  int refused() const { return m_sent - m_answered; }
  const AdaptiveThrottle& throttle() const { return m_throttle; }
  TimePoint now() const { return m_now; }

 private:
  void Run() {
    ++m_sent;
    if (m_free_at - m_now > kQueue * m_period) {
      m_throttle.OnRefused(m_now, kLookups);
      return;
    }
    const bool has_room = m_free_at <= m_now;
    m_free_at = std::max(m_free_at, m_now) + m_period;
    ++m_answered;
    m_throttle.OnAnswered(m_now, kLookups, has_room);
  }

  static constexpr int kQueue = 4;

  Duration m_period;
  SeededRandomSource m_random{7};
  AdaptiveThrottle m_throttle;
  TimePoint m_now{1h};
  TimePoint m_free_at;
  int m_calls = 0;
  int m_sent = 0;
  int m_answered = 0;
};

TEST(AdaptiveThrottleTest, SendsAllThatAServiceCanRun) {
  ThrottledService service(10ms);
  service.Play(5s, 20ms);
  EXPECT_EQ(service.sent_share(), 1.0);
}

// Failure: a service that can run half of the offered calls answers fewer than
// that. Every call beyond its capacity is tried at all its owners, because
// entries do not take the results of earlier calls into account.
TEST(AdaptiveThrottleTest, SendsSlightlyMoreThanAServiceCanRun) {
  ThrottledService service(20ms);
  service.Play(2s, 10ms);
  service.Play(10s, 10ms);
  EXPECT_GE(service.answered(), 0.9 * 500);
  EXPECT_LE(service.refused(), 0.2 * service.sent());
}

// A burst is over within seconds; throttling must end sooner than that.
TEST(AdaptiveThrottleTest, SendsAllAgainSoonAfterTheServiceHasRoom) {
  ThrottledService service(100ms);
  service.Play(5s, 10ms);
  EXPECT_GT(service.throttle().RefusedShare(service.now(), kLookups), 0.5);
  service.SetPeriod(1ms);
  service.Play(2s, 10ms);
  service.Play(1s, 10ms);
  EXPECT_EQ(service.sent_share(), 1.0);
}

TEST(AdaptiveThrottleTest, KeepsProbingAServiceThatAnswersNothing) {
  ThrottledService service(1h);
  service.Play(5s, 10ms);
  service.Play(5s, 10ms);
  EXPECT_GE(service.sent_share(), 0.1);
  EXPECT_LE(service.sent_share(), 0.3);
}

TEST(AdaptiveThrottleTest, DoesNotThrottleAFewCalls) {
  ThrottledService service(1h);
  service.Play(30s, 200ms);
  EXPECT_EQ(service.sent_share(), 1.0);
}

TEST(AdaptiveThrottleTest, TracksKindsSeparately) {
  AdaptiveThrottle throttle;
  const TimePoint now{1h};
  for (int call = 0; call < 100; ++call)
    throttle.OnRefused(now, kLookups);
  EXPECT_GT(throttle.RefusedShare(now, kLookups), 0.5);
  EXPECT_EQ(throttle.RefusedShare(now, kDownloads), 0.0);
}

// Failure: a service runs at full capacity, but hardly any request that makes
// two calls to it succeeds. One of the calls is answered and the other refused,
// because each is decided on separately.
TEST(AdaptiveThrottleTest, ConcurrentCallsShareADecision) {
  AdaptiveThrottle throttle;
  SeededRandomSource random(7);
  TimePoint now{1h};
  int split = 0;
  int admitted = 0;
  for (int request = 0; request < 1000; ++request, now += 10ms) {
    for (int call = 0; call < 5; ++call)
      throttle.OnRefused(now, kLookups);
    const bool first = throttle.Admit(now, kLookups, random);
    const bool second = throttle.Admit(now + 3ms, kLookups, random);
    split += first != second ? 1 : 0;
    admitted += first ? 1 : 0;
  }
  EXPECT_EQ(split, 0);
  EXPECT_GT(admitted, 100);
  EXPECT_LT(admitted, 400);
}

}  // namespace
}  // namespace bulrushmount

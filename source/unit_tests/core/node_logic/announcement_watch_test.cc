// Tests of `core/node_logic/announcement_watch.h`.

#include "core/node_logic/announcement_watch.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount::detail {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr Duration kPeriod = 1s;

class AnnouncementWatchTest : public testing::Test {
 protected:
  AnnouncementWatchTest() {
    for (int count = 0; count < 3; ++count) {
      m_now += kPeriod;
      m_watch.OnAnnounced(m_now, true);
    }
  }

  int TakeMissed() {
    int missed = 0;
    while (m_watch.ConsumeMissed(m_now))
      ++missed;
    return missed;
  }

  AnnouncementWatch m_watch;
  TimePoint m_now{1h};
};

TEST_F(AnnouncementWatchTest, SilentTargetIsMissed) {
  m_now += 5 * kPeriod;
  EXPECT_EQ(TakeMissed(), 4);
}

// Guards against a target that counts as gone because its owner was frozen: its
// announcements of that time are still unread.
TEST_F(AnnouncementWatchTest, NothingIsMissedInAPauseOfTheProcess) {
  m_now += 5 * kPeriod;
  m_watch.OnPaused(5 * kPeriod);
  EXPECT_EQ(TakeMissed(), 0);
  m_now += 2 * kPeriod;
  EXPECT_EQ(TakeMissed(), 1);
}

// Guards against a period as long as the pause, by which a crash of the target
// would be detected much later.
TEST_F(AnnouncementWatchTest, PauseIsNoPeriod) {
  m_now += 5 * kPeriod;
  m_watch.OnPaused(5 * kPeriod - 300ms);
  m_watch.OnAnnounced(m_now, true);
  EXPECT_EQ(m_watch.NextCheck(), m_now + 2 * kPeriod);
}

}  // namespace
}  // namespace bulrushmount::detail

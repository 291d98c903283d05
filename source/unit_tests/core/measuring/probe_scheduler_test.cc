// Tests of `core/measuring/probe_scheduler.h` for a single node.

#include "core/measuring/probe_scheduler.h"

#include <gtest/gtest.h>

#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("desk");

class ProbeSchedulerTest : public testing::Test {
 protected:
  ProbeSchedulerTest() {
    m_scheduler.OnContract(m_now, Revision(2), &m_terms);
    m_scheduler.OnTarget(m_now, kService);
    m_scheduler.OnNeed(m_now, ProbeNeed::kIdle);
  }

  std::optional<ProbeOrder> RunUntilOrder(Duration limit) {
    const TimePoint end = m_now + limit;
    while (m_scheduler.NextWakeup() < end) {
      m_now = std::max(m_now, m_scheduler.NextWakeup());
      const auto order = m_scheduler.OnTimer(m_now, m_table);
      m_table.DeliverAll(m_now);
      if (order) {
        return order;
      }
    }
    m_now = end;
    return std::nullopt;
  }

  MeasuringTerms m_terms{{{kService, 1, 1}}};
  SeededRandomSource m_random{1};
  FakeTableService m_table;
  TimePoint m_now{std::chrono::hours(1)};
  ProbeScheduler m_scheduler{NodeId(1), MeasuringSettings(), m_random};
};

TEST_F(ProbeSchedulerTest, OrdersHaveATimeLimitForTheSend) {
  const auto order = RunUntilOrder(seconds(10));
  ASSERT_TRUE(order);
  EXPECT_EQ(order->valid_until, m_now + milliseconds(50));
}

TEST_F(ProbeSchedulerTest, WaitsForTheAnswer) {
  ASSERT_TRUE(RunUntilOrder(seconds(10)));
  EXPECT_FALSE(RunUntilOrder(seconds(10)));
}

TEST_F(ProbeSchedulerTest, DoesNotProbeATargetWithoutNeed) {
  const auto order = RunUntilOrder(seconds(10));
  ASSERT_TRUE(order);
  m_scheduler.OnProbeAnswered(m_now, order->probe);
  // The next probe would be due.
  m_now += seconds(2);
  m_scheduler.OnNeed(m_now, ProbeNeed::kNone);
  EXPECT_FALSE(RunUntilOrder(seconds(60)));
}

TEST_F(ProbeSchedulerTest, DoesNotProbeWithoutTargetOrBudget) {
  m_scheduler.OnTarget(m_now, std::nullopt);
  EXPECT_FALSE(RunUntilOrder(seconds(60)));
  m_scheduler.OnTarget(m_now, kService);
  m_scheduler.OnContract(m_now, Revision(3), nullptr);
  EXPECT_FALSE(RunUntilOrder(seconds(60)));
}

// Guards against a node that returns to an earlier, higher budget when two
// changes arrive in reverse order.
TEST_F(ProbeSchedulerTest, IgnoresAnOlderContract) {
  m_scheduler.OnContract(m_now, Revision(3), nullptr);
  m_scheduler.OnContract(m_now, Revision(2), &m_terms);
  EXPECT_FALSE(RunUntilOrder(seconds(60)));
}

}  // namespace

}  // namespace bulrushmount

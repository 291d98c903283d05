// Tests of `core/measuring/budget_lease.h`: step-by-step sequences with the
// leases of one or two nodes and a table that fails on demand.

#include "core/measuring/budget_lease.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <variant>

#include "core/measuring/share_rows.h"
#include "unit_tests/core/store/fake_table_service.h"

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("desk");
constexpr Duration kTerm = seconds(14);

BudgetLayout Layout(double probes_per_second, std::uint32_t in_flight) {
  return BudgetLayout({kService, probes_per_second, in_flight});
}

class BudgetLeaseTest : public testing::Test {
 protected:
  std::unique_ptr<BudgetLease> MakeLease(std::uint64_t id) {
    auto lease = std::make_unique<BudgetLease>(NodeId(id), kService, m_settings,
                                               m_random, m_now);
    // With more members than slots, slots are released after a turn and not
    // renewed.
    lease->OnFleetSize({.service_members = 5, .members = 5, .services = 1});
    lease->OnBudget(m_now, Revision(1), Layout(1, 1));
    lease->OnNeed(m_now, ProbeNeed::kIdle);
    return lease;
  }

  // Runs one timer, and delivers the reply to its request.
  void Step(BudgetLease& lease) {
    m_now += m_step;
    lease.OnTimer(m_now, TimePoint::min(), m_table);
    m_table.DeliverAll(m_now);
  }

  // Runs until just before the request for the slot: the layout is written and
  // the free slot known.
  void StepToAcquire(BudgetLease& lease) {
    for (int i = 0; i < 3; ++i) {
      Step(lease);
    }
    ASSERT_EQ(lease.state(), LeaseState::kAbsent);
  }

  void Hold(BudgetLease& lease) {
    for (int i = 0; i < 10 && lease.state() != LeaseState::kHeld; ++i) {
      Step(lease);
    }
    ASSERT_EQ(lease.state(), LeaseState::kHeld);
  }

  bool IsSlotTaken() {
    const TableReply reply =
        m_table.table().Apply(TableGet{ShareKeys(kService).Slot(0)});
    return !reply.rows.empty();
  }

  MeasuringSettings m_settings;
  SeededRandomSource m_random{1};
  FakeTableService m_table;
  TimePoint m_now{std::chrono::hours(1)};
  // Longer than any wait between two requests.
  Duration m_step = seconds(2);
};

// Guards against using a slot without a row, or losing a granted one, when the
// answer to the request is lost before or after it took effect. The row must be
// read back.
TEST_F(BudgetLeaseTest, ReadsBackWhenTheAnswerIsLost) {
  for (const auto fault : {TableFault::kAnswerLost, TableFault::kSilent}) {
    m_table.table() = InMemoryTable();
    auto lease = MakeLease(1);
    StepToAcquire(*lease);
    m_table.FailNext(fault);
    Step(*lease);
    EXPECT_EQ(lease->state(), LeaseState::kOutcomeUnknown);
    EXPECT_FALSE(lease->Held());
    Step(*lease);
    const bool has_taken_effect = fault == TableFault::kAnswerLost;
    EXPECT_EQ(lease->Held().has_value(), has_taken_effect);
  }
}

// Guards against probes after the lease has ended: the reply that grants the
// slot waits in a node that is suspended, so the term must count from the
// request and not from the reply.
TEST_F(BudgetLeaseTest, CountsTheTermFromTheRequest) {
  auto lease = MakeLease(1);
  StepToAcquire(*lease);
  m_now += seconds(2);
  const TimePoint requested_at = m_now;
  lease->OnTimer(m_now, TimePoint::min(), m_table);
  m_now += seconds(5);
  m_table.DeliverAll(m_now);
  ASSERT_TRUE(lease->Held());
  EXPECT_LE(lease->Held()->usable_until,
            requested_at + kTerm - m_settings.probe_timeout);
}

// Guards against two probes of one slot within one window: while a request for
// a free slot is delayed, another node takes the slot, probes and releases it,
// and then the request takes effect. The wait before the first probe must count
// from the grant and not from the request.
TEST_F(BudgetLeaseTest, WaitsAWholeWindowAfterTheGrantIsKnown) {
  auto lease = MakeLease(1);
  StepToAcquire(*lease);
  m_now += seconds(2);
  lease->OnTimer(m_now, TimePoint::min(), m_table);
  m_now += seconds(5);
  m_table.DeliverAll(m_now);
  ASSERT_TRUE(lease->Held());
  EXPECT_GE(lease->Held()->usable_from, m_now + seconds(1));
}

// Guards against two nodes that hold one slot: the holder stops without
// releasing it, and another node must wait for the term by the slower of both
// clocks.
TEST_F(BudgetLeaseTest, TakesOverOnlyAfterTermAndMargin) {
  auto holder = MakeLease(1);
  Hold(*holder);
  auto waiter = MakeLease(2);
  Step(*waiter);
  m_step = milliseconds(50);
  const TimePoint first_seen = m_now;
  while (waiter->state() != LeaseState::kHeld) {
    Step(*waiter);
    ASSERT_LT(m_now, first_seen + 3 * kTerm);
  }
  const Duration drift =
      std::chrono::duration_cast<Duration>(kTerm * m_settings.clock_drift);
  EXPECT_GE(m_now, first_seen + kTerm + drift + m_settings.lapse_margin);
}

// Guards against a slot that is unused for a whole term because its holder does
// not release it when its need ends.
TEST_F(BudgetLeaseTest, ReleasesWhenNoLongerNeededAndNothingIsInFlight) {
  auto lease = MakeLease(1);
  Hold(*lease);
  lease->OnNeed(m_now, ProbeNeed::kNone);
  m_now += seconds(2);
  lease->OnTimer(m_now, m_now + seconds(1), m_table);
  m_table.DeliverAll(m_now);
  EXPECT_TRUE(IsSlotTaken());
  Step(*lease);
  EXPECT_FALSE(IsSlotTaken());
  EXPECT_EQ(lease->state(), LeaseState::kAbsent);
}

// Guards against a sum of shares above the smaller budget: a holder under the
// earlier, larger budget has not received the new one, and a node with the new
// one finds a free slot.
TEST_F(BudgetLeaseTest, GrantsNothingWhileASlotOfAnotherBudgetMayBeHeld) {
  auto holder = MakeLease(1);
  holder->OnBudget(m_now, Revision(1), Layout(4, 4));
  Hold(*holder);
  auto informed = MakeLease(2);
  informed->OnBudget(m_now, Revision(2), Layout(2, 2));
  const TimePoint begin = m_now;
  while (informed->state() != LeaseState::kHeld) {
    Step(*informed);
    ASSERT_LT(m_now, begin + 3 * kTerm);
  }
  EXPECT_GE(m_now, begin + kTerm);
}

// Guards against a lagging node that takes slots under an old budget after
// another node has written the new one: grants are conditional on the layout
// row.
TEST_F(BudgetLeaseTest, IsRefusedUnderABudgetOlderThanTheTables) {
  auto lagging = MakeLease(1);
  StepToAcquire(*lagging);
  m_table.table().Apply(
      TableTransact{{},
                    {{ShareKeys(kService).layout(),
                      Encode(LayoutRow{Revision(2), Layout(3, 3)})}},
                    {}});
  for (int i = 0; i < 20; ++i) {
    Step(*lagging);
    EXPECT_NE(lagging->state(), LeaseState::kHeld);
  }
}

// Guards against a release that takes over slots of a later one because it
// treats rows in an unknown format as absent.
TEST_F(BudgetLeaseTest, CountsARowInUnknownFormatAsHeld) {
  const ShareKeys keys(kService);
  for (const std::string& key : {keys.Slot(0), keys.layout()}) {
    m_table.table() = InMemoryTable();
    m_table.table().Apply(TableTransact{{}, {{key, "later form"}}, {}});
    auto lease = MakeLease(1);
    for (int i = 0; i < 20; ++i) {
      Step(*lease);
      EXPECT_NE(lease->state(), LeaseState::kHeld);
    }
  }
}

// Guards against a release that overwrites the budget of a later one: the
// layout row changes to a later format while a slot is held and due for
// renewal.
TEST_F(BudgetLeaseTest, DoesNotOverwriteALayoutInUnknownFormat) {
  auto lease = MakeLease(1);
  lease->OnFleetSize({});
  Hold(*lease);
  const std::string key = ShareKeys(kService).layout();
  m_table.table().Apply(TableTransact{{}, {{key, "later form"}}, {}});
  for (int i = 0; i < 20; ++i) {
    Step(*lease);
  }
  EXPECT_EQ(lease->state(), LeaseState::kAbsent);
  EXPECT_EQ(m_table.table().Apply(TableGet{key}).rows.at(0).value,
            "later form");
}

// If there is a slot for every member, slots are renewed and not released.
TEST_F(BudgetLeaseTest, RenewsWhileNoOtherNodeWaits) {
  auto lease = MakeLease(1);
  lease->OnFleetSize({});
  Hold(*lease);
  for (int i = 0; i < 30; ++i) {
    Step(*lease);
    ASSERT_EQ(lease->state(), LeaseState::kHeld);
  }
  EXPECT_GT(lease->Held()->usable_until, m_now);
}

// Guards against a holder that extends its term by renewals whose outcome is
// unknown: they are sent without an answer, and none has taken effect.
TEST_F(BudgetLeaseTest, IgnoresARenewalOfUnknownOutcome) {
  auto lease = MakeLease(1);
  lease->OnFleetSize({});
  Hold(*lease);
  const TimePoint until = lease->Held()->usable_until;
  m_table.SetFault(TableFault::kSilent);
  for (int i = 0; i < 20 && lease->state() == LeaseState::kHeld; ++i) {
    EXPECT_LE(lease->Held()->usable_until, until);
    Step(*lease);
  }
  EXPECT_EQ(lease->state(), LeaseState::kAbsent);
  EXPECT_LE(m_now, until + m_settings.probe_timeout + seconds(4));
}

}  // namespace

}  // namespace bulrushmount

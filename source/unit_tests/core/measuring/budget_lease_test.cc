// Sequences of one and two nodes' leases, step by step, over a table that
// fails on demand.

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
    // More members than slots: slots are handed on, not renewed.
    lease->OnFleetSize({.service_members = 5, .members = 5, .services = 1});
    lease->OnBudget(m_now, Revision(1), Layout(1, 1));
    lease->OnNeed(m_now, ProbeNeed::kIdle);
    return lease;
  }

  // One timer, and the reply to what it asked.
  void Step(BudgetLease& lease) {
    m_now += m_step;
    lease.OnTimer(m_now, TimePoint::min(), m_table);
    m_table.DeliverAll(m_now);
  }

  // Up to just before the request for the slot: the layout is written and the
  // free slot seen.
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

// Symptom: a slot is used that the table does not know of, or is lost although
// it was granted. Sequence: the answer to the request is lost, before or after
// it took effect. Cause: guessing instead of reading back.
TEST_F(BudgetLeaseTest, ReadsBackWhenTheAnswerIsLost) {
  for (const auto fault : {TableFault::kAnswerLost, TableFault::kSilent}) {
    m_table.table() = InMemoryTable();
    auto lease = MakeLease(1);
    StepToAcquire(*lease);
    m_table.FailNext(fault);
    Step(*lease);
    EXPECT_EQ(lease->state(), LeaseState::kUnsure);
    EXPECT_FALSE(lease->Held());
    Step(*lease);
    const bool has_taken_effect = fault == TableFault::kAnswerLost;
    EXPECT_EQ(lease->Held().has_value(), has_taken_effect);
  }
}

// Symptom: a probe long after the lease ended. Sequence: the reply that grants
// the slot waits in a node that is stopped past the term. Cause: counting the
// term from the reply.
TEST_F(BudgetLeaseTest, CountsTheTermFromBeforeTheRequest) {
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

// Symptom: two probes of one slot within one window. Sequence: a request for a
// free slot is long on its way; meanwhile another node takes the slot, probes
// and releases it; then the request takes effect, since the row is absent
// again. Cause: counting the wait before the first probe from the request.
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

// Symptom: two nodes hold one slot. Sequence: its holder stops without a word;
// another node waits. Cause: taking a slot over before the holder's term is
// over by the slower of both clocks.
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

// Symptom: a slot is lost for a whole term at each hand-over. Sequence: the
// holder's turn ends with its need. Cause: not telling the table.
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

// Symptom: the sum of shares exceeds the smaller budget. Sequence: a holder of
// the earlier, larger budget was not told; a node of the new budget finds a
// free slot beside it. Cause: granting under two layouts.
TEST_F(BudgetLeaseTest, GrantsNothingWhileASlotOfAnotherBudgetMayBeHeld) {
  auto holder = MakeLease(1);
  holder->OnBudget(m_now, Revision(1), Layout(4, 4));
  Hold(*holder);
  auto told = MakeLease(2);
  told->OnBudget(m_now, Revision(2), Layout(2, 2));
  const TimePoint begin = m_now;
  while (told->state() != LeaseState::kHeld) {
    Step(*told);
    ASSERT_LT(m_now, begin + 3 * kTerm);
  }
  EXPECT_GE(m_now, begin + kTerm);
}

// Symptom: a node that lags behind the fleet takes slots by an old budget.
// Sequence: another node has written the new one. Cause: no condition on the
// layout row.
TEST_F(BudgetLeaseTest, GetsNothingByABudgetThatTheTableHasPassed) {
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

// Symptom: releases of different age overrun each other's slots. Sequence: a
// row of a later form stands in the table. Cause: taking what cannot be read
// for absent.
TEST_F(BudgetLeaseTest, CountsARowOfUnknownFormAsHeld) {
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

// Symptom: an old release undoes the budget of a later one. Sequence: the
// layout row takes a later form while a slot is held and due for renewal.
// Cause: taking what cannot be read for absent.
TEST_F(BudgetLeaseTest, LeavesALayoutOfUnknownFormAlone) {
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

// Where every member can have a slot, slots are renewed and never handed on.
TEST_F(BudgetLeaseTest, RenewsWhileNobodyWaits) {
  auto lease = MakeLease(1);
  lease->OnFleetSize({});
  Hold(*lease);
  for (int i = 0; i < 30; ++i) {
    Step(*lease);
    ASSERT_EQ(lease->state(), LeaseState::kHeld);
  }
  EXPECT_GT(lease->Held()->usable_until, m_now);
}

// Symptom: a lease outlives its term in its holder's eyes. Sequence: renewals
// are sent, and no answer comes; none has taken effect. Cause: trusting a
// renewal before it is known.
TEST_F(BudgetLeaseTest, DoesNotTrustARenewalOfUnknownOutcome) {
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

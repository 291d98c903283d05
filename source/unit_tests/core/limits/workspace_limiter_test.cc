// Tests of `core/limits/workspace_limiter.h` with a few connected nodes.

#include "core/limits/workspace_limiter.h"

#include <gtest/gtest.h>

#include "unit_tests/core/limits/limiter_fleet.h"
#include "unit_tests/core/limits/limiter_load.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::uint64_t kSeed = 1;
const WorkspaceName kWorkspace{"paramo"};
const WorkspaceLimits kLimits{100, 50, 40};

class WorkspaceLimiterTest : public testing::Test {
 protected:
  explicit WorkspaceLimiterTest(std::size_t nodes = 7)
      : m_fleet(nodes, kSeed), m_load(m_fleet, kWorkspace, kLimits) {
    m_fleet.SetLimits(kWorkspace, kLimits);
    // Past the grace time of a new home.
    m_fleet.Advance(10s);
  }

  // An entry that is not the workspace's home.
  std::size_t EntryAwayFromHome() const {
    return m_fleet.HomeOf(kWorkspace) == 0 ? 1 : 0;
  }

  LimiterFleet m_fleet;
  LimiterLoad m_load;
};

TEST_F(WorkspaceLimiterTest, RefusesAWorkspaceWithoutLimits) {
  EXPECT_EQ(m_fleet.node(0).TryAdmit(m_fleet.now(), WorkspaceName("none"), 1),
            Reason::kUnknownWorkspace);
  m_fleet.node(0).RemoveWorkspace(m_fleet.now(), kWorkspace);
  EXPECT_EQ(m_load.Call(0), Reason::kUnknownWorkspace);
}

TEST_F(WorkspaceLimiterTest, AdmitsFirstCallsWithoutWaitingForTheHome) {
  for (int call = 0; call < 4; ++call)
    EXPECT_EQ(m_load.Call(EntryAwayFromHome()), Reason::kNone);
}

TEST_F(WorkspaceLimiterTest, AdmitsRareCallsEachTime) {
  for (int call = 0; call < 20; ++call) {
    EXPECT_EQ(m_load.Call(EntryAwayFromHome()), Reason::kNone);
    m_load.Run(call % 2 == 0 ? 9s : 3s, {});
  }
}

// Guards against refusing rare calls of a workspace far below its limit: each
// call is the first one at its entry again, and an allowance that refills only
// at its small part of the rate runs out although the home has deducted every
// call.
TEST_F(WorkspaceLimiterTest, TheAllowanceIsRefilledOnceTheHomeHasDeductedIt) {
  const WorkspaceName workspace("rare");
  const WorkspaceLimits limits{0.5, 4, 10};
  m_fleet.SetLimits(workspace, limits);
  m_fleet.Advance(10s);
  LimiterLoad load(m_fleet, workspace, limits);
  const std::size_t entry = (m_fleet.HomeOf(workspace) + 1) % 7;
  for (int call = 0; call < 40; ++call) {
    EXPECT_EQ(load.Call(entry), Reason::kNone) << "call " << call;
    load.Run(9s, {});
  }
}

TEST_F(WorkspaceLimiterTest, LendsABurstToTheOneEntryThatSeesIt) {
  m_load.Call(EntryAwayFromHome());
  m_fleet.Advance(20ms);
  int admitted = 0;
  for (int call = 0; call < 100; ++call)
    admitted += m_load.Call(EntryAwayFromHome()) == Reason::kNone ? 1 : 0;
  // Half the burst and half the calls in flight are lent in advance; one call
  // is running.
  EXPECT_GE(admitted, 19);
  EXPECT_LE(m_load.meter().worst(), kLimits.burst_units + 4);
}

struct ShareCase {
  std::string name;
  // Calls per second made at each entry.
  std::vector<double> offered;
  // Minimum of calls per second admitted at each entry.
  std::vector<double> expected;
};

class WorkspaceLimiterShareTest
    : public WorkspaceLimiterTest,
      public testing::WithParamInterface<ShareCase> {};

TEST_P(WorkspaceLimiterShareTest, LendsInProportionToDemand) {
  m_load.Run(10s, GetParam().offered);
  m_load.Reset();
  m_load.Run(20s, GetParam().offered);
  for (std::size_t index = 0; index < GetParam().expected.size(); ++index) {
    EXPECT_GE(m_load.admitted(index) / 20, GetParam().expected[index])
        << "entry " << index;
  }
  EXPECT_LE(m_load.admitted() / 20, 103);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    WorkspaceLimiterShareTest,
    testing::Values(
        ShareCase{"OneEntryGetsNearlyAll", {0, 300}, {0, 95}},
        ShareCase{"BelowTheLimitNothingIsRefused",
                  {30, 30, 30, 2},
                  {29.5, 29.5, 29.5, 1.9}},
        ShareCase{"EqualDemand", {100, 100, 100, 100}, {20, 20, 20, 20}},
        ShareCase{"UnequalDemand", {300, 30, 30}, {66, 6, 6}},
        ShareCase{"AllEntries",
                  {50, 50, 50, 50, 50, 50, 50},
                  {11, 11, 11, 11, 11, 11, 11}}),
    [](const auto& test) { return test.param.name; });

TEST_F(WorkspaceLimiterTest, FollowsDemandThatMovesToAnotherEntry) {
  m_load.Run(10s, {90});
  m_load.Run(2s, {0, 90});
  m_load.Reset();
  m_load.Run(10s, {0, 90});
  EXPECT_LE(m_load.refused(), 0.02 * 900);
}

TEST_F(WorkspaceLimiterTest, BoundsCallsInFlightOverAllEntries) {
  LimiterLoad slow(m_fleet, kWorkspace, kLimits, 0.1, 60s);
  // The entries use allowances at first, but never exceed the limit once the
  // home counts their calls.
  slow.Run(30s, {20, 20, 20, 20});
  EXPECT_GE(slow.worst_in_flight(), 36U);
  EXPECT_LE(slow.worst_in_flight(), kLimits.in_flight);
}

TEST_F(WorkspaceLimiterTest, OneEntryMayUseNearlyAllCallsInFlight) {
  LimiterLoad slow(m_fleet, kWorkspace, kLimits, 0.1, 60s);
  slow.Run(10s, {0, 20});
  EXPECT_GE(slow.worst_in_flight(), 38U);
}

TEST_F(WorkspaceLimiterTest, AHeavyCallIsAdmittedAndPaidBack) {
  LimiterLoad heavy(m_fleet, kWorkspace, kLimits, 70);
  heavy.Run(60s, {2, 2});
  // 70 units per call, at 100 units per second.
  EXPECT_GE(heavy.admitted(), 40);
  EXPECT_LE(heavy.admitted(), 60 * 100 / 70 + 4);
}

TEST_F(WorkspaceLimiterTest, LoweredLimitsApplyImmediately) {
  m_load.Run(10s, {100, 100});
  const WorkspaceLimits cut{10, 5, 40};
  m_fleet.SetLimits(kWorkspace, cut);
  m_load.Run(2s, {100, 100});
  m_load.Reset();
  m_load.Run(10s, {100, 100});
  EXPECT_LE(m_load.admitted(), 10 * 10 + 5);
  EXPECT_GE(m_load.admitted(), 10 * 10 * 0.9);
}

// Guards against entries that admit the old burst after an operator has cut a
// limit: an entry has borrowed half a burst under the old contract and uses it
// after the change.
TEST_F(WorkspaceLimiterTest, CreditDoesNotOutliveItsContract) {
  const WorkspaceName workspace("cut");
  const WorkspaceLimits before{100, 100, 1000};
  const WorkspaceLimits after{4, 4, 1000};
  m_fleet.SetLimits(workspace, before);
  m_fleet.Advance(10s);
  LimiterLoad load(m_fleet, workspace, after);
  const std::size_t entry = (m_fleet.HomeOf(workspace) + 1) % 7;
  load.Call(entry);
  m_fleet.Advance(20ms);
  m_fleet.SetLimits(workspace, after);
  load.Reset();
  for (int call = 0; call < 100; ++call)
    load.Call(entry);
  EXPECT_LE(load.admitted(), 4 + 2 + 4);
}

// Guards against refusing half the calls of a workspace whose callers move to
// another entry: the first entry has borrowed half of the in-flight limit and
// keeps that loan until its term ends although it is idle.
TEST_F(WorkspaceLimiterTest, AnIdleEntryReturnsItsLoan) {
  m_load.Call(0);
  m_load.Call(1);
  m_load.Run(10s, {});
  LimiterLoad slow(m_fleet, kWorkspace, kLimits, 0.1, 60s);
  slow.Run(1s, {0, 0, 60});
  EXPECT_GE(slow.admitted(), 38);
}

TEST_F(WorkspaceLimiterTest, OnlyActiveWorkspacesCostMessages) {
  for (int index = 0; index < 200; ++index)
    m_fleet.SetLimits(WorkspaceName("idle" + std::to_string(index)), kLimits);
  const std::uint64_t before = m_fleet.network().sent();
  m_fleet.Advance(60s);
  EXPECT_EQ(m_fleet.network().sent(), before);
  m_load.Call(EntryAwayFromHome());
  m_load.Run(60s, {});
  EXPECT_GT(m_fleet.network().sent(), before);
  const std::uint64_t after = m_fleet.network().sent();
  m_load.Run(60s, {});
  EXPECT_EQ(m_fleet.network().sent(), after);
}

// Guards against 18 datagrams per second and node for workspaces far below
// their limits: an interval that depends only on the number of workspaces makes
// an entry with enough credit send a request every 250 ms.
TEST_F(WorkspaceLimiterTest, AWorkspaceFarBelowItsLimitCostsFewMessages) {
  std::vector<double> rates(7, 0);
  rates[EntryAwayFromHome()] = 2;
  m_load.Run(20s, rates);
  const std::uint64_t before = m_fleet.network().sent();
  m_load.Run(60s, rates);
  EXPECT_EQ(m_load.refused(), 0);
  EXPECT_LE(m_fleet.network().sent() - before, 16U);
}

TEST_F(WorkspaceLimiterTest, ARiseInDemandEndsTheRelaxedPace) {
  std::vector<double> rates(7, 0);
  rates[EntryAwayFromHome()] = 2;
  m_load.Run(20s, rates);
  m_load.Reset();
  rates[EntryAwayFromHome()] = 60;
  m_load.Run(5s, rates);
  EXPECT_GE(m_load.admitted(), 0.98 * 5 * 60);
}

// Guards against refusing calls, or admitting twice the limit, after the home
// of a workspace dies while four entries use the whole limit. The members learn
// of it two seconds later and a new home takes over. Terms that end too early
// leave the entries without credit; without a grace time the new home lends
// again what is still in use.
TEST_F(WorkspaceLimiterTest, TheDeathOfAHomeNeitherStopsNorDoublesAdmission) {
  const std::size_t home = m_fleet.HomeOf(kWorkspace);
  std::vector<double> rates(7, 50);
  rates[home] = 0;
  m_load.Run(20s, rates);
  m_load.Reset();
  m_fleet.Kill(home);
  m_load.Run(2s, rates);
  m_fleet.PublishMembers();
  m_load.Run(10s, rates);
  EXPECT_GE(m_load.admitted(), 0.9 * 12 * 100);
  EXPECT_LE(m_load.meter().worst(), 2 * 100 + 6 * 4);
}

// Guards against an entry that refuses all calls of a workspace while it is
// disconnected from all other nodes: its loans end, its membership has not
// declared the others dead, and an entry that can only use lent credit has none
// left.
TEST_F(WorkspaceLimiterTest, FallsBackToItsPartOfTheLimitWithoutAHome) {
  m_load.Run(10s, {100, 100});
  m_fleet.network().SetSide(EntryAwayFromHome(), 1);
  std::vector<double> rates(7, 0);
  rates[EntryAwayFromHome()] = 100;
  m_load.Run(30s, rates);
  m_load.Reset();
  m_load.Run(30s, rates);
  const double part = 100.0 / 7;
  EXPECT_GE(m_load.admitted() / 30, part * 0.95);
  EXPECT_LE(m_load.admitted() / 30, part * 1.05);
}

// Guards against exceeding a contract after an entry was stopped for minutes:
// it borrows most of the rate, is frozen beyond the term while the home lends
// the same rate to others, and resumes. A loan whose term is checked by a timer
// instead of at each call would still be used.
TEST_F(WorkspaceLimiterTest, AFrozenEntryDoesNotUseAnExpiredLoan) {
  std::vector<double> rates(7, 0);
  rates[EntryAwayFromHome()] = 300;
  m_load.Run(10s, rates);
  m_fleet.network().SetFrozen(EntryAwayFromHome(), true);
  m_load.Run(30s, {50, 50, 50, 50, 50, 50, 50});
  m_load.Reset();
  m_fleet.network().SetFrozen(EntryAwayFromHome(), false);
  // Before its timers run and before any datagram arrives.
  for (int call = 0; call < 200; ++call)
    m_load.Call(EntryAwayFromHome());
  EXPECT_LE(m_load.admitted(EntryAwayFromHome()), 50.0 / 7 + 1);
}

}  // namespace
}  // namespace bulrushmount

// Tests of `core/workspace_limits/fleet_limiter.h` without faults.

#include "core/workspace_limits/fleet_limiter.h"

#include <cmath>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "unit_tests/core/workspace_limits/unit_fleet.h"
#include "unit_tests/core/workspace_limits/unit_load.h"
#include "unit_tests/core/workspace_limits/window_meter.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::uint64_t kSeed = 1;
const WorkspaceLimitsSettings kSettings{5s, 0.1, 20};
const WorkspaceName kWorkspace{"paramo"};

std::vector<double> Everywhere(std::size_t nodes, double total) {
  return std::vector<double>(nodes, total / static_cast<double>(nodes));
}

// A fleet with one limited workspace, past the settling time of its nodes.
class FleetLimiterTest : public testing::Test {
 protected:
  void Start(std::size_t nodes, const WorkspaceRate& rate) {
    m_rate = rate;
    m_fleet = std::make_unique<UnitFleet>(nodes, kSettings, kSeed);
    m_load = std::make_unique<UnitLoad>(*m_fleet, kSeed);
    m_fleet->SetLimits({{kWorkspace, rate}});
    m_fleet->Advance(40s);
  }
  double Capacity() const { return detail::HomeCapacity(kSettings, m_rate); }
  UnitLoad::Tally& tally() { return m_load->TallyOf(kWorkspace); }

  WorkspaceRate m_rate;
  std::unique_ptr<UnitFleet> m_fleet;
  std::unique_ptr<UnitLoad> m_load;
};

// Guards against limits on calls that have none: public routes, workspaces
// without a rate, and documents without workspaces.
TEST_F(FleetLimiterTest, AdmitsUnlimitedCallsWithoutMessages) {
  Start(5, {});
  m_fleet->network().ResetSentCounters();
  for (const char* name : {"", "paramo", "unknown"}) {
    const UnitDecision decision =
        m_fleet->node(0).Admit(m_fleet->now(), CallId(1), WorkspaceName(name));
    EXPECT_EQ(decision.verdict, UnitVerdict::kAdmitted);
    EXPECT_FALSE(decision.lease);
  }
  m_fleet->Advance(1s);
  EXPECT_EQ(m_fleet->network().sent(), 0U);
}

// Guards against a workspace of a single caller that gets only its node's
// share.
TEST_F(FleetLimiterTest, AdmitsABurstAtOneNodeOfALargeFleet) {
  Start(87, {50, 50});
  const std::size_t entry = m_fleet->HomeOf(kWorkspace) == 0 ? 1 : 0;
  for (int call = 0; call < 50; ++call)
    m_load->Call(entry, kWorkspace);
  m_load->Run(100ms);
  EXPECT_EQ(tally().admitted, 50U);
  for (int call = 0; call < 60; ++call)
    m_load->Call(entry, kWorkspace);
  m_load->Run(100ms);
  EXPECT_GT(tally().refused, 0U);
  EXPECT_LE(tally().admitted, Capacity() + 50 * 0.3);
  EXPECT_EQ(tally().admitted + tally().refused, 110U);
}

// Guards against an alone node that waits for other members.
TEST_F(FleetLimiterTest, EnforcesTheLimitOnOneNodeAlone) {
  Start(1, {100, 20});
  m_load->SetSources({{kWorkspace, {500}}});
  m_load->Run(10s);
  EXPECT_GE(tally().admitted, 1000U);
  EXPECT_LE(tally().admitted, 1000 + Capacity() + 2);
  EXPECT_EQ(m_fleet->network().sent(), 0U);
  EXPECT_LE(tally().longest_wait, 1ms);
}

// Guards against calls that a lost datagram holds for longer than stated.
TEST_F(FleetLimiterTest, HoldsCallsForABoundedTime) {
  Start(20, {200, 200});
  m_fleet->network().SetFaults({0.5, 0.1, 1ms, 40ms});
  m_load->SetSources({{kWorkspace, Everywhere(20, 100)}});
  m_load->Run(10s);
  EXPECT_LE(tally().longest_wait, detail::kMaxUnitWait + 2 * UnitFleet::kStep);
  EXPECT_GE(tally().admitted + tally().refused + 20, tally().calls);
}

// Guards against a Retry-After that lets all refused callers return at once, or
// later than they wait.
TEST_F(FleetLimiterTest, SpreadsRetriesOverTheTimeInWhichTheyCanBeServed) {
  Start(20, {20, 20});
  m_load->SetSources({{kWorkspace, Everywhere(20, 180)}});
  m_load->Run(5s);
  EXPECT_GT(tally().refused, 500U);
  EXPECT_GT(tally().longest_retry_after, 1s);
  EXPECT_LE(tally().longest_retry_after, 2s);
}

// Guards against units that are lost with calls which were refused for another
// reason: they did not run, so they do not count.
TEST_F(FleetLimiterTest, GivesBackUnitsOfCallsThatDidNotRun) {
  Start(10, {10, 100});
  const std::size_t entry = m_fleet->HomeOf(kWorkspace) == 0 ? 1 : 0;
  FleetLimiter& limiter = m_fleet->node(entry);
  class Listener : public UnitListener {
   public:
    void OnUnitDecision(TimePoint,
                        CallId,
                        const UnitDecision& decision) override {
      if (decision.verdict != UnitVerdict::kAdmitted)
        ++refused;
      else if (decision.lease)
        leases.push_back(*decision.lease);
    }
    std::vector<UnitLease> leases;
    int refused = 0;
  };
  for (const Duration delay : {Duration(50ms), Duration(400ms)}) {
    Listener listener;
    m_fleet->SetListener(entry, &listener);
    for (int call = 0; call < 95; ++call) {
      const UnitDecision decision =
          limiter.Admit(m_fleet->now(), CallId(call + 1), kWorkspace);
      if (decision.lease)
        listener.leases.push_back(*decision.lease);
    }
    m_fleet->Advance(delay);
    ASSERT_EQ(listener.refused, 0) << ToMilliseconds(delay);
    for (const UnitLease& lease : listener.leases)
      limiter.GiveBack(m_fleet->now(), kWorkspace, lease);
    m_fleet->Advance(300ms);
    m_fleet->SetListener(entry, nullptr);
  }
}

// Guards against a second forward of a request that is not counted.
TEST_F(FleetLimiterTest, CountsRequestsThatAreForwardedTwice) {
  Start(10, {10, 100});
  const std::size_t entry = m_fleet->HomeOf(kWorkspace) == 0 ? 1 : 0;
  for (int call = 0; call < 60; ++call)
    m_fleet->node(entry).TakeOwed(m_fleet->now(), kWorkspace);
  m_fleet->Advance(100ms);
  for (int call = 0; call < 150; ++call)
    m_load->Call(entry, kWorkspace);
  m_load->Run(100ms);
  EXPECT_LE(tally().admitted, Capacity() - 60 + 10 * 0.3);
  EXPECT_GE(tally().admitted, 100U - 60);
}

struct ComparedLoad {
  std::string name;
  std::size_t nodes = 0;
  WorkspaceRate rate;
  // Calls per second over all nodes.
  double demand = 0;
  // Nodes at which the calls arrive.
  std::size_t entries = 0;
  // Smallest part of the calls admitted by the naive limiter that the fleet
  // must admit. It admits less because units granted ahead may expire, and
  // because a call that finds the bucket empty blocks its entry until the next
  // unit is due.
  double share = 0;
};

class ComparedLimiterTest : public testing::TestWithParam<ComparedLoad> {};

// Guards against a fleet that admits more or less than one bucket would.
TEST_P(ComparedLimiterTest, AdmitsWhatOneBucketAdmits) {
  const ComparedLoad& load = GetParam();
  UnitFleet fleet(load.nodes, kSettings, kSeed);
  UnitLoad callers(fleet, kSeed);
  fleet.SetLimits({{kWorkspace, load.rate}});
  fleet.Advance(40s);
  SeededRandomSource random(kSeed);
  NaiveLimiter naive(load.rate, fleet.now());
  std::size_t naive_admitted = 0;
  for (const TimePoint end = fleet.now() + 20s; fleet.now() < end;) {
    callers.Step();
    const double expected = load.demand * ToSeconds(UnitFleet::kStep);
    int calls = static_cast<int>(expected);
    calls += random.Fraction() < expected - calls ? 1 : 0;
    for (int call = 0; call < calls; ++call) {
      callers.Call(random.Index(load.entries), kWorkspace);
      naive_admitted += naive.Admit(fleet.now()) ? 1 : 0;
    }
  }
  callers.Run(100ms);
  const UnitLoad::Tally& tally = callers.TallyOf(kWorkspace);
  EXPECT_GE(tally.admitted, load.share * naive_admitted);
  EXPECT_LE(tally.meter.worst(), WindowBound(kSettings, load.rate));
  EXPECT_EQ(tally.admitted + tally.refused, tally.calls);
  std::printf("%s: calls %zu, naive %zu, fleet %zu\n", load.name.c_str(),
              tally.calls, naive_admitted, tally.admitted);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    ComparedLimiterTest,
    testing::Values(
        ComparedLoad{"below_spread", 87, {170, 170}, 106, 87, 1.0},
        ComparedLoad{"below_one_entry", 87, {170, 170}, 106, 1, 1.0},
        ComparedLoad{"small_spread", 87, {3.2, 3.2}, 2, 87, 0.99},
        ComparedLoad{"at_limit", 87, {100, 100}, 100, 87, 0.97},
        ComparedLoad{"four_times", 87, {170, 170}, 424, 87, 0.97},
        ComparedLoad{"nine_times", 87, {170, 170}, 954, 87, 0.97},
        ComparedLoad{"nine_times_one_entry", 87, {170, 170}, 954, 1, 0.97},
        ComparedLoad{"small_nine_times", 87, {3.2, 3.2}, 18, 87, 0.97},
        ComparedLoad{"three_nodes", 3, {50, 10}, 200, 3, 0.95},
        ComparedLoad{"one_node", 1, {50, 10}, 200, 1, 0.97}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount

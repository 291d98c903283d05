// Tests of the invariant of the measuring budget with generated scenarios of
// several nodes: under any faults, no sliding window and no moment has more
// probes than the reference implementation allows. And a budget that is needed
// is used.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "core/measuring/budget_layout.h"
#include "unit_tests/core/measuring/naive_budget.h"
#include "unit_tests/core/measuring/probe_fleet.h"

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxNodes = 9;
constexpr std::size_t kWaitingNodes = 25;

ServiceMeasuringBudget MakeBudget(double probes_per_second,
                                  std::uint32_t probes_in_flight) {
  return {ServiceName("desk"), probes_per_second, probes_in_flight};
}

NaiveBudget MakeNaiveBudget(const ServiceMeasuringBudget& budget) {
  const BudgetLayout layout(budget);
  return {layout.probes_per_window(), layout.window(), budget.probes_in_flight};
}

enum class Command : std::uint8_t {
  kAdvance,
  kAdvanceLong,
  kFault,
  kClearFault,
  kFreeze,
  kResume,
  kJoin,
  kKill,
  kNeed,
  kHang,
  kChangeBudget,
  kCount,
};

struct Change {
  TimePoint at;
  ServiceMeasuringBudget budget;
};

// One scenario: RapidCheck commands that are applied to a fleet.
class Scenario {
 public:
  Scenario(std::uint64_t seed, const ServiceMeasuringBudget& first)
      : m_fleet(seed, MeasuringSettings()) {
    m_fleet.SetBudget(first, Duration::zero());
    m_changes.push_back({m_fleet.now(), first});
    // Longer than the allowed delay of a probe, so some are dropped.
    m_fleet.SetMaxSendDelay(milliseconds(60));
    for (int i = 0; i < 4; ++i) {
      m_fleet.Join(ProbeNeed::kSuspect);
    }
  }

  void Run(Command command, std::uint32_t amount) {
    const std::size_t node = amount % m_fleet.size();
    switch (command) {
      case Command::kAdvance:
        m_fleet.Advance(milliseconds(50 + amount % 2000));
        return;
      case Command::kAdvanceLong:
        m_fleet.Advance(seconds(1 + amount % 25));
        return;
      case Command::kFault:
        m_fleet.SetFault(static_cast<LinkFault>(1 + amount % 4));
        return;
      case Command::kClearFault:
        m_fleet.SetFault(LinkFault::kNone);
        return;
      case Command::kFreeze:
        m_fleet.Freeze(node);
        return;
      case Command::kResume:
        m_fleet.Resume(node);
        return;
      case Command::kJoin:
        Join();
        return;
      case Command::kKill:
        m_fleet.Kill(node);
        return;
      case Command::kNeed:
        m_fleet.SetNeed(node, static_cast<ProbeNeed>(amount % 4));
        return;
      case Command::kHang:
        m_fleet.SetHangFraction(amount % 3 / 2.0);
        return;
      case Command::kChangeBudget:
        ChangeBudget(amount);
        return;
      case Command::kCount:
        return;
    }
  }

  // Number of probes above the largest budget that may be in force: an earlier
  // one may be until every node has the new one or its leases have expired.
  std::size_t CountOverBudgetInForce() const {
    std::size_t over = 0;
    NaiveBudget naive = MakeNaiveBudget(m_changes[0].budget);
    for (const ProbeRecord& record : m_fleet.Records()) {
      SetLimits(naive, record.sent_at);
      over += naive.Allows(record.sent_at) ? 0 : 1;
      naive.Record(record);
    }
    return over;
  }

  std::size_t probes() const { return m_fleet.Records().size(); }

 private:
  static constexpr Duration kSpread = seconds(5);
  // Term, kSpread, and the time that a node may take to write the new layout.
  static constexpr Duration kTransition = seconds(14 + 5 + 2);

  void Join() {
    if (m_fleet.size() < kMaxNodes) {
      m_fleet.Join(ProbeNeed::kIdle);
    }
  }

  void ChangeBudget(std::uint32_t amount) {
    const auto budget = MakeBudget(1 + amount % 7, 1 + amount / 7 % 5);
    m_changes.push_back({m_fleet.now(), budget});
    m_fleet.SetBudget(budget, kSpread);
  }

  void SetLimits(NaiveBudget& naive, TimePoint time) const {
    std::size_t probes = 0;
    std::size_t in_flight = 0;
    for (std::size_t i = 0; i < m_changes.size(); ++i) {
      const bool is_over =
          i + 1 < m_changes.size() &&
          m_changes[i + 1].at + kTransition < time - seconds(1);
      if (is_over || m_changes[i].at > time) {
        continue;
      }
      const BudgetLayout layout(m_changes[i].budget);
      probes = std::max<std::size_t>(probes, layout.probes_per_window());
      in_flight = std::max<std::size_t>(in_flight, layout.probes_in_flight());
    }
    naive.SetLimits(probes, in_flight);
  }

  ProbeFleet m_fleet;
  std::vector<Change> m_changes;
};

using Commands = std::vector<std::pair<std::uint8_t, std::uint32_t>>;

rc::Gen<Commands> AnyCommands(std::uint8_t end) {
  return rc::gen::container<Commands>(
      rc::gen::pair(rc::gen::inRange<std::uint8_t>(0, end),
                    rc::gen::inRange<std::uint32_t>(0, 10'000)));
}

std::size_t CountOverAfter(const Commands& commands,
                           std::uint64_t seed,
                           const ServiceMeasuringBudget& budget) {
  Scenario scenario(seed, budget);
  scenario.Run(Command::kAdvanceLong, 10);
  for (const auto& [command, amount] : commands) {
    scenario.Run(static_cast<Command>(command), amount);
    scenario.Run(Command::kAdvance, amount);
  }
  scenario.Run(Command::kAdvanceLong, 24);
  RC_CLASSIFY(scenario.probes() >= 50, "50 probes or more");
  return scenario.CountOverBudgetInForce();
}

// Guards against more probes than the budget while the table, nodes and
// messages fail in any order. Causes: a holder that continues after its term, a
// slot that is granted twice, a window with probes of two holders of one slot,
// or a request that takes effect late.
RC_GTEST_PROP(BudgetInvariant, HoldsInEveryScenario, (std::uint64_t seed)) {
  const auto commands =
      *AnyCommands(static_cast<std::uint8_t>(Command::kChangeBudget));
  const auto rate = *rc::gen::inRange(1, 6);
  const auto in_flight = *rc::gen::inRange(1, 6);
  RC_ASSERT(CountOverAfter(commands, seed, MakeBudget(rate, in_flight)) == 0U);
}

// As above, for budgets below one probe a second: the window is longer.
RC_GTEST_PROP(BudgetInvariant, HoldsForRareProbes, (std::uint64_t seed)) {
  const auto commands =
      *AnyCommands(static_cast<std::uint8_t>(Command::kChangeBudget));
  const auto window_seconds = *rc::gen::inRange(2, 9);
  RC_ASSERT(CountOverAfter(commands, seed,
                           MakeBudget(1.0 / window_seconds, 2)) == 0U);
}

// Guards against a sum above both budgets, or a lower budget that never takes
// effect, after changes that reach the nodes at different times among all other
// faults: slots of two layouts must not be granted concurrently.
RC_GTEST_PROP(BudgetInvariant, HoldsWhileBudgetsChange, (std::uint64_t seed)) {
  const auto commands =
      *AnyCommands(static_cast<std::uint8_t>(Command::kCount));
  RC_ASSERT(CountOverAfter(commands, seed, MakeBudget(4, 3)) == 0U);
}

struct UsageCase {
  std::string name;
  std::size_t nodes;
  ServiceMeasuringBudget budget;
  ProbeNeed need;
};

class BudgetUsageTest : public testing::TestWithParam<UsageCase> {};

// A budget that is needed must be used, to at least 70 % of the probes that the
// reference implementation in one process would send.
TEST_P(BudgetUsageTest, IsUsedWhenNeeded) {
  const UsageCase& usage = GetParam();
  ProbeFleet fleet(1, MeasuringSettings());
  fleet.SetBudget(usage.budget, Duration::zero());
  for (std::size_t i = 0; i < usage.nodes; ++i) {
    fleet.Join(usage.need);
  }
  fleet.Advance(seconds(30));
  const std::size_t before = fleet.Records().size();
  fleet.Advance(seconds(300));
  const auto records = fleet.Records();
  const double sent = static_cast<double>(records.size() - before);
  const BudgetLayout layout(usage.budget);
  const double allowed =
      300 / ToSeconds(layout.window()) * layout.probes_per_window();
  EXPECT_GE(sent, 0.7 * allowed);
  EXPECT_EQ(CountOverBudget(records, MakeNaiveBudget(usage.budget)), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Fleets,
    BudgetUsageTest,
    testing::Values(
        UsageCase{"OneNode", 1, MakeBudget(1, 1), ProbeNeed::kIdle},
        UsageCase{"EachNodeASlot", 7, MakeBudget(7, 7), ProbeNeed::kIdle},
        UsageCase{"SlotsRotate", 7, MakeBudget(3, 3), ProbeNeed::kIdle},
        UsageCase{"ManyWait", 25, MakeBudget(5, 5), ProbeNeed::kIdle},
        UsageCase{"FewInFlight", 7, MakeBudget(6, 2), ProbeNeed::kSuspect},
        UsageCase{"OneProbeInTwoSeconds", 4, MakeBudget(0.5, 1),
                  ProbeNeed::kIdle},
        UsageCase{"OneProbeInTenSeconds", 4, MakeBudget(0.1, 1),
                  ProbeNeed::kIdle}),
    [](const auto& info) { return info.param.name; });

// Guards against targets that are not probed for many turns when many nodes
// wait for few slots: a node that just had a slot must not get the next one
// first.
TEST(BudgetUsage, TurnsAreFair) {
  ProbeFleet fleet(5, MeasuringSettings());
  fleet.SetBudget(MakeBudget(5, 5), Duration::zero());
  for (std::size_t i = 0; i < kWaitingNodes; ++i) {
    fleet.Join(ProbeNeed::kIdle);
  }
  fleet.Advance(seconds(1200));
  // With fair turns, a round of all nodes takes five terms of 14 s. The first
  // round begins with the fleet.
  std::vector<TimePoint> last(kWaitingNodes, fleet.now() - seconds(1200));
  Duration longest{};
  for (const ProbeRecord& record : fleet.Records()) {
    longest = std::max(longest, record.sent_at - last[record.node]);
    last[record.node] = record.sent_at;
  }
  EXPECT_LE(longest, seconds(3 * 5 * 14));
}

// Guards against a node without a slot although slots are free: few of many
// targets need probes, and a slot must not be released after a turn if no other
// node waits for it.
TEST(BudgetUsage, KeepsASlotThatNoOtherNodeWaitsFor) {
  ProbeFleet fleet(6, MeasuringSettings());
  fleet.SetBudget(MakeBudget(5, 5), Duration::zero());
  for (int i = 0; i < 25; ++i) {
    fleet.Join(i < 3 ? ProbeNeed::kIdle : ProbeNeed::kNone);
  }
  fleet.Advance(seconds(30));
  const std::size_t before = fleet.Records().size();
  fleet.Advance(seconds(300));
  EXPECT_GE(fleet.Records().size() - before, 0.9 * 3 * 300);
}

// Guards against a disconnected node that keeps probing after the operator
// lowered the budget from four probes to one: the changed layout row must
// prevent its renewals.
TEST(BudgetChange, LimitsAHolderThatIsNotInformed) {
  ProbeFleet fleet(2, MeasuringSettings());
  fleet.SetBudget(MakeBudget(4, 4), Duration::zero());
  for (int i = 0; i < 4; ++i) {
    fleet.Join(ProbeNeed::kIdle);
  }
  fleet.Advance(seconds(20));
  fleet.SetBudget(MakeBudget(1, 1), Duration::zero(), {0, 1});
  fleet.Advance(seconds(17));
  const std::size_t before = fleet.Records().size();
  fleet.Advance(seconds(120));
  auto records = fleet.Records();
  records.erase(records.begin(),
                records.begin() + static_cast<std::ptrdiff_t>(before));
  EXPECT_EQ(CountOverBudget(records, MakeNaiveBudget(MakeBudget(1, 1))), 0U);
  EXPECT_GE(records.size(), 80U);
}

// Guards against probes under the old budget on nodes that have received a
// lower one: a lease must not outlast the budget under which it was granted.
TEST(BudgetChange, LimitsEachNodeWhenItIsInformed) {
  ProbeFleet fleet(3, MeasuringSettings());
  fleet.SetBudget(MakeBudget(4, 4), Duration::zero());
  for (int i = 0; i < 4; ++i) {
    fleet.Join(ProbeNeed::kIdle);
  }
  fleet.Advance(seconds(20));
  fleet.SetBudget(MakeBudget(1, 1), Duration::zero());
  // A probe that was already decided may still be sent.
  fleet.Advance(milliseconds(51));
  const std::size_t before = fleet.Records().size();
  fleet.Advance(seconds(60));
  auto records = fleet.Records();
  records.erase(records.begin(),
                records.begin() + static_cast<std::ptrdiff_t>(before));
  EXPECT_EQ(CountOverBudget(records, MakeNaiveBudget(MakeBudget(1, 1))), 0U);
}

// Guards against a fleet that keeps probing while the table is unavailable:
// leases must expire with their terms.
TEST(BudgetOutage, StopsAllProbesAfterTheTermAndResumesAfterwards) {
  ProbeFleet fleet(4, MeasuringSettings());
  fleet.SetBudget(MakeBudget(3, 3), Duration::zero());
  for (int i = 0; i < 3; ++i) {
    fleet.Join(ProbeNeed::kIdle);
  }
  fleet.Advance(seconds(20));
  fleet.SetFault(LinkFault::kDown);
  fleet.Advance(seconds(15));
  const std::size_t before = fleet.Records().size();
  fleet.Advance(seconds(60));
  EXPECT_EQ(fleet.Records().size(), before);
  fleet.SetFault(LinkFault::kNone);
  fleet.Advance(seconds(30));
  EXPECT_GE(fleet.Records().size(), before + 40);
}

}  // namespace

}  // namespace bulrushmount

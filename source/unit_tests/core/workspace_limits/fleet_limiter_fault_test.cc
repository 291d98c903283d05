// The bound of `core/workspace_limits/fleet_limiter.h` under faults, over
// fleets of up to 87 nodes, and what is still served below the limit.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
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

const WorkspaceLimitsSettings kSettings{5s, 0.1, 20};
constexpr std::size_t kNodes = 87;
constexpr std::size_t kZones = 3;

WorkspaceName NameOf(std::size_t index) {
  return WorkspaceName("w" + std::to_string(index));
}

std::vector<double> Spread(double total) {
  return std::vector<double>(kNodes, total / kNodes);
}

std::vector<std::size_t> EveryNth(std::size_t step) {
  std::vector<std::size_t> indexes;
  for (std::size_t index = 0; index < kNodes; index += step)
    indexes.push_back(index);
  return indexes;
}

// A fleet with some workspaces of the same limit, so that a scenario meets
// several homes.
struct Play {
  Play(const WorkspaceRate& rate, std::size_t workspaces, std::uint64_t seed)
      : rate(rate),
        workspaces(workspaces),
        random(seed),
        fleet(kNodes, kSettings, seed),
        load(fleet, seed) {
    std::vector<NamedRate> rates;
    for (std::size_t index = 0; index < workspaces; ++index)
      rates.push_back({NameOf(index), rate});
    fleet.SetLimits(rates);
    fleet.Advance(40s);
  }

  // Each workspace sends `times` its limit, spread over all entries.
  void SetDemand(double times) {
    std::vector<UnitLoad::Source> sources;
    for (std::size_t index = 0; index < workspaces; ++index)
      sources.push_back({NameOf(index), Spread(times * rate.units_per_second)});
    load.SetSources(std::move(sources));
  }

  std::size_t Home(std::size_t workspace = 0) const {
    return fleet.HomeOf(NameOf(workspace));
  }

  WorkspaceRate rate;
  std::size_t workspaces;
  SeededRandomSource random;
  UnitFleet fleet;
  UnitLoad load;
};

void KillHomes(Play& play) {
  play.load.Run(2s);
  for (std::size_t index = 0; index < play.workspaces; ++index)
    play.fleet.Kill(play.Home(index));
  play.load.Run(12s);
}

void FreezeHomes(Play& play, Duration pause) {
  play.load.Run(2s);
  std::vector<std::size_t> homes;
  for (std::size_t index = 0; index < play.workspaces; ++index)
    homes.push_back(play.Home(index));
  for (const std::size_t home : homes)
    play.fleet.SetFrozen(home, true);
  play.load.Run(pause);
  for (const std::size_t home : homes)
    play.fleet.SetFrozen(home, false);
  play.load.Run(8s);
}

void HomesLeave(Play& play) {
  play.load.Run(2s);
  for (std::size_t index = 0; index < play.workspaces; ++index)
    play.fleet.Leave(play.Home(index));
  play.load.Run(8s);
}

void SplitZone(Play& play) {
  play.load.Run(2s);
  play.fleet.SetSides(EveryNth(kZones), 1);
  play.load.Run(15s);
  play.fleet.SetSides(EveryNth(kZones), 0);
  play.load.Run(10s);
}

// Two zones cannot reach each other, and a third reaches both: the membership
// keeps all members alive.
void CutTwoZones(Play& play) {
  play.load.Run(2s);
  play.fleet.network().SetLinkFilter([](std::size_t from, std::size_t to) {
    return from % kZones != 2 && to % kZones != 2 &&
           from % kZones != to % kZones;
  });
  play.load.Run(15s);
  play.fleet.network().SetLinkFilter(nullptr);
  play.load.Run(5s);
}

void FreezeEntries(Play& play) {
  play.load.Run(2s);
  for (int round = 0; round < 5; ++round) {
    for (std::size_t index = 0; index < kNodes; index += 4)
      play.fleet.SetFrozen(index, true);
    play.load.Run(700ms);
    for (std::size_t index = 0; index < kNodes; index += 4)
      play.fleet.SetFrozen(index, false);
    play.load.Run(700ms);
  }
}

void LoseDatagrams(Play& play, const NetworkFaults& faults) {
  play.fleet.network().SetFaults(faults);
  play.load.Run(15s);
}

void JumpClocks(Play& play) {
  for (int round = 0; round < 4; ++round) {
    play.load.Run(3s);
    play.fleet.JumpClock(round % 2 == 0 ? 400ms : 30s);
  }
  play.load.Run(5s);
}

void RestartMost(Play& play) {
  play.load.Run(2s);
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (index % 5 < 3)
      play.fleet.Kill(index);
  }
  play.load.Run(1s);
  for (std::size_t index = 0; index < kNodes; ++index) {
    if (index % 5 < 3)
      play.fleet.Restart(index);
  }
  play.load.Run(12s);
}

void RestartInTurn(Play& play) {
  for (std::size_t index = 0; index < kNodes; index += 3) {
    play.fleet.Leave(index);
    play.load.Run(300ms);
    play.fleet.Restart(index);
    play.load.Run(200ms);
  }
}

// 35 % of the machines are isolated one by one for 12 s.
void IsolateInTurn(Play& play) {
  play.load.Run(2s);
  const std::size_t count = kNodes * 35 / 100;
  for (std::size_t index = 0; index < count + 24; ++index) {
    if (index < count)
      play.fleet.SetSide(index * 2, static_cast<int>(index) + 1);
    if (index >= 24)
      play.fleet.SetSide((index - 24) * 2, 0);
    play.load.Run(500ms);
  }
  play.load.Run(5s);
}

void IsolateHomes(Play& play) {
  play.load.Run(2s);
  std::vector<std::size_t> homes;
  for (std::size_t index = 0; index < play.workspaces; ++index)
    homes.push_back(play.Home(index));
  for (std::size_t index = 0; index < homes.size(); ++index)
    play.fleet.SetSide(homes[index], static_cast<int>(index) + 1);
  play.load.Run(12s);
  for (const std::size_t home : homes)
    play.fleet.SetSide(home, 0);
  play.load.Run(8s);
}

void MoveBetweenZones(Play& play) {
  for (std::size_t round = 0; round < 6; ++round) {
    std::vector<UnitLoad::Source> sources;
    for (std::size_t index = 0; index < play.workspaces; ++index) {
      std::vector<double> rates(kNodes, 0);
      for (std::size_t entry = round % kZones; entry < kNodes; entry += kZones)
        rates[entry] = play.rate.units_per_second / 1.6 / kNodes * kZones;
      sources.push_back({NameOf(index), std::move(rates)});
    }
    play.load.SetSources(std::move(sources));
    play.load.Run(2s);
  }
}

// One caller bursts at one node after an idle period.
void BurstAfterIdle(Play& play) {
  play.load.SetSources({});
  for (int round = 0; round < 3; ++round) {
    play.load.Run(8s);
    for (std::size_t index = 0; index < play.workspaces; ++index) {
      const std::size_t entry = play.random.Index(kNodes);
      for (int call = 0; call < std::max(1.0, play.rate.burst_units); ++call)
        play.load.Call(entry, NameOf(index));
    }
  }
  play.load.Run(1s);
}

struct Fault {
  std::string name;
  std::function<void(Play&)> run;
  // Smallest part of the calls that must be served when the workspaces send
  // their usual rate, limit / 1.6. Less than all is served where the home is
  // lost: only the reserve is granted until it is declared dead some 4 s later,
  // and a new home starts with an empty bucket. Isolated nodes have only their
  // part of the rate. A bucket without burst is often empty by chance.
  double share = 1.0;
};

struct Case {
  Fault fault;
  WorkspaceRate rate;
  // Demand as a multiple of the limit.
  double demand = 0;
};

std::vector<Case> Cases() {
  const std::vector<Fault> faults = {
      {"none", [](Play& play) { play.load.Run(15s); }, 0.995},
      {"homes_killed", KillHomes, 0.65},
      {"homes_frozen_briefly", [](Play& play) { FreezeHomes(play, 1500ms); },
       0.8},
      {"homes_frozen_long", [](Play& play) { FreezeHomes(play, 6s); }, 0.7},
      {"homes_leave", HomesLeave, 0.8},
      {"homes_isolated", IsolateHomes, 0.7},
      {"zone_split", SplitZone, 0.8},
      {"two_zones_cut", CutTwoZones, 0.9},
      {"entries_frozen", FreezeEntries, 0.75},
      {"datagrams_lost",
       [](Play& play) {
         LoseDatagrams(play, {0.025, 0, 1ms, 3ms});
       },
       0.985},
      {"many_datagrams_lost",
       [](Play& play) {
         LoseDatagrams(play, {0.3, 0, 1ms, 3ms});
       },
       0.6},
      {"datagrams_late_and_repeated",
       [](Play& play) {
         LoseDatagrams(play, {0, 0.5, 1ms, 30ms});
       },
       0.8},
      // Most responses arrive after the calls that waited for them were
      // refused.
      {"datagrams_very_late",
       [](Play& play) {
         LoseDatagrams(play, {0.1, 0.5, 1ms, 300ms});
       },
       0},
      {"clock_jumps", JumpClocks, 0.75},
      {"most_restarted", RestartMost, 0.85},
      {"restarted_in_turn", RestartInTurn, 0.9},
      {"isolated_in_turn", IsolateInTurn, 0.75},
      {"moves_between_zones", MoveBetweenZones, 0.995},
      {"burst_after_idle", BurstAfterIdle, 0.999},
  };
  std::vector<Case> cases;
  for (const Fault& fault : faults) {
    for (const WorkspaceRate& rate :
         {WorkspaceRate{3, 3}, WorkspaceRate{30, 0}, WorkspaceRate{170, 170}}) {
      cases.push_back({fault, rate, 1 / 1.6});
      cases.push_back({fault, rate, 9 / 1.6});
    }
  }
  return cases;
}

class FleetLimiterFaultTest : public testing::TestWithParam<Case> {};

// Guards against a workspace that gets more than its limit because units are
// granted by two homes, used late, or admitted without a home; and against one
// that is refused below its limit.
TEST_P(FleetLimiterFaultTest, KeepsTheBoundAndServesBelowTheLimit) {
  const Case& param = GetParam();
  Play play(param.rate, 6, 7);
  play.SetDemand(param.demand);
  param.fault.run(play);
  play.load.Run(100ms);
  const double bound = WindowBound(kSettings, param.rate);
  std::size_t calls = 0;
  std::size_t admitted = 0;
  std::size_t worst = 0;
  for (std::size_t index = 0; index < play.workspaces; ++index) {
    const UnitLoad::Tally& tally = play.load.TallyOf(NameOf(index));
    EXPECT_LE(tally.meter.worst(), bound);
    worst = std::max(worst, tally.meter.worst());
    calls += tally.calls;
    admitted += tally.admitted;
  }
  const double share =
      static_cast<double>(admitted) / static_cast<double>(calls);
  std::printf("worst %zu of %.0f, served %.4f\n", worst, bound, share);
  if (param.demand < 1) {
    EXPECT_GE(share, param.fault.share);
  }
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         FleetLimiterFaultTest,
                         testing::ValuesIn(Cases()),
                         [](const auto& info) {
                           return info.param.fault.name + "_" +
                                  std::to_string(static_cast<int>(
                                      info.param.rate.units_per_second)) +
                                  (info.param.demand < 1 ? "_below" : "_above");
                         });

// Guards against a lower limit that is not binding, although every node has the
// document, because nodes keep credit or buckets of the earlier one.
TEST(FleetLimiterChangeTest, EnforcesALowerLimitAfterAPartition) {
  constexpr WorkspaceRate before{100, 100};
  constexpr WorkspaceRate after{20, 20};
  Play play(before, 4, 3);
  play.SetDemand(2);
  play.load.Run(3s);
  play.fleet.SetSides(EveryNth(2), 1);
  std::vector<NamedRate> lower;
  for (std::size_t index = 0; index < play.workspaces; ++index)
    lower.push_back({NameOf(index), after});
  for (std::size_t index = 1; index < kNodes; index += 2)
    play.fleet.SetLimitsAt(index, lower);
  play.load.Run(6s);
  play.fleet.SetSides(EveryNth(2), 0);
  // Connected for config_apply_s.
  play.load.Run(2500ms);
  for (std::size_t index = 0; index < kNodes; index += 2)
    play.fleet.SetLimitsAt(index, lower);
  play.load.Run(kSettings.window);
  for (std::size_t index = 0; index < play.workspaces; ++index)
    play.load.TallyOf(NameOf(index)).meter.ResetWorst();
  play.load.Run(10s);
  for (std::size_t index = 0; index < play.workspaces; ++index) {
    EXPECT_LE(play.load.TallyOf(NameOf(index)).meter.worst(),
              WindowBound(kSettings, after));
  }
}

// Guards against a process that is stopped while it holds credit, and uses it
// after it continues, when the same units have been granted to others.
TEST(FleetLimiterCreditTest, UsesNoCreditAfterAPause) {
  UnitFleet fleet(10, kSettings, 1);
  UnitLoad load(fleet, 1);
  const WorkspaceName workspace = NameOf(0);
  fleet.SetLimits({{workspace, {200, 200}}});
  fleet.Advance(40s);
  const std::size_t entry = fleet.HomeOf(workspace) == 0 ? 1 : 0;
  // A steady caller gets credit ahead.
  std::vector<double> rates(10, 0);
  rates[entry] = 150;
  load.SetSources({{workspace, rates}});
  load.Run(2s);
  load.SetSources({});
  load.Run(30ms);
  fleet.SetFrozen(entry, true);
  fleet.Advance(300ms);
  fleet.SetFrozen(entry, false);
  const std::uint64_t sent = fleet.network().sent();
  const UnitDecision decision =
      fleet.node(entry).Admit(fleet.now(), CallId(1), workspace);
  EXPECT_EQ(decision.verdict, UnitVerdict::kHeld);
  EXPECT_GT(fleet.network().sent(), sent);
}

// Guards against an entry that admits its own part of the rate as soon as the
// home is silent, while the home still grants the whole rate to others.
TEST(FleetLimiterSilenceTest, AdmitsItsOwnPartOnlyAfterALongSilence) {
  UnitFleet fleet(10, kSettings, 1);
  UnitLoad load(fleet, 1);
  const WorkspaceName workspace = NameOf(0);
  fleet.SetLimits({{workspace, {100, 100}}});
  fleet.Advance(40s);
  const std::size_t entry = fleet.HomeOf(workspace) == 0 ? 1 : 0;
  std::vector<double> rates(10, 0);
  rates[entry] = 100;
  fleet.SetSide(entry, 1);
  load.SetSources({{workspace, rates}});
  load.Run(2900ms);
  EXPECT_EQ(load.TallyOf(workspace).admitted, 0U);
  load.Run(4100ms);
  // A tenth of the rate for 4 s, less what expires and the time after another
  // member has become the home in the view of the entry.
  EXPECT_GE(load.TallyOf(workspace).admitted, 15U);
  EXPECT_LE(load.TallyOf(workspace).admitted, 41U);
}

// Guards against a restarted node that refuses a burst below the limit, because
// as the new home it does not know that the bucket is full.
TEST(FleetLimiterTakeoverTest, ANewHomeTakesOverTheLevelOfItsPredecessor) {
  constexpr std::size_t count = 60;
  UnitFleet fleet(10, kSettings, 1);
  UnitLoad load(fleet, 1);
  std::vector<NamedRate> rates;
  for (std::size_t index = 0; index < count; ++index)
    rates.push_back({NameOf(index), {10, 200}});
  fleet.SetLimits(rates);
  fleet.Advance(40s);
  fleet.Leave(0);
  fleet.Advance(20s);
  fleet.Restart(0);
  fleet.Advance(2s);
  std::size_t taken_over = 0;
  for (std::size_t index = 0; index < count; ++index) {
    if (fleet.HomeOf(NameOf(index)) != 0)
      continue;
    ++taken_over;
    for (int call = 0; call < 150; ++call)
      load.Call(1, NameOf(index));
    load.Run(100ms);
    EXPECT_EQ(load.TallyOf(NameOf(index)).admitted, 150U);
  }
  EXPECT_GE(taken_over, 2U);
}

// Guards against a restarted node that admits any number of requests of the
// workspaces whose home it is, until it has received the document.
TEST(FleetLimiterTakeoverTest, ANewHomeWithoutADocumentGrantsNothing) {
  constexpr std::size_t count = 60;
  constexpr int calls = 300;
  const WorkspaceRate rate{10, 20};
  UnitFleet fleet(10, kSettings, 1);
  UnitLoad load(fleet, 1);
  std::vector<NamedRate> rates;
  for (std::size_t index = 0; index < count; ++index)
    rates.push_back({NameOf(index), rate});
  fleet.SetLimits(rates);
  fleet.Advance(40s);
  fleet.Leave(0);
  fleet.Advance(20s);
  fleet.RestartWithoutDocument(0);
  fleet.Advance(600ms);
  const double bound = WindowBound(kSettings, rate);
  std::size_t homes = 0;
  for (std::size_t index = 0; index < count; ++index) {
    if (fleet.HomeOf(NameOf(index)) != 0)
      continue;
    ++homes;
    for (int call = 0; call < calls; ++call)
      load.Call(1, NameOf(index));
    load.Run(100ms);
    EXPECT_LE(load.TallyOf(NameOf(index)).admitted, bound);
  }
  EXPECT_GE(homes, 2U);
}

class RecordedResponses : public DatagramPort {
 public:
  void Send(const Endpoint&, DatagramKind, std::string payload) override {
    const auto datagram = DecodeWorkspaceLimits(payload);
    responses.insert(responses.end(), datagram->responses.begin(),
                     datagram->responses.end());
  }
  std::vector<UnitResponse> responses;
};

// Guards against a repeated datagram that takes units again, or gives units
// back again.
TEST(FleetLimiterRepeatTest, CountsARepeatedRequestOnce) {
  TimePoint now{std::chrono::hours(1)};
  SeededRandomSource random(1);
  RecordedResponses port;
  const Peer self{NodeId(1), {"127.0.0.1", 1}};
  const Peer other{NodeId(2), {"127.0.0.1", 2}};
  FleetLimiter limiter({5s, 0, 0}, self, random, port, now);
  WorkspaceName workspace;
  std::vector<NamedRate> rates;
  for (std::size_t index = 0; index < 20; ++index) {
    rates.push_back({NameOf(index), {0.01, 100.5}});
    if (RendezvousHome({self, other}, KeyOf(NameOf(index)).value())->id ==
        self.id)
      workspace = NameOf(index);
  }
  limiter.SetLimits(now, rates);
  limiter.SetMembers(now, {{self}, {other}}, {});
  // The bucket fills within 3 hours.
  for (; now < TimePoint(std::chrono::hours(4)); now += 500ms)
    limiter.OnPeerContact(now);
  const auto send = [&](std::uint64_t number, std::uint32_t wanted,
                        std::uint32_t returned) {
    WorkspaceLimitsDatagram datagram;
    datagram.sender = other.id;
    datagram.requests = {
        {KeyOf(workspace), UnitRequestNumber(number), wanted, 0, 0, returned}};
    limiter.OnDatagram(now, other.gossip,
                       EncodeWorkspaceLimits(datagram).front());
  };
  send(5, 30, 0);
  send(5, 30, 0);
  send(4, 30, 0);
  ASSERT_EQ(port.responses.size(), 2U);
  EXPECT_EQ(port.responses[0], port.responses[1]);
  EXPECT_EQ(port.responses[0].granted, 30U);
  send(6, 200, 10);
  send(6, 200, 10);
  EXPECT_EQ(port.responses.back().granted, 80U);
  send(7, 200, 0);
  EXPECT_EQ(port.responses.back().granted, 0U);
}

std::vector<NamedRate> RankedRates(std::size_t count, double total_calls) {
  constexpr double exponent = 1.2;
  constexpr double headroom = 1.6;
  double weights = 0;
  for (std::size_t rank = 1; rank <= count; ++rank)
    weights += std::pow(static_cast<double>(rank), -exponent);
  std::vector<NamedRate> rates;
  for (std::size_t rank = 1; rank <= count; ++rank) {
    const double calls =
        total_calls * std::pow(static_cast<double>(rank), -exponent) / weights;
    rates.push_back({NameOf(rank), {headroom * calls, headroom * calls}});
  }
  return rates;
}

// Calls of ranked workspaces at their usual rate, `times` it for the largest.
std::vector<UnitLoad::Source> RankedSources(const std::vector<NamedRate>& rates,
                                            double times) {
  std::vector<UnitLoad::Source> sources;
  for (const NamedRate& named : rates) {
    const double factor = sources.empty() ? times : 1;
    sources.push_back(
        {named.workspace, Spread(factor * named.rate.units_per_second / 1.6)});
  }
  return sources;
}

struct RankedCase {
  std::string name;
  double times = 1;
  NetworkFaults faults;
  // Of the node that sends most: the home of the largest workspace.
  double max_bytes_per_second = 0;
};

class RankedLimiterTest : public testing::TestWithParam<RankedCase> {};

// Guards against a large workspace above its limit that costs the others calls,
// and against messages that cost more than a node's bound for control.
TEST_P(RankedLimiterTest, LimitsTheLargestAndServesTheOthers) {
  constexpr double total_calls = 530;
  const std::vector<NamedRate> rates = RankedRates(86, total_calls);
  UnitFleet fleet(kNodes, kSettings, 5);
  UnitLoad load(fleet, 5);
  fleet.SetLimits(rates);
  fleet.Advance(35s);
  fleet.network().SetFaults(GetParam().faults);
  load.SetSources(RankedSources(rates, GetParam().times));
  fleet.network().ResetSentCounters();
  load.Run(15s);
  std::size_t calls = 0;
  std::size_t admitted = 0;
  for (const NamedRate& named : rates) {
    const UnitLoad::Tally& tally = load.TallyOf(named.workspace);
    EXPECT_LE(tally.meter.worst(), WindowBound(kSettings, named.rate));
    const bool is_largest = named.workspace == rates.front().workspace;
    if (is_largest && GetParam().times > 1)
      continue;
    calls += tally.calls;
    admitted += tally.admitted;
  }
  // The bucket of a workspace with a call every few seconds holds several
  // calls, so nearly every call finds a unit; a few are still held at the end,
  // or lost with three datagrams in a row.
  EXPECT_GE(static_cast<double>(admitted), 0.995 * static_cast<double>(calls));
  const auto most = static_cast<double>(fleet.network().MaxWireBytesPerNode());
  const auto all = static_cast<double>(fleet.network().WireBytes());
  EXPECT_LE(most / 15, GetParam().max_bytes_per_second);
  std::printf(
      "calls %zu admitted %zu, %.1f datagrams/s, payload %.1f bytes, per node "
      "and s: %.0f bytes, most %.0f\n",
      calls, admitted, static_cast<double>(fleet.network().sent()) / 15,
      static_cast<double>(fleet.network().sent_bytes()) /
          static_cast<double>(fleet.network().sent()),
      all / 15 / kNodes, most / 15);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    RankedLimiterTest,
    testing::Values(
        RankedCase{"usual", 1, {}, 8000},
        RankedCase{"largest_four_times", 4, {}, 16'000},
        RankedCase{"largest_nine_times", 9, {}, 16'000},
        RankedCase{"nine_times_with_loss", 9, {0.025, 0, 1ms, 3ms}, 24'000}),
    [](const auto& info) { return info.param.name; });

// Guards against idle workspaces that cost messages: only calls may.
TEST(FleetLimiterIdleTest, SendsNothingForIdleWorkspaces) {
  std::vector<NamedRate> rates = RankedRates(2000, 1000);
  UnitFleet fleet(kNodes, kSettings, 5);
  UnitLoad load(fleet, 5);
  fleet.SetLimits(rates);
  fleet.Advance(35s);
  EXPECT_EQ(fleet.network().sent(), 0U);
  load.Call(3, NameOf(100));
  load.Run(10s);
  EXPECT_LE(fleet.network().sent(), 2U);
  EXPECT_EQ(load.TallyOf(NameOf(100)).admitted, 1U);
}

}  // namespace
}  // namespace bulrushmount

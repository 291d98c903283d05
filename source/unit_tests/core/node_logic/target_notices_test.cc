// Tests fleets whose targets name a request rate in their answers, change or
// withdraw it, or announce there that they are leaving.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/common/random.h"
#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::CallerView;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeed = 20261203;
constexpr std::size_t kNodes = 5;
constexpr double kCallsPerSecond = 80;
constexpr char kWorkspace[] = "paramo";
constexpr char kService[] = "desk";
constexpr Duration kServiceTime = 30ms;
// A refusal that takes longer has waited at a node.
constexpr Duration kPromptly = 400ms;

constexpr char kContract[] = R"(workspace: paramo
services:
  - name: desk
    kinds:
      - name: browse
        method: "*"
        path: /
        repeatable: true
        weight: 1
        deadline: 800ms
        objective: {fraction: 0.99, within: 200ms}
limits: {units_per_second: 100000, burst_units: 100000, in_flight: 10000}
share: 1
key_retention: 24h
)";

TargetNotice Limit(double per_second) {
  TargetNotice notice;
  notice.rate_limit = per_second;
  return notice;
}

TargetNotice Leaving() {
  TargetNotice notice;
  notice.is_leaving = true;
  return notice;
}

// A fleet under a constant load from all entries.
class LoadedFleet {
 public:
  explicit LoadedFleet(std::uint64_t seed)
      : m_fleet(Options(), seed), m_random(seed) {
    m_fleet.WriteContract(kWorkspace, kContract);
    m_fleet.Run(8s);
    SetServiceTimes(kServiceTime);
  }

  void SetServiceTimes(Duration service_time) {
    for (std::size_t node = 0; node < kNodes; ++node)
      m_fleet.SetServiceTime(node, service_time);
  }

  Fleet& fleet() { return m_fleet; }

  void Play(Duration length) {
    const TimePoint end = m_fleet.now() + length;
    while (m_fleet.now() < end) {
      m_fleet.Run(FromSeconds(2 * m_random.Fraction() / kCallsPerSecond));
      m_fleet.Send(m_random.Index(kNodes),
                   m_fleet.MakeHead(kWorkspace, "GET", "/scripts"));
    }
  }

  void SetNoticeOfAll(const TargetNotice& notice) {
    for (std::size_t node = 0; node < kNodes; ++node)
      m_fleet.SetNotice(node, notice);
  }

  std::string Violations() const {
    return fmt::format("{}", fmt::join(m_fleet.notices().Violations(), "\n"));
  }

  std::size_t RunsSince(std::size_t node, TimePoint begin) const {
    return m_fleet.notices().CountRuns(node, begin);
  }

  SeededRandomSource& random() { return m_random; }

 private:
  static FleetOptions Options() {
    FleetOptions options;
    options.services.assign(kNodes, kService);
    options.keeps_addresses = true;
    // An owner that has restarted takes its target for cold.
    options.settings.warmup = 1s;
    return options;
  }

  Fleet m_fleet;
  SeededRandomSource m_random;
};

struct Disturbance {
  std::string name;
  std::function<void(LoadedFleet&)> apply;
};

void PrintTo(const Disturbance& disturbance, std::ostream* out) {
  *out << disturbance.name;
}

class TargetNoticesUnderFaults : public ::testing::TestWithParam<Disturbance> {
};

const Disturbance kDisturbances[] = {
    {"None", [](LoadedFleet&) {}},
    {"OwnerRestarts", [](LoadedFleet& load) { load.fleet().Kill(0); }},
    {"OwnerFreezes",
     [](LoadedFleet& load) {
       load.fleet().Freeze(0);
       load.Play(700ms);
       load.fleet().Resume(0);
     }},
    {"OwnerCutFromGossip",
     [](LoadedFleet& load) {
       load.fleet().SetGossipLost(0, true);
       load.Play(1s);
       load.fleet().SetGossipLost(0, false);
     }},
    {"EntryRestarts", [](LoadedFleet& load) { load.fleet().Kill(1); }},
    {"EntryFreezes",
     [](LoadedFleet& load) {
       load.fleet().Freeze(1);
       load.Play(700ms);
       load.fleet().Resume(1);
     }},
    {"AllRestart", [](LoadedFleet& load) { load.fleet().RestartAll(300ms); }},
    {"OwnerRestartsRepeatedly",
     [](LoadedFleet& load) {
       for (int restart = 0; restart < 4; ++restart) {
         load.fleet().Kill(0);
         load.Play(600ms);
       }
     }},
    {"OwnerFreezesWithQueuedWork",
     [](LoadedFleet& load) {
       load.SetServiceTimes(10 * kServiceTime);
       load.Play(500ms);
       load.fleet().Freeze(0, 3);
       load.Play(1s);
       load.fleet().Resume(0);
       load.SetServiceTimes(kServiceTime);
     }},
};

INSTANTIATE_TEST_SUITE_P(Faults,
                         TargetNoticesUnderFaults,
                         ::testing::ValuesIn(kDisturbances),
                         [](const auto& info) { return info.param.name; });

// Guards against a target that gets more than the rate that it has named, and
// against one that is no longer used because it has named one.
TEST_P(TargetNoticesUnderFaults, LimitedTargetGetsItsRateAndNoMore) {
  constexpr double rate = 3;
  LoadedFleet load(kSeed);
  load.fleet().SetNotice(0, Limit(rate));
  load.Play(5s);
  for (int repeat = 0; repeat < 3; ++repeat) {
    GetParam().apply(load);
    load.Play(3s);
  }
  EXPECT_EQ(load.Violations(), "");
  // A limited target has few answers from which entries learn that it is no
  // longer slow.
  const TimePoint calm_since = load.fleet().now() + 8s;
  load.Play(16s);
  EXPECT_GE(load.RunsSince(0, calm_since), 8 * rate * 0.7);
  EXPECT_EQ(load.Violations(), "");
}

// Guards against requests to a target that has announced in its answers that it
// is leaving, although it still announces itself to its owner.
TEST_P(TargetNoticesUnderFaults, LeavingTargetGetsNoRequests) {
  LoadedFleet load(kSeed);
  load.fleet().SetNotice(0, Leaving());
  load.Play(2s);
  for (int repeat = 0; repeat < 3; ++repeat) {
    GetParam().apply(load);
    load.Play(3s);
  }
  EXPECT_EQ(load.Violations(), "");
}

// Guards against a limit that outlives its withdrawal or a change.
TEST_P(TargetNoticesUnderFaults, ChangedAndWithdrawnLimitsAreFollowed) {
  LoadedFleet load(kSeed);
  load.fleet().SetNotice(0, Limit(2));
  load.Play(4s);
  GetParam().apply(load);
  load.Play(2s);
  load.fleet().SetNotice(0, Limit(8));
  load.Play(2s);
  const TimePoint raised_at = load.fleet().now();
  load.Play(5s);
  EXPECT_GE(load.RunsSince(0, raised_at), 5 * 8 * 0.6);
  load.fleet().SetNotice(0, Limit(1));
  GetParam().apply(load);
  load.Play(8s);
  EXPECT_EQ(load.Violations(), "");
  load.fleet().SetNotice(0, TargetNotice());
  load.Play(4s);
  const TimePoint withdrawn_at = load.fleet().now();
  load.Play(5s);
  // A fifth of the load.
  EXPECT_GE(load.RunsSince(0, withdrawn_at), 5 * kCallsPerSecond / kNodes / 2);
}

// Guards against calls that wait until their deadline although no target has
// room within its limit, and against targets that stay idle then.
TEST(TargetNoticesTest, RefusesPromptlyWhileAllTargetsAreLimited) {
  constexpr double rate = 4;
  LoadedFleet load(kSeed);
  load.SetNoticeOfAll(Limit(rate));
  load.Play(4s);
  const TimePoint begin = load.fleet().now();
  const std::size_t first = load.fleet().calls().size();
  load.Play(10s);
  EXPECT_EQ(load.Violations(), "");
  for (std::size_t node = 0; node < kNodes; ++node)
    EXPECT_GE(load.RunsSince(node, begin), 10 * rate * 0.8) << node;
  std::size_t refused = 0;
  for (std::size_t i = first; i < load.fleet().calls().size(); ++i) {
    const CallerView& call = load.fleet().calls()[i];
    if (call.outcome != Outcome::kNotRun)
      continue;
    ++refused;
    EXPECT_LE(call.answered_at - call.sent_at, kPromptly) << call.request_id;
  }
  EXPECT_GT(refused, 0U);
}

// Guards against a leaving target that gets requests from each entry until it
// has relayed an answer itself.
TEST(TargetNoticesTest, LeavingTargetGetsNothingFromOtherEntriesEither) {
  LoadedFleet load(kSeed);
  load.fleet().SetNotice(0, Leaving());
  const TimePoint stated_at = load.fleet().now();
  // Entry 2 is in the zone of target 0.
  const bool is_run = load.fleet().RunUntil(
      [&] {
        load.fleet().Send(2,
                          load.fleet().MakeHead(kWorkspace, "GET", "/scripts"));
        return load.RunsSince(0, stated_at) > 0;
      },
      5s);
  ASSERT_TRUE(is_run);
  load.fleet().Run(100ms);
  const TimePoint known_at = load.fleet().now();
  load.Play(3s);
  EXPECT_EQ(load.RunsSince(0, known_at), 0U);
}

// Guards against a limit of 0 that is never seen to be withdrawn, because
// without requests there are no answers.
TEST(TargetNoticesTest, LimitOfZeroCanBeWithdrawn) {
  LoadedFleet load(kSeed);
  load.SetNoticeOfAll(Limit(0));
  load.Play(10s);
  EXPECT_EQ(load.Violations(), "");
  load.SetNoticeOfAll(TargetNotice());
  load.Play(6s);
  const TimePoint begin = load.fleet().now();
  load.Play(5s);
  for (std::size_t node = 0; node < kNodes; ++node)
    EXPECT_GE(load.RunsSince(node, begin), 5 * kCallsPerSecond / kNodes / 2);
}

// Guards against a process that is taken for its predecessor: a new process of
// a target is neither limited nor leaving.
TEST(TargetNoticesTest, NewProcessIsNotBoundByNoticesOfTheEarlierOne) {
  LoadedFleet load(kSeed);
  load.fleet().SetNotice(0, Leaving());
  load.fleet().SetNotice(1, Limit(1));
  load.Play(3s);
  load.fleet().CrashTarget(0);
  load.fleet().CrashTarget(1);
  load.Play(15s);
  const TimePoint begin = load.fleet().now();
  load.Play(5s);
  for (const std::size_t node : {0U, 1U})
    EXPECT_GE(load.RunsSince(node, begin), 5 * kCallsPerSecond / kNodes / 2);
}

// Guards against combinations of notices and faults that no other test plays.
std::string PlayHistory(std::uint64_t seed) {
  LoadedFleet load(seed);
  SeededRandomSource& random = load.random();
  for (int step = 0; step < 12; ++step) {
    const std::size_t node = random.Index(kNodes);
    switch (random.Index(8)) {
      case 0:
      case 1:
        load.fleet().SetNotice(node, Limit(0.5 + 10 * random.Fraction()));
        break;
      case 2:
        load.SetNoticeOfAll(Limit(0.5 + 5 * random.Fraction()));
        break;
      case 3:
        load.fleet().SetNotice(node, TargetNotice());
        break;
      case 4:
        load.fleet().SetNotice(node, Leaving());
        break;
      case 5:
        load.fleet().CrashTarget(node);
        break;
      default:
        kDisturbances[random.Index(std::size(kDisturbances))].apply(load);
        break;
    }
    load.Play(FromSeconds(0.2 + 3 * random.Fraction()));
  }
  load.Play(5s);
  return load.Violations();
}

RC_GTEST_PROP(TargetNoticesHistories, KeepTheGuarantees, (std::uint64_t seed)) {
  RC_ASSERT(PlayHistory(seed) == "");
}

// Guards against requests to a target that is leaving, seconds after their
// entry relayed that.
TEST(TargetNoticesHistories, HistoryOfSeed2646723KeepsTheGuarantees) {
  EXPECT_EQ(PlayHistory(2646723), "");
}

}  // namespace
}  // namespace bulrushmount

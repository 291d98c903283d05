// Tests a fleet in which one target was slow for some seconds.
//
// Load: so low that other targets are always idle, which is when the slow one
// gets the fewest requests from which its speed could be learnt again.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeeds = 8;
constexpr char kWorkspace[] = "paramo";
constexpr Duration kServiceTime = 30ms;
constexpr int kSlowdown = 20;
constexpr Duration kSlowTime = 2s;
// Time after which a target that has recovered must be used again.
constexpr Duration kRecoveryTime = 4s;
constexpr Duration kMeasured = 5s;

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

struct RecoveryCase {
  const char* name;
  std::size_t nodes;
  double calls_per_second;
};

class RecoveredTargetTest : public ::testing::TestWithParam<RecoveryCase> {
 protected:
  static FleetOptions Options() {
    FleetOptions options;
    options.services.assign(GetParam().nodes, "desk");
    options.settings.warmup = 1s;
    return options;
  }

  static void Play(Fleet& fleet, SeededRandomSource& random, Duration length) {
    const TimePoint end = fleet.now() + length;
    while (fleet.now() < end) {
      fleet.Run(
          FromSeconds(2 * random.Fraction() / GetParam().calls_per_second));
      fleet.Send(random.Index(GetParam().nodes),
                 fleet.MakeHead(kWorkspace, "GET", "/scripts"));
    }
  }

  // Returns the requests that the target got after it had recovered.
  static std::size_t RunsAfterRecovery(std::uint64_t seed) {
    Fleet fleet(Options(), seed);
    SeededRandomSource random(seed);
    fleet.WriteContract(kWorkspace, kContract);
    fleet.Run(8s);
    for (std::size_t node = 0; node < GetParam().nodes; ++node)
      fleet.SetServiceTime(node, kServiceTime);
    Play(fleet, random, 4s);
    fleet.SetServiceTime(0, kSlowdown * kServiceTime);
    Play(fleet, random, kSlowTime);
    fleet.SetServiceTime(0, kServiceTime);
    Play(fleet, random, kRecoveryTime);
    const TimePoint recovered_at = fleet.now();
    Play(fleet, random, kMeasured);
    return fleet.notices().CountRuns(0, recovered_at);
  }
};

// Guards against a target that gets hardly any requests for 40 s after it was
// slow for 2 s, although it is idle and as fast as the others.
TEST_P(RecoveredTargetTest, GetsItsShareAgain) {
  const double share = ToSeconds(kMeasured) * GetParam().calls_per_second /
                       static_cast<double>(GetParam().nodes);
  std::size_t runs = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    runs += RunsAfterRecovery(seed);
  EXPECT_GE(static_cast<double>(runs), kSeeds * share / 2);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    RecoveredTargetTest,
    ::testing::Values(RecoveryCase{"FewCalls", 5, 40},
                      RecoveryCase{"SomeCalls", 5, 80},
                      RecoveryCase{"ManyCalls", 5, 300},
                      RecoveryCase{"LargerFleet", 20, 200}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

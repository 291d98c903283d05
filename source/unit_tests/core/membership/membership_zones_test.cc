// Compares a fleet that distinguishes availability zones with one that does
// not: bytes between zones, and the time until all members know of a failure.
// Runs in virtual time.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "unit_tests/core/membership/member_network.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 45;
constexpr std::size_t kZones = 3;
constexpr std::uint64_t kSeeds = 24;
// Twice the standard error of the difference between the means of two samples
// of this size, in seconds; single times scatter by about 0.35 s.
constexpr double kScatter = 0.2;

std::unique_ptr<MemberNetwork> MakeNetwork(std::uint64_t seed,
                                           std::size_t zones,
                                           bool distinguishes_zones,
                                           std::size_t nodes = kNodes) {
  MembershipSettings settings;
  if (!distinguishes_zones) {
    settings.other_zone_interval = 0;
  }
  auto network = std::make_unique<MemberNetwork>(seed, settings);
  for (std::size_t i = 0; i < nodes; ++i) {
    network->Add("west", "zone-" + std::to_string(i % zones),
                 {i == 0 ? 0 : i - 1});
  }
  return network;
}

// Whether all running nodes in `observers` have `subject` in a live state, or
// all of them have not.
bool AllAgree(MemberNetwork& network,
              const std::vector<std::size_t>& subjects,
              bool is_live) {
  for (std::size_t observer = 0; observer < network.size(); ++observer) {
    for (const std::size_t subject : subjects) {
      if (network.IsUp(observer) &&
          IsLive(network.StateAt(observer, subject)) != is_live) {
        return false;
      }
    }
  }
  return true;
}

std::vector<std::size_t> MembersOfZone(std::size_t zone) {
  std::vector<std::size_t> members;
  for (std::size_t node = zone; node < kNodes; node += kZones) {
    members.push_back(node);
  }
  return members;
}

void StartAndSettle(MemberNetwork& network) {
  std::vector<std::size_t> all;
  for (std::size_t node = 0; node < network.size(); ++node) {
    all.push_back(node);
  }
  ASSERT_TRUE(network.RunUntil([&] { return AllAgree(network, all, true); },
                               seconds(60)));
  network.Run(seconds(15));
}

double SecondsUntil(MemberNetwork& network,
                    const std::vector<std::size_t>& subjects,
                    bool is_live) {
  const TimePoint start = network.now();
  EXPECT_TRUE(network.RunUntil(
      [&] { return AllAgree(network, subjects, is_live); }, seconds(60)));
  return ToSeconds(network.now() - start);
}

// --- The time until all know of a failure ------------------------------------

// Each returns the time in seconds for one seed.
using Scenario = double (*)(MemberNetwork& network, std::uint64_t seed);

double MemberDies(MemberNetwork& network, std::uint64_t seed) {
  const std::size_t node = seed % kNodes;
  network.Kill(node);
  return SecondsUntil(network, {node}, false);
}

double MemberDiesWithLoss(MemberNetwork& network, std::uint64_t seed) {
  network.SetLoss(0.025);
  network.Run(seconds(5));
  return MemberDies(network, seed);
}

void SeparateFirstZones(MemberNetwork& network) {
  for (const std::size_t one : MembersOfZone(0)) {
    for (const std::size_t other : MembersOfZone(1)) {
      network.BreakPath(one, other);
    }
  }
}

// The first two zones cannot reach each other, only the third. A member of the
// first one dies.
double MemberDiesWhileZonesAreSeparated(MemberNetwork& network,
                                        std::uint64_t seed) {
  SeparateFirstZones(network);
  network.Run(seconds(12));
  const std::size_t node = MembersOfZone(0)[seed % MembersOfZone(0).size()];
  network.Kill(node);
  return SecondsUntil(network, {node}, false);
}

double ZoneDies(MemberNetwork& network, std::uint64_t seed) {
  const std::vector<std::size_t> zone = MembersOfZone(seed % kZones);
  for (const std::size_t node : zone) {
    network.Kill(node);
  }
  return SecondsUntil(network, zone, false);
}

double ZoneReturns(MemberNetwork& network, std::uint64_t seed) {
  const std::vector<std::size_t> zone = MembersOfZone(seed % kZones);
  for (const std::size_t node : zone) {
    network.SetSide(node, 1);
  }
  network.Run(seconds(12));
  for (const std::size_t node : zone) {
    network.SetSide(node, 0);
  }
  std::vector<std::size_t> all;
  for (std::size_t node = 0; node < kNodes; ++node) {
    all.push_back(node);
  }
  return SecondsUntil(network, all, true);
}

struct FailureCase {
  const char* name;
  Scenario scenario;
};

class MembershipZonesTest : public testing::TestWithParam<FailureCase> {};

struct Times {
  double mean = 0;
  // Exceeded by one in six.
  double late = 0;
};

Times Measure(Scenario scenario, bool distinguishes_zones) {
  Times times;
  std::vector<double> sorted;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto network = MakeNetwork(seed, kZones, distinguishes_zones);
    StartAndSettle(*network);
    const double time = scenario(*network, seed);
    times.mean += time / kSeeds;
    sorted.push_back(time);
  }
  std::sort(sorted.begin(), sorted.end());
  times.late = sorted[kSeeds * 5 / 6];
  return times;
}

// Guards against members that learn of a failure later because less is sent
// between zones.
TEST_P(MembershipZonesTest, AllKnowNoLaterThanWithoutZones) {
  const Times before = Measure(GetParam().scenario, false);
  const Times after = Measure(GetParam().scenario, true);
  RecordProperty("mean_ms_without_zones", static_cast<int>(before.mean * 1e3));
  RecordProperty("mean_ms", static_cast<int>(after.mean * 1e3));
  EXPECT_LE(after.mean, before.mean + kScatter);
  EXPECT_LE(after.late, before.late + 2 * kScatter);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    MembershipZonesTest,
    testing::Values(FailureCase{"MemberDies", MemberDies},
                    FailureCase{"MemberDiesWithLoss", MemberDiesWithLoss},
                    FailureCase{"MemberDiesWhileZonesAreSeparated",
                                MemberDiesWhileZonesAreSeparated},
                    FailureCase{"ZoneDies", ZoneDies},
                    FailureCase{"ZoneReturns", ZoneReturns}),
    [](const auto& info) { return info.param.name; });

// Guards against an idle fleet that costs as much between zones as within them.
TEST(MembershipTrafficTest, IdleFleetSendsLittleBetweenZones) {
  std::size_t bytes[2] = {};
  for (const bool distinguishes_zones : {false, true}) {
    const auto network = MakeNetwork(1, kZones, distinguishes_zones);
    StartAndSettle(*network);
    const std::size_t before = network->bytes_between_zones();
    network->Run(seconds(30));
    bytes[distinguishes_zones ? 1 : 0] =
        network->bytes_between_zones() - before;
  }
  RecordProperty("without_zones", static_cast<int>(bytes[0]));
  RecordProperty("with_zones", static_cast<int>(bytes[1]));
  EXPECT_LT(bytes[1] * 4, bytes[0]);
}

// Guards against other traffic in fleets that have no use for the preference.
TEST(MembershipTrafficTest, OneZoneSendsTheSameAsWithoutZones) {
  std::size_t bytes[2] = {};
  for (const bool distinguishes_zones : {false, true}) {
    const auto network = MakeNetwork(3, 1, distinguishes_zones, 20);
    StartAndSettle(*network);
    network->Kill(7);
    network->Run(seconds(20));
    bytes[distinguishes_zones ? 1 : 0] = network->bytes_sent();
  }
  EXPECT_EQ(bytes[0], bytes[1]);
}

}  // namespace
}  // namespace bulrushmount

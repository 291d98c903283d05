// Transfers of a routing document in a fleet with availability zones: bytes
// between zones, and the time until the document is in force everywhere. Runs
// in virtual time.

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "unit_tests/core/contracts/config_fleet.h"
#include "unit_tests/core/contracts/contract_texts.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 87;
constexpr std::size_t kZones = 3;
constexpr std::size_t kDocumentBytes = 15'000;
constexpr std::uint64_t kSeeds = 20;
constexpr Duration kTick = milliseconds(1);

// A change that only the node at `writer` knows: no node of another zone reads
// it from the table first, as if the watchers of the others were dead.
void WriteDocument(ConfigFleet& fleet, std::size_t writer) {
  OperatorRequested request = WriteRequest("studio", 1);
  request.body += "# " + std::string(kDocumentBytes, 'x') + "\n";
  fleet.nodes[writer]->writer->Handle(fleet.now, request,
                                      [](TimePoint, const AnswerOperator&) {});
}

void IntroduceAll(ConfigFleet& fleet) {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.nodes[i]->sync->SetMemberCount(fleet.now, fleet.nodes.size());
    for (std::size_t j = 0; j < fleet.nodes.size(); ++j) {
      if (i != j)
        fleet.Introduce(i, j);
    }
  }
}

struct ZoneCase {
  const char* name;
  double loss = 0;
  // The first two zones cannot reach each other.
  bool is_separated = false;
};

struct Spread {
  Duration time{};
  std::size_t bytes_between_zones = 0;
};

Spread SpreadDocument(const ZoneCase& one,
                      std::uint64_t seed,
                      ConfigFleet::Zones zones) {
  ConfigFleet fleet(kNodes, seed, zones);
  fleet.max_delay = milliseconds(3);
  IntroduceAll(fleet);
  // The polls of all nodes in the first seconds would find the change.
  for (const TimePoint end = fleet.now + seconds(15); fleet.now < end;)
    fleet.Advance(milliseconds(10));
  fleet.loss = one.loss;
  if (one.is_separated) {
    fleet.is_separated = [](const AvailabilityZone& left,
                            const AvailabilityZone& right) {
      return left != right && left.value() != "zone-2" &&
             right.value() != "zone-2";
    };
  }
  fleet.bytes_between_zones = 0;
  const TimePoint written = fleet.now;
  WriteDocument(fleet, 0);
  while (fleet.CountInForce(Revision(1)) < kNodes &&
         fleet.now - written < seconds(10))
    fleet.Advance(kTick);
  return {fleet.now - written, fleet.bytes_between_zones};
}

class ConfigZonesTest : public testing::TestWithParam<ZoneCase> {};

// Guards against a document that crosses between zones once for each node, and
// against a zone that waits for a fetcher that cannot get it.
TEST_P(ConfigZonesTest, CrossesAFewTimesAndIsInForceWithinASecond) {
  Duration slowest{};
  Duration slowest_without_zones{};
  std::size_t bytes = 0;
  std::size_t bytes_without_zones = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Spread spread =
        SpreadDocument(GetParam(), seed, {kZones, /*are_known=*/true});
    slowest = std::max(slowest, spread.time);
    bytes += spread.bytes_between_zones;
    const Spread without_zones =
        SpreadDocument(GetParam(), seed, {kZones, /*are_known=*/false});
    slowest_without_zones = std::max(slowest_without_zones, without_zones.time);
    bytes_without_zones += without_zones.bytes_between_zones;
  }
  EXPECT_LE(slowest, seconds(1));
  EXPECT_LT(bytes * 6, bytes_without_zones);
  RecordProperty("slowest_ms", static_cast<int>(ToMilliseconds(slowest)));
  RecordProperty("slowest_without_zones_ms",
                 static_cast<int>(ToMilliseconds(slowest_without_zones)));
  RecordProperty("bytes_between_zones", static_cast<int>(bytes / kSeeds));
  RecordProperty("without_zones",
                 static_cast<int>(bytes_without_zones / kSeeds));
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         ConfigZonesTest,
                         testing::Values(ZoneCase{"Healthy"},
                                         ZoneCase{"Loss", 0.025},
                                         ZoneCase{"ZonesSeparated", 0, true},
                                         ZoneCase{"LossAndZonesSeparated",
                                                  0.025, true}),
                         [](const auto& info) { return info.param.name; });

// Guards against other traffic in fleets that have no use for the preference.
TEST(ConfigOneZoneTest, SendsTheSameAsWithoutZones) {
  std::optional<std::uint64_t> next_bits;
  std::size_t bytes = 0;
  for (const bool are_known : {false, true}) {
    ConfigFleet fleet(20, 7, {/*count=*/1, are_known});
    IntroduceAll(fleet);
    WriteDocument(fleet, 0);
    for (const TimePoint end = fleet.now + seconds(20); fleet.now < end;)
      fleet.Advance(milliseconds(10));
    EXPECT_EQ(fleet.CountInForce(Revision(1)), fleet.nodes.size());
    const std::uint64_t bits = fleet.random.NextBits();
    if (are_known) {
      EXPECT_EQ(fleet.bytes_sent, bytes);
      // All nodes share the source, so that each draw would change it.
      EXPECT_EQ(bits, next_bits);
    }
    bytes = fleet.bytes_sent;
    next_bits = bits;
  }
}

}  // namespace
}  // namespace bulrushmount

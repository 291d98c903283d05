// Tests how many requests a fleet sends to the platform's table.
//
// Load pattern: hundreds of nodes start within 0.3 s without knowledge of each
// other. Each reads the member rows, writes its own row, reads the operator's
// document and watches it from then on. Without coordination the table gets 8
// to 30 requests per node in 40 s, each change answers one watch per node, and
// while the table refuses a third of the nodes, each of these retries every
// second. The cost of the table then grows with the number of nodes, although
// one answer would be enough for all of them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeed = 20261203;
constexpr std::size_t kZones = 6;

// Maximum time until a change is in force everywhere.
constexpr Duration kInForce = 5s;
// Time from the first running process until all nodes are ready.
constexpr Duration kAllReady = 5s;

// Allowed table requests per node for a start and the following 30 s, and per
// zone in addition to that and in any other 30 s.
constexpr std::size_t kCallsPerNode = 2;
constexpr std::size_t kCallsPerZone = 24;

RouteConfig Routes() {
  Route read;
  read.name = KindName("read");
  read.host = "desk.example";
  read.path_prefix = "/read/";
  read.is_repeatable = true;
  read.timeout = 2s;
  read.latency_objective = 500ms;
  read.max_attempts = 2;
  read.shares = {{ServiceName("desk"), 1}};
  RouteConfig config;
  config.routes = {read};
  config.services = {{ServiceName("desk"), "/health", 100}};
  return config;
}

// Decodes a document whose text is its revision number.
class NumberDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const override {
    return RouteDocument{Revision(std::stoull(std::string(text))), Routes()};
  }
};

class StoreCallsTest : public ::testing::TestWithParam<std::size_t> {
 protected:
  explicit StoreCallsTest(bool keeps_addresses = true)
      : m_fleet(Options(m_decoder, keeps_addresses), kSeed) {}

  static FleetOptions Options(const RouteDocumentDecoder& decoder,
                              bool keeps_addresses) {
    FleetOptions options;
    options.services.assign(GetParam(), "desk");
    options.zones = kZones;
    options.keeps_addresses = keeps_addresses;
    options.decoder = &decoder;
    options.document = "1";
    options.settings.has_route_document = true;
    options.settings.is_first_start = true;
    options.settings.is_first_start = true;
    options.settings.needs_crash_to_suspect = true;
    options.settings.do_entries_evaluate_errors = true;
    options.settings.directory_interval = std::chrono::minutes(10);
    return options;
  }

  bool AreAllReady() {
    for (std::size_t node = 0; node < m_fleet.size(); ++node) {
      if (m_fleet.has_exited(node) || !m_fleet.logic(node).IsReady())
        return false;
    }
    return true;
  }

  bool IsInForce(std::uint64_t revision) {
    const std::string text =
        fmt::format("\"leaving\":false,\"revision\":{},", revision);
    for (std::size_t node = 0; node < m_fleet.size(); ++node) {
      const std::string status = m_fleet.logic(node).StatusJson(m_fleet.now());
      if (status.find(text) == std::string::npos)
        return false;
    }
    return true;
  }

  // Writes a document; returns whether it is in force everywhere in time.
  bool Change(std::uint64_t revision) {
    m_fleet.WriteDocument(std::to_string(revision));
    for (Duration waited{}; waited < kInForce; waited += 250ms) {
      m_fleet.Run(250ms);
      if (IsInForce(revision))
        return true;
    }
    return false;
  }

  std::size_t CallsSinceLast() {
    const std::size_t calls = m_fleet.table_calls() - m_calls_before;
    m_calls_before = m_fleet.table_calls();
    return calls;
  }

  static std::size_t Bound(std::size_t calls_a_node) {
    return calls_a_node * GetParam() + kCallsPerZone * kZones;
  }

  NumberDecoder m_decoder;
  Fleet m_fleet;
  std::size_t m_calls_before = 0;
};

TEST_P(StoreCallsTest, AfterAStartTheCallsGrowWithZonesNotWithNodes) {
  ASSERT_TRUE(m_fleet.RunUntil([this] { return AreAllReady(); }, kAllReady));
  m_fleet.Run(10s);
  const std::size_t start_calls = CallsSinceLast();
  EXPECT_TRUE(Change(2));
  m_fleet.Run(7s);
  EXPECT_TRUE(Change(3));
  m_fleet.Run(12s);
  const std::size_t calls = CallsSinceLast();
  RecordProperty("start_calls", static_cast<int>(start_calls));
  RecordProperty("calls", static_cast<int>(calls));
  EXPECT_LE(calls, Bound(0));
  EXPECT_LE(start_calls + calls, Bound(kCallsPerNode));
}

TEST_P(StoreCallsTest, AFleetRestartCostsNoMore) {
  m_fleet.Run(10s);
  CallsSinceLast();
  m_fleet.RestartAll(1s);
  ASSERT_TRUE(
      m_fleet.RunUntil([this] { return AreAllReady(); }, 1s + kAllReady));
  m_fleet.Run(10s);
  EXPECT_TRUE(Change(2));
  const std::size_t calls = CallsSinceLast();
  RecordProperty("calls", static_cast<int>(calls));
  EXPECT_LE(calls, Bound(kCallsPerNode));
}

class NewAddressesTest : public StoreCallsTest {
 protected:
  NewAddressesTest() : StoreCallsTest(false) {}
};

// Failure: after a restart the nodes do not find each other for many seconds.
// All processes restart at other addresses, the table is full of outdated rows,
// each node tries these one after the other, and none writes its own address.
TEST_P(NewAddressesTest, AllNodesFindEachOtherAfterAFleetRestart) {
  m_fleet.Run(10s);
  m_fleet.RestartAll(1s);
  m_fleet.Run(1s + 10s);
  for (std::size_t node = 0; node < m_fleet.size(); ++node) {
    const std::size_t met = m_fleet.logic(node).PeerStreams().size();
    EXPECT_GE(met, m_fleet.size() / 2) << "node " << node;
  }
}

// Failure: most of the requests that the table charges for are refused. The
// table refuses a third of the nodes for nine seconds, a change is made
// meanwhile, and each of these nodes retries every second although peers
// deliver the change.
TEST_P(StoreCallsTest, NodesRefusedByTheTableLearnFromPeers) {
  m_fleet.Run(10s);
  CallsSinceLast();
  for (std::size_t node = 0; node < m_fleet.size(); node += 3)
    m_fleet.RefuseAtTable(node, true);
  m_fleet.Run(3s);
  EXPECT_TRUE(Change(2));
  m_fleet.Run(4s);
  for (std::size_t node = 0; node < m_fleet.size(); node += 3)
    m_fleet.RefuseAtTable(node, false);
  m_fleet.Run(2s);
  EXPECT_TRUE(Change(3));
  const std::size_t calls = CallsSinceLast();
  RecordProperty("calls", static_cast<int>(calls));
  EXPECT_LE(calls, Bound(0));
}

// Guards against nodes that learn of a newer revision by gossip but do not
// request it from a peer, so that it is in force there seconds later.
TEST_P(StoreCallsTest, AChangeIsInForceEverywhereWithinASecond) {
  m_fleet.Run(10s);
  for (std::size_t node = 0; node < m_fleet.size(); node += 3)
    m_fleet.RefuseAtTable(node, true);
  m_fleet.Run(3s);
  for (std::uint64_t revision = 2; revision < 12; ++revision) {
    m_fleet.WriteDocument(std::to_string(revision));
    m_fleet.Run(1s);
    EXPECT_TRUE(IsInForce(revision)) << "revision " << revision;
  }
}

std::string SizeName(const ::testing::TestParamInfo<std::size_t>& info) {
  return fmt::format("Nodes{}", info.param);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         StoreCallsTest,
                         ::testing::Values(30, 100, 300),
                         SizeName);

INSTANTIATE_TEST_SUITE_P(Sizes,
                         NewAddressesTest,
                         ::testing::Values(30, 100, 300),
                         SizeName);

}  // namespace
}  // namespace bulrushmount

// Tests fleets in which all targets are cold.
//
// Load pattern: all machines lose power and restart. Each target is cold for
// some seconds and tolerates only part of its usual load, but the full load of
// the service arrives at once. Without a rate limit the running targets are
// overloaded, crash and start cold again, and the service stays down as long as
// the load lasts.

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::CallerView;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeed = 20261205;
constexpr std::size_t kCalledNodes = 11;
constexpr std::size_t kCallerNodes = 13;
constexpr double kCallsPerSecond = 593;
constexpr double kColdRate = 11;
// Requests per second that a cold target tolerates; it crashes above that.
constexpr std::size_t kMaxColdRequestsPerSecond = 24;

RouteConfig Routes() {
  Route lookup;
  lookup.name = KindName("lookup");
  lookup.host = "vault.example";
  lookup.path_prefix = "/lookup/";
  lookup.is_repeatable = true;
  lookup.timeout = 500ms;
  lookup.latency_objective = 150ms;
  lookup.max_attempts = 2;
  lookup.shares = {{ServiceName("vault"), 1}};
  RouteConfig config;
  config.routes = {lookup};
  config.services = {{ServiceName("vault"), "/health", 1180, kColdRate},
                     {ServiceName("desk"), "/health", 1180, kColdRate}};
  return config;
}

class FixedDocumentDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view) const override {
    return RouteDocument{Revision(1), Routes()};
  }
};

class ColdFleetTest : public ::testing::Test {
 protected:
  ColdFleetTest() : m_fleet(Options(m_decoder), kSeed), m_random(kSeed) {
    m_fleet.Run(10s);
    for (std::size_t node = 0; node < kCalledNodes; ++node)
      m_fleet.SetServiceTime(node, 45ms);
  }

  static FleetOptions Options(const RouteDocumentDecoder& decoder) {
    FleetOptions options;
    options.services.assign(kCalledNodes, "vault");
    options.services.resize(kCalledNodes + kCallerNodes, "desk");
    options.zones = 4;
    options.keeps_addresses = true;
    options.slots = 9;
    options.decoder = &decoder;
    options.document = "1";
    options.cold.emplace();
    options.cold->crash_above = kMaxColdRequestsPerSecond;
    options.settings.has_route_document = true;
    options.settings.needs_crash_to_suspect = true;
    options.settings.do_entries_evaluate_errors = true;
    options.settings.refusals_cost_no_retry = true;
    options.settings.selective_attempts = 4;
    options.settings.max_attempts = 6;
    options.settings.cold_start = {1.5, 8};
    return options;
  }

  void Load(Duration time) {
    const TimePoint end = m_fleet.now() + time;
    while (m_fleet.now() < end) {
      m_fleet.Run(
          FromSeconds(-std::log1p(-m_random.Fraction()) / kCallsPerSecond));
      CallHead head = m_fleet.MakeHead("", "GET", "/lookup/1");
      head.host = "vault.example";
      head.deadline = 500ms;
      m_fleet.Send(kCalledNodes + m_random.Index(kCallerNodes),
                   std::move(head));
    }
  }

  // Share of the requests sent in [from, to) that was answered.
  double Answered(TimePoint from, TimePoint to) const {
    std::size_t sent = 0;
    std::size_t answered = 0;
    for (const CallerView& call : m_fleet.calls()) {
      if (call.sent_at < from || call.sent_at >= to)
        continue;
      ++sent;
      answered += call.outcome == Outcome::kAnswered ? 1 : 0;
    }
    return static_cast<double>(answered) / static_cast<double>(sent);
  }

  FixedDocumentDecoder m_decoder;
  Fleet m_fleet;
  SeededRandomSource m_random;
};

// Guards against crash loops of cold targets after a power loss of the whole
// fleet.
TEST_F(ColdFleetTest, RecoversFromAFleetWidePowerLoss) {
  Load(1s);
  m_fleet.PowerOffAll(1s);
  m_fleet.Run(1s);
  const TimePoint back = m_fleet.now();
  Load(9s);
  m_fleet.Run(1s);
  EXPECT_EQ(m_fleet.crashes(), 0U);
  EXPECT_LE(m_fleet.max_rate_at_cold_target(), kMaxColdRequestsPerSecond);
  EXPECT_GE(Answered(back + 6s, back + 8s), 0.95);
}

// Guards against targets that turn cold between two heartbeats.
TEST_F(ColdFleetTest, ToleratesTargetsThatTurnColdAtAnyTime) {
  for (int turn = 0; turn < 6; ++turn) {
    Load(1700ms);
    m_fleet.CoolDown("zone-" + std::to_string(turn % 4));
  }
  Load(1s);
  EXPECT_EQ(m_fleet.crashes(), 0U);
  EXPECT_LE(m_fleet.max_rate_at_cold_target(), kMaxColdRequestsPerSecond);
}

// Guards against overload when an evacuated zone returns with cold targets.
TEST_F(ColdFleetTest, ReturnsAnEvacuatedZoneWithoutOverload) {
  Load(1s);
  m_fleet.SetEvacuated("zone-1", true);
  Load(4s);
  m_fleet.CoolDown("zone-1");
  m_fleet.SetEvacuated("zone-1", false);
  const TimePoint back = m_fleet.now();
  Load(6s);
  m_fleet.Run(1s);
  EXPECT_EQ(m_fleet.crashes(), 0U);
  EXPECT_LE(m_fleet.max_rate_at_cold_target(), kMaxColdRequestsPerSecond);
  EXPECT_GE(Answered(back + 4s, back + 6s), 0.95);
}

// Guards against a restarted owner that does not know which requests its
// predecessor handed to a cold target.
TEST_F(ColdFleetTest, RestartedOwnersDoNotOverloadColdTargets) {
  Load(1s);
  m_fleet.CoolDown("zone-0");
  Load(500ms);
  for (std::size_t node = 0; node < kCalledNodes; node += 4)
    m_fleet.Kill(node);
  Load(4s);
  EXPECT_EQ(m_fleet.crashes(), 0U);
  EXPECT_LE(m_fleet.max_rate_at_cold_target(), kMaxColdRequestsPerSecond);
}

}  // namespace
}  // namespace bulrushmount

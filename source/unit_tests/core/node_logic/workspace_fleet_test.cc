// Tests the limits of workspaces over several complete nodes, with real
// membership: their datagrams, the changes of members and documents.

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "unit_tests/core/node_logic/fleet.h"
#include "unit_tests/core/workspace_limits/window_meter.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::CallerView;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::uint64_t kSeed = 20261206;
constexpr std::size_t kNodes = 9;
const WorkspaceLimitsSettings kSettings{5s, 0.1, 20};
constexpr WorkspaceRate kRate{40, 40};

// Decodes a document whose text is its revision: from 2 on, the limit is
// halved.
class LimitDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const override {
    const std::uint64_t revision = std::stoull(std::string(text));
    Route route;
    route.name = KindName("lookup");
    route.host = "vault.example";
    route.path_prefix = "/lookup/";
    route.is_repeatable = true;
    route.timeout = 1s;
    route.latency_objective = 500ms;
    route.max_attempts = 2;
    route.shares = {{ServiceName("vault"), 1}};
    Workspace workspace;
    workspace.name = WorkspaceName("paramo");
    workspace.keys = {KeyDigest::Of("key")};
    const double part = revision < 2 ? 1 : 0.5;
    workspace.units_per_second = part * kRate.units_per_second;
    workspace.burst_units = part * kRate.burst_units;
    RouteConfig config;
    config.routes = {route};
    config.services = {{ServiceName("vault"), "/health", 1180}};
    config.workspaces = {workspace};
    return RouteDocument{Revision(revision), config};
  }
};

class WorkspaceFleetTest : public ::testing::Test {
 protected:
  WorkspaceFleetTest() : m_fleet(Options(m_decoder), kSeed), m_random(kSeed) {
    m_fleet.Run(40s);
    for (std::size_t node = 0; node < kNodes; ++node)
      m_fleet.SetServiceTime(node, 10ms);
  }

  static FleetOptions Options(const RouteDocumentDecoder& decoder) {
    FleetOptions options;
    options.services.assign(kNodes, "vault");
    options.zones = 3;
    options.keeps_addresses = true;
    options.slots = 9;
    options.decoder = &decoder;
    options.document = "1";
    options.cold.emplace();
    options.cold->cold_time = 0s;
    options.cold->crash_above = 1000;
    options.settings.has_route_document = true;
    options.settings.needs_crash_to_suspect = true;
    options.settings.do_entries_evaluate_errors = true;
    options.settings.refusals_cost_no_retry = true;
    options.settings.selective_attempts = 4;
    options.settings.max_attempts = 6;
    options.settings.workspace_limits = kSettings;
    return options;
  }

  void Load(Duration time, double calls_per_second) {
    for (const TimePoint end = m_fleet.now() + time; m_fleet.now() < end;) {
      m_fleet.Run(FromSeconds(1 / calls_per_second));
      CallHead head = m_fleet.MakeHead("", "GET", "/lookup/1");
      head.host = "vault.example";
      head.key = KeyDigest::Of("key");
      head.fingerprint = Fingerprint(m_random.NextBits());
      m_fleet.Send(m_random.Index(kNodes), std::move(head));
    }
  }

  struct Counts {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t limited = 0;
    std::size_t worst = 0;
  };

  // The calls sent in [from, to).
  Counts CountCalls(TimePoint from, TimePoint to) const {
    Counts counts;
    WindowMeter meter(kSettings.window);
    for (const CallerView& call : m_fleet.calls()) {
      if (call.sent_at < from || call.sent_at >= to)
        continue;
      ++counts.sent;
      if (call.outcome == Outcome::kAnswered) {
        ++counts.answered;
        meter.OnForwarded(call.sent_at);
      }
      counts.limited += call.reason == Reason::kWorkspaceRateLimit ? 1 : 0;
    }
    counts.worst = meter.worst();
    return counts;
  }

  LimitDecoder m_decoder;
  Fleet m_fleet;
  SeededRandomSource m_random;
};

// Guards against requests and grants that are lost between the datagrams of
// complete nodes.
TEST_F(WorkspaceFleetTest, ServesAllBelowTheLimit) {
  const TimePoint start = m_fleet.now();
  Load(10s, 25);
  m_fleet.Run(1s);
  const Counts counts = CountCalls(start, m_fleet.now());
  EXPECT_GT(counts.sent, 200U);
  EXPECT_EQ(counts.answered, counts.sent);
}

// Guards against a limit that every node applies for itself.
TEST_F(WorkspaceFleetTest, KeepsTheBoundAboveTheLimit) {
  const TimePoint start = m_fleet.now();
  Load(10s, 300);
  m_fleet.Run(1s);
  const Counts counts = CountCalls(start, m_fleet.now());
  EXPECT_LE(counts.worst, WindowBound(kSettings, kRate));
  EXPECT_GE(counts.answered, 400U);
  EXPECT_EQ(counts.answered + counts.limited, counts.sent);
}

// Guards against a restarted or frozen node that starts with units which others
// have already granted, under the delays of the real membership.
TEST_F(WorkspaceFleetTest, KeepsTheBoundWhileNodesAreKilledAndFrozen) {
  const TimePoint start = m_fleet.now();
  for (std::size_t node = 0; node < kNodes; ++node) {
    Load(700ms, 300);
    if (node % 3 == 0) {
      m_fleet.Kill(node);
      continue;
    }
    m_fleet.Freeze(node);
    Load(node % 3 == 1 ? 1500ms : 5s, 300);
    m_fleet.Resume(node);
  }
  Load(5s, 300);
  m_fleet.Run(1s);
  const Counts counts = CountCalls(start, m_fleet.now());
  EXPECT_LE(counts.worst, WindowBound(kSettings, kRate));
  // All faults over, the fleet serves what one bucket does.
  const TimePoint calm = m_fleet.now() + 10s;
  Load(20s, 300);
  m_fleet.Run(1s);
  EXPECT_GE(CountCalls(calm, calm + 10s).answered, 380U);
}

// Guards against a lower limit that takes effect only after a restart.
TEST_F(WorkspaceFleetTest, FollowsTheLimitOfTheDocument) {
  Load(2s, 300);
  m_fleet.WriteDocument("2");
  Load(2500ms + 5s, 300);
  const TimePoint start = m_fleet.now();
  Load(10s, 300);
  m_fleet.Run(1s);
  const Counts counts = CountCalls(start, m_fleet.now());
  EXPECT_LE(counts.worst, WindowBound(kSettings, {kRate.units_per_second / 2,
                                                  kRate.burst_units / 2}));
  EXPECT_GE(counts.answered, 190U);
}

}  // namespace
}  // namespace bulrushmount

// Tests a fleet in which one of many workspaces floods a service.
//
// Load pattern: 86 workspaces sized by rank to the power -1.2 use a service.
// The third largest sends six times its usual rate, so that demand is 1.4 times
// the capacity. Each owner sees a small part of the requests of a workspace,
// and each refused attempt is tried at further owners, so entries decide with
// it.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;
using testing::CallerView;
using testing::Fleet;
using testing::FleetOptions;

constexpr std::size_t kOwners = 8;
constexpr std::size_t kEntries = 8;
constexpr std::uint32_t kSlots = 6;
constexpr std::size_t kWorkspaces = 86;
constexpr std::size_t kFlooder = 2;
constexpr double kFloodFactor = 6;
constexpr Duration kServiceTime = 160ms;
constexpr Duration kObjective = 500ms;
constexpr Duration kDeadline = 1200ms;
constexpr char kHost[] = "balances.example";

RouteConfig Routes() {
  Route route;
  route.name = KindName("balance");
  route.host = kHost;
  route.path_prefix = "/balance/";
  route.is_repeatable = true;
  route.timeout = kDeadline;
  route.latency_objective = kObjective;
  route.max_attempts = 2;
  route.shares = {{ServiceName("balances"), 1}};
  RouteConfig config;
  config.routes = {route};
  config.services = {{ServiceName("balances"), "/health", 960},
                     {ServiceName("desk"), "/health", 960}};
  return config;
}

class FixedDocumentDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view) const override {
    return RouteDocument{Revision(1), Routes()};
  }
};

struct WorkspaceTally {
  int sent = 0;
  int answered = 0;
  int in_time = 0;
  // Refused after an eighth of the objective.
  int held = 0;

  double served() const {
    return sent == 0 ? 1.0 : static_cast<double>(answered) / sent;
  }
  WorkspaceTally& operator+=(const WorkspaceTally& other) {
    sent += other.sent;
    answered += other.answered;
    in_time += other.in_time;
    held += other.held;
    return *this;
  }
};

struct FleetLoad {
  const char* name;
  // Demand relative to the capacity, with the flood.
  double load;
  bool is_flooded;
  // Minimum parts served of the 83 smaller workspaces and of the second
  // largest.
  double least_of_small;
  double least_of_second;
  // Maximum part of all requests refused after an eighth of the objective.
  double most_held;
};

class FairFleetTest : public ::testing::TestWithParam<FleetLoad> {
 protected:
  void Play(Duration length, std::uint64_t seed) {
    FleetOptions options;
    options.services.assign(kOwners, "balances");
    options.services.resize(kOwners + kEntries, "desk");
    options.slots = kSlots;
    options.settings.has_route_document = true;
    options.settings.needs_crash_to_suspect = true;
    options.settings.do_entries_evaluate_errors = true;
    options.settings.refusals_cost_no_retry = true;
    options.settings.selective_attempts = 4;
    options.settings.max_attempts = 6;
    options.decoder = &m_decoder;
    options.document = "1";
    options.handling_time = 200us;
    Fleet fleet(options, seed);
    // Waits until all nodes know the routes and each other.
    fleet.Run(20s);
    for (std::size_t node = 0; node < kOwners; ++node)
      fleet.SetServiceTime(node, kServiceTime);
    SeededRandomSource random(seed);
    const std::vector<double> rates = Rates();
    const double total = std::accumulate(rates.begin(), rates.end(), 0.0);
    std::vector<std::pair<std::size_t, std::size_t>> sent;
    const TimePoint end = fleet.now() + length;
    while (fleet.now() < end) {
      fleet.Run(FromSeconds(-std::log1p(-random.Fraction()) / total));
      const std::size_t workspace = Draw(rates, total * random.Fraction());
      const std::size_t entry =
          kOwners + static_cast<std::size_t>(random.Fraction() * kEntries);
      CallHead head = fleet.MakeHead("w" + std::to_string(workspace + 1), "GET",
                                     "/balance/1");
      head.host = kHost;
      head.deadline = kDeadline;
      sent.emplace_back(workspace, fleet.Send(entry, std::move(head)));
    }
    fleet.Run(2 * kDeadline);
    for (const auto& [workspace, call] : sent)
      Count(fleet.calls()[call], m_tallies[workspace]);
  }

  std::vector<WorkspaceTally> m_tallies =
      std::vector<WorkspaceTally>(kWorkspaces);

 private:
  // Requests per second of each workspace.
  static std::vector<double> Rates() {
    std::vector<double> rates;
    for (std::size_t rank = 1; rank <= kWorkspaces; ++rank)
      rates.push_back(std::pow(static_cast<double>(rank), -1.2));
    if (GetParam().is_flooded)
      rates[kFlooder] *= kFloodFactor;
    const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
    const double capacity = kOwners * kSlots / ToSeconds(kServiceTime);
    for (double& rate : rates)
      rate *= GetParam().load * capacity / sum;
    return rates;
  }

  static std::size_t Draw(const std::vector<double>& rates, double value) {
    std::size_t index = 0;
    while (index + 1 < rates.size() && value >= rates[index])
      value -= rates[index++];
    return index;
  }

  static void Count(const CallerView& call, WorkspaceTally& tally) {
    ++tally.sent;
    const Duration took = call.answered_at - call.sent_at;
    if (call.outcome == Outcome::kAnswered) {
      ++tally.answered;
      tally.in_time += took <= kObjective ? 1 : 0;
    } else {
      tally.held += took > kObjective / 8 ? 1 : 0;
    }
  }

  FixedDocumentDecoder m_decoder;
};

// Guards against entries and owners that make a flood the loss of all
// workspaces, and that hold requests which they refuse in the end.
TEST_P(FairFleetTest, OtherWorkspacesAreServed) {
  constexpr std::uint64_t seed_count = 3;
  for (std::uint64_t seed = 1; seed <= seed_count; ++seed)
    Play(8s, seed);
  WorkspaceTally all;
  WorkspaceTally small;
  for (std::size_t index = 0; index < kWorkspaces; ++index) {
    all += m_tallies[index];
    if (index > kFlooder)
      small += m_tallies[index];
  }
  EXPECT_GE(small.served(), GetParam().least_of_small);
  EXPECT_GE(m_tallies[1].served(), GetParam().least_of_second);
  EXPECT_GE(m_tallies[kFlooder].served(), 0.25 * all.served());
  EXPECT_GE(all.in_time, 0.9 * std::min(1.0, 1 / GetParam().load) * all.sent);
  EXPECT_LE(all.held, GetParam().most_held * all.sent);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    FairFleetTest,
    ::testing::Values(
        FleetLoad{"Flood", 1.4, true, 0.95, 0.8, 0.05},
        FleetLoad{"TwiceTheCapacity", 2.0, true, 0.85, 0.42, 0.07},
        FleetLoad{"AlmostFullWithoutFlood", 0.9, false, 0.98, 0.96, 0.01}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

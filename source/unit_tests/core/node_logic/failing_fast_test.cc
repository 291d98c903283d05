// Tests that targets and workspaces whose requests fail fast do not affect the
// answers of other workspaces.

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "unit_tests/core/node_logic/fleet.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using testing::CallerView;
using testing::Fleet;

constexpr std::size_t kNodes = 7;
constexpr std::uint64_t kSeed = 20261202;
constexpr int kOk = 200;
constexpr char kInnocent[] = "paramo";
constexpr char kFailing[] = "failing";
// Requests of the failing workspace per request of the other one.
constexpr int kFailingPerInnocent = 10;
constexpr Duration kPause = std::chrono::milliseconds(50);

constexpr char kContract[] = R"(workspace: {}
services:
  - name: session-desk
    kinds:
      - name: browse
        method: "*"
        path: /
        repeatable: true
        weight: 1
        deadline: 500ms
        objective: {{fraction: 0.99, within: 100ms}}
limits: {{units_per_second: 100000, burst_units: 100000, in_flight: 10000}}
share: 1
key_retention: 24h
)";

class FailingFastTest : public ::testing::Test {
 protected:
  FailingFastTest() : m_fleet(kNodes, kSeed, "session-desk") {
    for (const char* workspace : {kInnocent, kFailing})
      m_fleet.WriteContract(workspace, fmt::format(kContract, workspace));
    // Waits for the end of the cold start of the targets.
    m_fleet.Run(30s);
  }

  std::size_t Send(const char* workspace, const char* method) {
    m_entry = (m_entry + 1) % kNodes;
    return m_fleet.Send(m_entry, m_fleet.MakeHead(workspace, method, "/a"));
  }

  // Both workspaces send requests for `duration`. Returns the share of calls of
  // the other workspace that were answered successfully.
  double Goodput(Duration duration, const char* method_of_failing) {
    const TimePoint end = m_fleet.now() + duration;
    std::vector<std::size_t> calls;
    while (m_fleet.now() < end) {
      for (int count = 0; count < kFailingPerInnocent; ++count)
        Send(kFailing, method_of_failing);
      calls.push_back(Send(kInnocent, "GET"));
      m_fleet.Run(kPause);
    }
    m_fleet.Run(1s);
    std::size_t good = 0;
    for (const std::size_t call : calls)
      good += m_fleet.calls()[call].status == kOk ? 1 : 0;
    return static_cast<double>(good) / static_cast<double>(calls.size());
  }

  Fleet m_fleet;
  std::size_t m_entry = 0;
};

// Failure: a workspace is refused for lack of targets although all are healthy.
// Another workspace sends ten times as many requests that are answered with
// status 500, and since four fifths of the answers are errors, one target after
// another is taken out of service.
TEST_F(FailingFastTest, OneWorkspacesErrorsDoNotCostAnotherItsTargets) {
  const double goodput = Goodput(60s, Fleet::kFailMethod);
  RecordProperty("goodput", fmt::format("{:.3f}", goodput));
  EXPECT_GE(goodput, 0.99) << goodput;
}

// Failure: two targets that answer every request with an error attract most of
// the traffic, because they answer faster than healthy ones and errors are not
// taken into account.
TEST_F(FailingFastTest, TargetsThatFailFastAttractNoTraffic) {
  m_fleet.SetFailing(0, true);
  m_fleet.SetFailing(1, true);
  const double first = Goodput(10s, "GET");
  const double later = Goodput(60s, "GET");
  RecordProperty("goodput", fmt::format("{:.3f} {:.3f}", first, later));
  EXPECT_GE(first, 0.95) << first;
  EXPECT_GE(later, 0.98) << later;
}

}  // namespace
}  // namespace bulrushmount

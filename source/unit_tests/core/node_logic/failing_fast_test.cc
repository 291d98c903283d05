// Whole nodes beside targets and workspaces whose requests fail fast: neither
// may cost other workspaces their answers.

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
// The failing workspace sends so many for each request of the innocent one.
constexpr int kFailingForOne = 10;
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
    // Past the cold start of the targets.
    m_fleet.Run(30s);
  }

  std::size_t Send(const char* workspace, const char* method) {
    m_entry = (m_entry + 1) % kNodes;
    return m_fleet.Send(m_entry, m_fleet.MakeHead(workspace, method, "/a"));
  }

  // Both workspaces call for `duration`; the part of the innocent one's calls
  // that got a good answer.
  double Goodput(Duration duration, const char* method_of_failing) {
    const TimePoint end = m_fleet.now() + duration;
    std::vector<std::size_t> calls;
    while (m_fleet.now() < end) {
      for (int count = 0; count < kFailingForOne; ++count)
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

// Symptom: a workspace is refused for want of targets, though all are well.
// Sequence: another one sends ten times as many requests, and each is answered
// with status 500.
// Cause: four fifths of a target's answers are errors, so it is taken out, and
// so is the next.
TEST_F(FailingFastTest, OneWorkspacesErrorsDoNotCostAnotherItsTargets) {
  const double goodput = Goodput(60s, Fleet::kFailMethod);
  RecordProperty("goodput", fmt::format("{:.3f}", goodput));
  EXPECT_GE(goodput, 0.99) << goodput;
}

// Symptom: two targets that fail everything at once draw most of the traffic.
// Sequence: they answer faster than the good ones.
// Cause: errors are not held against them.
TEST_F(FailingFastTest, TargetsThatFailFastDrawNoTraffic) {
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

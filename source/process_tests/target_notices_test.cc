// Tests what targets state in their answers in the project's own protocol: a
// request rate, and that they are leaving.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

constexpr std::size_t kTarget = 1;
constexpr std::size_t kCallers = 6;

class TargetNoticesProcessTest : public FleetTest {
 protected:
  void State(const std::string& control) {
    EXPECT_EQ(HttpCall(at(kTarget).target, "PUT", "/control", control).status,
              204U);
  }

  // Start times of the target's runs from `begin` on, in order.
  std::vector<std::int64_t> RunsSince(TimePoint begin) {
    std::vector<std::int64_t> starts;
    for (const LedgerLine& line : Ledger(kTarget)) {
      if (line.event == "started" &&
          line.at_ns >= begin.time_since_epoch().count())
        starts.push_back(line.at_ns);
    }
    std::sort(starts.begin(), starts.end());
    return starts;
  }

  void Play(Duration length) {
    const TimePoint end = Now() + length;
    ASSERT_TRUE(WaitUntil([end] { return Now() >= end; }));
  }

  BackgroundCalls::CallFunction Reads() {
    return [this](std::size_t n) {
      CallRequest request;
      request.path = fmt::format("/read?n={}", n);
      return Call(n % size(), request);
    };
  }
};

// Guards against a rate in an answer that the owner does not read or keep, and
// against one that outlives its withdrawal.
TEST_F(TargetNoticesProcessTest, NamedRateIsKeptUntilItIsWithdrawn) {
  constexpr double rate = 4;
  StartFleet();
  BackgroundCalls calls(kCallers, Reads());
  ASSERT_TRUE(calls.WaitForMore(50));
  State(R"({"rate_limit":4})");
  ASSERT_TRUE(calls.WaitForMore(100));
  const TimePoint begin = Now();
  Play(5s);
  const std::size_t limited = RunsSince(begin).size();
  EXPECT_LE(limited, static_cast<std::size_t>(1.5 * 5 * rate + 5));
  EXPECT_GE(limited, static_cast<std::size_t>(5 * rate / 2));
  State(R"({"rate_limit":-1})");
  const TimePoint withdrawn_at = Now();
  EXPECT_TRUE(WaitUntil([&] { return RunsSince(withdrawn_at).size() >= 200; }));
  calls.Stop();
}

// Guards against requests to a target that announces in its answers that it is
// leaving and still announces itself, also once its node has restarted.
TEST_F(TargetNoticesProcessTest, TargetLeavingByItsAnswersGetsNoRequests) {
  StartFleet();
  BackgroundCalls calls(kCallers, Reads());
  ASSERT_TRUE(calls.WaitForMore(50));
  State(R"({"leave_in_answers":true})");
  ASSERT_TRUE(calls.WaitForMore(200));
  const TimePoint begin = Now();
  ASSERT_TRUE(calls.WaitForMore(300));
  EXPECT_EQ(RunsSince(begin).size(), 0U);
  at(kTarget).node->Kill();
  StartNode(kTarget);
  Play(3s);
  // The restarted node is an entry, too, and learns the state from its callers'
  // first requests. The other entries know it.
  EXPECT_LE(RunsSince(begin).size(), kCallers);
  const TimePoint settled_at = Now();
  ASSERT_TRUE(calls.WaitForMore(300));
  EXPECT_EQ(RunsSince(settled_at).size(), 0U);
  calls.Stop();
}

}  // namespace
}  // namespace bulrushmount

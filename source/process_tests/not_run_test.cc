// Tests that the outcome "not-run" is true: a call with this outcome has no run
// in any target's ledger, whichever process was killed or frozen, and whether
// the call was shed or passed its deadline.

#include <chrono>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kThreads = 24;
constexpr std::size_t kCallsPerStep = 150;
constexpr auto kCallerTimeout = std::chrono::seconds(2);

class NotRunTest : public FleetTest {
 public:
  using FleetTest::at;
  using FleetTest::StartNode;
  using FleetTest::StartTargetOf;
  using FleetTest::WaitForFleet;

 protected:
  // This check must fail if an owner node reports an exchange as refused that
  // was interrupted after the hand-over to the target.
  void ExpectNotRunCallsNeverRan(const std::vector<CallAnswer>& answers) {
    EndFleet();
    std::set<std::string> run;
    for (const LedgerLine& line : Ledgers()) {
      if (line.event == "started") {
        run.insert(line.request_id);
      }
    }
    for (const CallAnswer& answer : answers) {
      m_not_run += answer.is_not_run() ? 1 : 0;
      m_answered += answer.is_answered() ? 1 : 0;
      m_without_answer += answer.http.status == 0 ? 1 : 0;
      const bool has_run = run.contains(answer.request_id);
      EXPECT_FALSE(answer.is_not_run() && has_run) << ToText(answer);
      EXPECT_FALSE(answer.is_answered() && !has_run) << ToText(answer);
    }
    fmt::print("calls {} {}\n", answers.size(), Summary(answers));
  }

  std::size_t m_answered = 0;
  std::size_t m_not_run = 0;
  std::size_t m_without_answer = 0;
};

// A disturbance that occurs three times under a load of short calls.
struct DisturbanceCase {
  const char* name;
  void (*begin)(NotRunTest& test);
  void (*end)(NotRunTest& test);
  bool may_lose_answers = false;
};

class DisturbanceTest : public NotRunTest,
                        public testing::WithParamInterface<DisturbanceCase> {};

void PutControl(NotRunTest& test, const std::string& json) {
  EXPECT_EQ(HttpCall(test.at(0).target, "PUT", "/control", json).status, 204U);
}

// Guards against a call that runs twice because its caller gets "not-run" for
// the first attempt and retries. Calls are queued for, handed over to or
// running at a target while a process on their path fails or refuses them. The
// outcome is wrong if a lost answer is taken for a refusal, or if the call is
// refused after the hand-over.
TEST_P(DisturbanceTest, NotRunCallsNeverRan) {
  FleetOptions options;
  options.target_arguments = {"--slots", "4", "--service-time-ms", "2"};
  StartFleet(options);
  BackgroundCalls calls(kThreads, [this](std::size_t n) {
    CallRequest request;
    request.method = n % 2 == 0 ? "POST" : "GET";
    request.path = fmt::format("/sleep/{}?n={}", n % 30, n);
    request.deadline_ms = 100 + 20 * (n % 20);
    return Call(n % size(), request, kCallerTimeout);
  });
  for (int step = 0; step < 3; ++step) {
    EXPECT_TRUE(calls.WaitForMore(kCallsPerStep));
    GetParam().begin(*this);
    EXPECT_TRUE(calls.WaitForMore(kCallsPerStep));
    GetParam().end(*this);
  }
  WaitForFleet();
  EXPECT_TRUE(calls.WaitForMore(kCallsPerStep));
  ExpectNotRunCallsNeverRan(calls.Stop());
  EXPECT_GT(m_answered, 0U);
  if (!GetParam().may_lose_answers) {
    EXPECT_EQ(m_without_answer, 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DisturbanceTest,
    testing::Values(
        DisturbanceCase{
            "TargetKilled",
            [](NotRunTest& test) { test.at(0).target_process->Kill(); },
            [](NotRunTest& test) { test.StartTargetOf(0); }},
        DisturbanceCase{
            "TargetFrozen",
            [](NotRunTest& test) { test.at(0).target_process->Freeze(); },
            [](NotRunTest& test) { test.at(0).target_process->Thaw(); }},
        DisturbanceCase{"TargetSheds",
                        [](NotRunTest& test) {
                          PutControl(test, R"({"shed_fraction":0.5})");
                        },
                        [](NotRunTest& test) {
                          PutControl(test, R"({"shed_fraction":0.0})");
                        }},
        DisturbanceCase{
            "TargetTerminated",
            [](NotRunTest& test) { test.at(0).target_process->Terminate(); },
            [](NotRunTest& test) {
              test.at(0).target_process->WaitForExit();
              test.StartTargetOf(0);
            }},
        DisturbanceCase{"NodeKilled",
                        [](NotRunTest& test) { test.at(0).node->Kill(); },
                        [](NotRunTest& test) { test.StartNode(0); }, true},
        DisturbanceCase{
            "NodeFrozen", [](NotRunTest& test) { test.at(0).node->Freeze(); },
            [](NotRunTest& test) { test.at(0).node->Thaw(); }, true}),
    [](const auto& info) { return std::string(info.param.name); });

struct DeadlineCase {
  const char* name;
  const char* path;
  const char* expected;
};

class DeadlineTest : public NotRunTest,
                     public testing::WithParamInterface<DeadlineCase> {};

// Guards against calls that pass their deadline and get "not-run" although they
// ran. There are far more calls than slots, so some pass the deadline in the
// queue and some at the target. The outcome is wrong if it does not depend on
// whether the call was already handed over.
TEST_P(DeadlineTest, PassesInTheQueueAndAtTheTarget) {
  FleetOptions options;
  options.target_arguments = {"--slots", "1"};
  StartFleet(options);
  std::vector<std::future<CallAnswer>> calls;
  for (std::size_t n = 0; n < 30; ++n) {
    CallRequest request;
    request.method = "POST";
    request.path = GetParam().path;
    request.deadline_ms = 400;
    calls.push_back(CallLater(n % size(), request));
  }
  std::vector<CallAnswer> answers;
  std::size_t expected = 0;
  for (auto& call : calls) {
    answers.push_back(call.get());
    expected += answers.back().outcome() == GetParam().expected ? 1 : 0;
  }
  ExpectNotRunCallsNeverRan(answers);
  EXPECT_EQ(m_without_answer, 0U);
  EXPECT_GT(m_not_run, 0U);
  EXPECT_GT(expected, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    DeadlineTest,
    testing::Values(DeadlineCase{"Queued", "/sleep/150", "answered"},
                    DeadlineCase{"Running", "/sleep/1500", "unknown"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

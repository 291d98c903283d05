// Tests that every call gets a final answer although processes are silent, slow
// or frozen. The tests check the outcome, and compare the time with the
// deadline plus a margin of 15 s, which allows for a busy machine.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"
#include "process_tests/raw_caller.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDeadlineMs = 600;
constexpr Duration kMargin = seconds(15);

class TimelyTest : public FleetTest {
 public:
  using FleetTest::at;
  using FleetTest::SetPlatformFaults;
  using FleetTest::size;

 protected:
  // This check must fail if the deadline timer of the entry node has no effect.
  void ExpectFinalAnswers(std::vector<std::future<CallAnswer>>& calls) {
    std::size_t answered = 0;
    std::size_t not_run = 0;
    Duration longest{};
    for (auto& call : calls) {
      const CallAnswer answer = call.get();
      EXPECT_NE(answer.outcome(), "") << ToText(answer);
      EXPECT_LT(answer.elapsed, milliseconds(kDeadlineMs) + kMargin)
          << ToText(answer);
      answered += answer.is_answered() ? 1 : 0;
      not_run += answer.is_not_run() ? 1 : 0;
      longest = std::max(longest, answer.elapsed);
    }
    fmt::print("calls {} answered {} not_run {} deadline_ms {} longest_ms {}\n",
               calls.size(), answered, not_run, kDeadlineMs,
               ToMilliseconds(longest));
  }
};

struct SilenceCase {
  const char* name;
  const char* path;
  // Calls are sent to the entry nodes from this index on.
  std::size_t first_entry;
  void (*begin)(TimelyTest& test);
};

void DoNothing(TimelyTest&) {}

class SilenceTest : public TimelyTest,
                    public testing::WithParamInterface<SilenceCase> {};

// Guards against a caller that never gets an answer: a component that its call
// needs is silent, frozen or slow while its connections stay open, and some
// wait has no timeout.
TEST_P(SilenceTest, EveryCallGetsAFinalAnswer) {
  StartFleet();
  GetParam().begin(*this);
  std::vector<std::future<CallAnswer>> calls;
  for (std::size_t n = 0; n < 90; ++n) {
    const std::size_t first = GetParam().first_entry;
    CallRequest request;
    request.path = fmt::format("{}?n={}", GetParam().path, n);
    request.deadline_ms = kDeadlineMs;
    if (request.path.starts_with("/book")) {
      request.method = "POST";
      request.key = fmt::format("key-{}", n);
    } else if (n % 3 == 0) {
      request.method = "POST";
    }
    calls.push_back(CallLater(first + n % (size() - first), request));
  }
  ExpectFinalAnswers(calls);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    SilenceTest,
    testing::Values(SilenceCase{"TargetsSilent", "/silent", 0, DoNothing},
                    SilenceCase{"OwnersStopped", "/read", 2,
                                [](TimelyTest& test) {
                                  test.at(0).node->Freeze();
                                  test.at(1).node->Freeze();
                                }},
                    SilenceCase{"TargetsStopped", "/read", 0,
                                [](TimelyTest& test) {
                                  for (std::size_t i = 0; i < test.size();
                                       ++i) {
                                    test.at(i).target_process->Freeze();
                                  }
                                }},
                    SilenceCase{"OwnersKilled", "/read", 2,
                                [](TimelyTest& test) {
                                  test.at(0).node->Kill();
                                  test.at(1).node->Kill();
                                }},
                    SilenceCase{"EverythingSlow", "/sleep/450", 0,
                                [](TimelyTest& test) {
                                  test.SetPlatformFaults(R"({"delay_ms":900})");
                                }},
                    SilenceCase{"StoreSilent", "/book", 0,
                                [](TimelyTest& test) {
                                  test.SetPlatformFaults(R"({"silent":true})");
                                }}),
    [](const auto& info) { return std::string(info.param.name); });

struct StallCase {
  const char* name;
  const char* path;
  bool is_owner_stopped;
};

class StallTest : public TimelyTest,
                  public testing::WithParamInterface<StallCase> {};

// Guards against a download that stalls forever after its first byte. The
// deadline applies only until that byte, so a minimum progress time has to
// limit the rest of the answer.
TEST_P(StallTest, StalledAnswerIsAborted) {
  FleetOptions options;
  options.min_progress_time = "1s";
  StartFleet(options);
  RemoveTarget(0);
  RawCaller caller(at(0).caller);
  ASSERT_TRUE(caller.Send(fmt::format(
      "GET {} HTTP/1.1\r\nHost: {}\r\nBulrushmount-Workspace: {}\r\n\r\n",
      GetParam().path, kTestService, kTestWorkspace)));
  ASSERT_TRUE(caller.ReadUntil(200)) << caller.bytes();
  const std::size_t owner = WaitForRun(GetParam().path);
  if (GetParam().is_owner_stopped) {
    at(owner).node->Freeze();
  }
  const TimePoint begin = Now();
  EXPECT_TRUE(caller.ReadToEnd());
  EXPECT_FALSE(caller.bytes().ends_with("0\r\n\r\n"));
  fmt::print("aborted after {} ms\n", ToMilliseconds(Now() - begin));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    StallTest,
    testing::Values(StallCase{"TargetStalls", "/trickle/3/600000", false},
                    StallCase{"OwnerStops", "/trickle/100000/5", true},
                    StallCase{"LargeOwnerStops", "/size/300000000", true}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against an answer that occupies its connections forever: it makes
// progress, but its target never ends it.
TEST_F(TimelyTest, AnswerWithoutEndIsAborted) {
  FleetOptions options;
  options.max_answer_time = "2s";
  StartFleet(options);
  RawCaller caller(at(0).caller);
  const std::string path = "/trickle/1000000/20";
  ASSERT_TRUE(caller.Send(fmt::format(
      "GET {} HTTP/1.1\r\nHost: {}\r\nBulrushmount-Workspace: {}\r\n\r\n", path,
      kTestService, kTestWorkspace)));
  EXPECT_TRUE(caller.ReadToEnd());
  EXPECT_EQ(caller.status(), 200U);
  EXPECT_FALSE(caller.bytes().ends_with("0\r\n\r\n"));
  // The connection to the target is closed.
  EXPECT_TRUE(WaitUntil([&] {
    const std::vector<LedgerLine> lines = Ledgers();
    return std::any_of(lines.begin(), lines.end(), [&](const auto& line) {
      return line.path == path && line.event == "finished";
    });
  }));
}

// An answer that makes progress, however slowly, is not aborted.
TEST_F(TimelyTest, SlowAnswerIsCompleted) {
  FleetOptions options;
  options.min_progress_time = "2s";
  StartFleet(options);
  CallRequest request;
  request.path = "/trickle/30/100";
  request.deadline_ms = kDeadlineMs;
  const CallAnswer answer = Call(0, request);
  EXPECT_TRUE(answer.is_answered()) << ToText(answer);
  EXPECT_GT(answer.elapsed, milliseconds(kDeadlineMs));
}

}  // namespace
}  // namespace bulrushmount

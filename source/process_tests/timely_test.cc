// Proof that every call gets a final answer, whoever is silent, slow or
// stopped. The verdict is the outcome; the time is held against the deadline
// with a margin of many seconds, and printed.

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
  // The named mutation: the entry's deadline timer does nothing.
  void ExpectFinalAnswers(std::vector<std::future<CallAnswer>>& calls) {
    std::size_t answered = 0;
    std::size_t not_run = 0;
    Duration longest{};
    for (auto& call : calls) {
      const CallAnswer answer = call.get();
      EXPECT_NE(answer.outcome(), "") << ToText(answer);
      EXPECT_LT(answer.took, milliseconds(kDeadlineMs) + kMargin)
          << ToText(answer);
      answered += answer.is_answered() ? 1 : 0;
      not_run += answer.is_not_run() ? 1 : 0;
      longest = std::max(longest, answer.took);
    }
    fmt::print("calls {} answered {} not_run {} deadline_ms {} longest_ms {}\n",
               calls.size(), answered, not_run, kDeadlineMs,
               ToMilliseconds(longest));
  }
};

struct SilenceCase {
  const char* name;
  const char* path;
  // Entries that calls are sent to start with this one.
  std::size_t first_entry;
  void (*begin)(TimelyTest& test);
};

void Nothing(TimelyTest&) {}

class SilenceTest : public TimelyTest,
                    public testing::WithParamInterface<SilenceCase> {};

// Symptom: a narrator waits at the microphone and hears nothing at all.
// Sequence: a part that the calls need is silent, stopped or slow, without its
// connections closing.
// Cause: a wait without a limit.
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
    testing::Values(SilenceCase{"TargetsSilent", "/silent", 0, Nothing},
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

// Symptom: a download stands still for ever.
// Sequence: an answer has begun, and then no byte of it moves any more.
// Cause: the deadline ends with the answer's first byte, and nothing follows
// it.
TEST_P(StallTest, StalledAnswerIsBrokenOff) {
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
  fmt::print("broken off after {} ms\n", ToMilliseconds(Now() - begin));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    StallTest,
    testing::Values(StallCase{"TargetStalls", "/trickle/3/600000", false},
                    StallCase{"OwnerStops", "/trickle/100000/5", true},
                    StallCase{"LargeOwnerStops", "/size/300000000", true}),
    [](const auto& info) { return std::string(info.param.name); });

// An answer that goes on, however slowly, is whole.
TEST_F(TimelyTest, TricklingAnswerIsWhole) {
  FleetOptions options;
  options.min_progress_time = "2s";
  StartFleet(options);
  CallRequest request;
  request.path = "/trickle/30/100";
  request.deadline_ms = kDeadlineMs;
  const CallAnswer answer = Call(0, request);
  EXPECT_TRUE(answer.is_answered()) << ToText(answer);
  EXPECT_GT(answer.took, milliseconds(kDeadlineMs));
}

}  // namespace
}  // namespace bulrushmount

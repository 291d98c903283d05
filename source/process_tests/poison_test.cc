// Tests that a request that crashes every target that runs it is quarantined
// after a few crashes, and that the other requests that were in flight during a
// crash are answered later.

#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kRounds = 8;

class PoisonRequestTest : public FleetTest {
 protected:
  static CallRequest Poison(const std::string& method) {
    CallRequest request;
    request.method = method;
    request.path = "/order";
    request.body = "a POISON b";
    return request;
  }

  // Restarts the crashed targets and returns their number.
  std::size_t RestartCrashedTargets() {
    std::size_t crashes = 0;
    for (std::size_t i = 0; i < size(); ++i) {
      if (!at(i).target_process->IsRunning()) {
        ++crashes;
        StartTargetOf(i);
      }
    }
    WaitForFleet();
    return crashes;
  }
};

struct PoisonMethodCase {
  const char* name;
  // PUT is repeatable in the contract, POST is not.
  const char* method;
  std::size_t copies_at_once;
};

class RepeatedPoisonTest
    : public PoisonRequestTest,
      public testing::WithParamInterface<PoisonMethodCase> {};

// Guards against a request that crashes all targets one after the other: its
// caller retries it through each entry node in turn, and each attempt reaches
// another target, because no node records which requests ran at a crashed
// target. The bound is one run for each copy that was in flight before the
// first crash was known, and one more, after which the request is quarantined.
// The test must fail if the owner node does not report the crash to the other
// nodes.
TEST_P(RepeatedPoisonTest, CrashesOnlyAFewTargets) {
  StartFleet();
  std::size_t crashes = 0;
  std::size_t refused = 0;
  std::size_t runs = 0;
  const std::size_t copies = GetParam().copies_at_once;
  for (std::size_t round = 0; round < kRounds; ++round) {
    std::vector<std::future<CallAnswer>> calls;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      calls.push_back(
          CallLater((round + copy) % size(), Poison(GetParam().method)));
    }
    for (auto& call : calls) {
      const CallAnswer answer = call.get();
      EXPECT_NE(answer.outcome(), "") << ToText(answer);
      EXPECT_FALSE(answer.is_answered()) << ToText(answer);
      refused += answer.is_not_run() ? 1 : 0;
      EXPECT_FALSE(answer.is_not_run() && RunsOf(answer.request_id) > 0)
          << ToText(answer);
    }
    crashes += RestartCrashedTargets();
  }
  for (const LedgerLine& line : Ledgers()) {
    const bool is_poison = line.event == "started" && line.path == "/order";
    runs += is_poison ? 1 : 0;
  }
  fmt::print("sends {} runs {} crashes {} refused {}\n", kRounds * copies, runs,
             crashes, refused);
  EXPECT_GE(crashes, 1U);
  EXPECT_LE(runs, copies + 1);
  EXPECT_GT(refused, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    RepeatedPoisonTest,
    testing::Values(PoisonMethodCase{"NotRepeatable", "POST", 1},
                    PoisonMethodCase{"Repeatable", "PUT", 1},
                    PoisonMethodCase{"ThreeEntriesAtOnce", "POST", 3}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against unrelated requests that are refused for as long as the one
// that crashes targets. All requests that are in flight at a crash become
// suspects, and their callers retry them. The test must fail if a run that
// finishes under a permit does not clear its request of suspicion.
TEST_F(PoisonRequestTest, UnrelatedRequestsAreClearedAndAnswered) {
  StartFleet();
  // Leaves one target, so that all requests are in flight there.
  RemoveTarget(1);
  RemoveTarget(2);
  constexpr std::size_t unrelated_count = 5;
  const auto unrelated_request = [](std::size_t n) {
    CallRequest request;
    request.path = fmt::format("/sleep/300?n={}", n);
    return request;
  };
  std::vector<std::future<CallAnswer>> calls;
  for (std::size_t n = 0; n < unrelated_count; ++n) {
    calls.push_back(CallLater(n % size(), unrelated_request(n)));
  }
  for (std::size_t n = 0; n < unrelated_count; ++n) {
    WaitForRun(unrelated_request(n).path);
  }
  EXPECT_EQ(Call(1, Poison("POST")).outcome(), "unknown");
  for (auto& call : calls) {
    EXPECT_FALSE(call.get().is_answered());
  }
  EXPECT_EQ(RestartCrashedTargets(), 3U);
  for (std::size_t n = 0; n < unrelated_count; ++n) {
    EXPECT_TRUE(WaitUntil([&] {
      return Call(n % size(), unrelated_request(n)).is_answered();
    })) << ToText(Call(n % size(), unrelated_request(n)));
    // A suspect runs alone. Two copies can run at once when all nodes know that
    // the request is cleared.
    EXPECT_TRUE(WaitUntil([&] {
      auto other = CallLater((n + 1) % size(), unrelated_request(n));
      const bool is_answered =
          Call((n + 2) % size(), unrelated_request(n)).is_answered();
      return other.get().is_answered() && is_answered;
    })) << n;
  }
}

}  // namespace
}  // namespace bulrushmount

// Tests the stand-ins and the fixture with real processes: the behaviour that
// the expectations of the other process tests depend on.

#include <csignal>
#include <future>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "process_tests/process_fixture.h"
#include "stand_ins/request_digest.h"
#include "stand_ins/tcp_fault_relay.h"

namespace bulrushmount {
namespace {

class StandInsTest : public ProcessTest {
 protected:
  static std::size_t Count(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    std::size_t at = text.find(part);
    while (at != std::string::npos) {
      ++count;
      at = text.find(part, at + part.size());
    }
    return count;
  }
};

// Guards against a ledger that lacks a request that was running when its target
// was killed with SIGKILL, so that a second run of it looks like the first.
// This occurs if the ledger is written after the run or only in memory.
TEST_F(StandInsTest, LedgerSurvivesKill) {
  const Endpoint platform = FreeEndpoint();
  const auto platform_process = StartPlatform(platform);
  const Endpoint target = FreeEndpoint();
  const std::string ledger = FilePath("ledger");
  const auto process =
      StartTarget(target, {"--ledger", ledger, "--incarnation", "7"});
  auto answer = std::async(std::launch::async, [&] {
    return HttpCall(target, "POST", "/sleep/600000", "booking",
                    {{"Idempotency-Key", "k1"}});
  });
  ASSERT_TRUE(WaitUntil(
      [&] { return Count(ReadFile(ledger), R"("event":"started")") == 1; }));
  process->Kill();
  EXPECT_EQ(answer.get().status, 0U);
  const std::string text = ReadFile(ledger);
  EXPECT_EQ(Count(text, R"("idempotency_key":"k1")"), 1U);
  EXPECT_EQ(Count(text, R"("incarnation":7)"), 1U);
  EXPECT_EQ(Count(text, R"("event":"finished")"), 0U);
  EXPECT_TRUE(platform_process->IsRunning());
}

TEST_F(StandInsTest, AnswersCarryTheDigestOfTheirOwnRequest) {
  const Endpoint target = FreeEndpoint();
  const auto process = StartTarget(target, {"--service-time-ms", "0"});
  const std::uint64_t digest = RequestDigest("POST", "/browse?a=1", "body");
  const HttpAnswer plain = HttpCall(target, "POST", "/browse?a=1", "body");
  EXPECT_EQ(plain.status, 200U);
  EXPECT_EQ(plain.Header("X-Digest"), DigestText(digest));
  EXPECT_EQ(plain.body, "digest " + DigestText(digest) + "\n");
  const HttpAnswer large = HttpCall(target, "GET", "/size/1000003");
  const std::uint64_t large_digest = RequestDigest("GET", "/size/1000003", "");
  EXPECT_EQ(large.body, StreamBytes(large_digest, 0, 1000003));
  const HttpAnswer trickled = HttpCall(target, "GET", "/trickle/3/1");
  EXPECT_EQ(Count(trickled.body, "digest "), 3U);
  EXPECT_EQ(HttpCall(target, "GET", "/error/418").status, 418U);
  const HttpAnswer shed = HttpCall(target, "GET", "/shed");
  EXPECT_EQ(shed.status, 503U);
  EXPECT_EQ(shed.Header("Bulrushmount-Shed"), "1");
}

struct PoisonCase {
  const char* name;
  const char* path;
  const char* body;
};

class PoisonTest : public ProcessTest,
                   public testing::WithParamInterface<PoisonCase> {};

// A request with certain content aborts the target's process, and with it all
// requests that run there. Other tests rely on this to simulate such crashes.
TEST_P(PoisonTest, PoisonRequestEndsTheTarget) {
  const Endpoint target = FreeEndpoint();
  const std::string ledger = FilePath("ledger");
  const auto process = StartTarget(target, {"--ledger", ledger});
  const HttpAnswer answer =
      HttpCall(target, "POST", GetParam().path, GetParam().body);
  EXPECT_EQ(answer.status, 0U);
  EXPECT_EQ(process->WaitForExit().value_or(ExitStatus{}).signal, SIGABRT);
  EXPECT_NE(ReadFile(ledger).find(R"("event":"started")"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    PoisonTest,
    testing::Values(PoisonCase{"Path", "/crash", ""},
                    PoisonCase{"Body", "/book", "a POISON b"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a request that is cut off because its target receives SIGTERM
// and exits before it has sent the last answer.
TEST_F(StandInsTest, TerminatedTargetFinishesItsRequests) {
  const Endpoint target = FreeEndpoint();
  const std::string ledger = FilePath("ledger");
  const auto process =
      StartTarget(target, {"--ledger", ledger, "--linger-ms", "0"});
  auto answer = std::async(std::launch::async, [&] {
    return HttpCall(target, "GET", "/sleep/500");
  });
  ASSERT_TRUE(WaitUntil(
      [&] { return Count(ReadFile(ledger), R"("event":"started")") == 1; }));
  process->Terminate();
  EXPECT_EQ(answer.get().status, 200U);
  EXPECT_EQ(process->WaitForExit().value_or(ExitStatus{}).code, 0);
}

// The relay simulates faults of the network between two processes: a client
// gets no answer over a stalled or cut link, and a request that is held by a
// stalled link continues when the link opens again.
TEST_F(StandInsTest, RelayStallsAndCuts) {
  const Endpoint platform = FreeEndpoint();
  const auto process = StartPlatform(platform);
  const Endpoint middle = FreeEndpoint();
  TcpFaultRelay relay(middle, platform);
  const auto read = [&](Duration limit) {
    return HttpCall(middle, "GET", "/control/counters", {}, {}, limit).status;
  };
  EXPECT_EQ(read(kTestHangTimeout), 200U);
  relay.Set(LinkState::kStalled);
  EXPECT_EQ(read(std::chrono::milliseconds(100)), 0U);
  auto held =
      std::async(std::launch::async, [&] { return read(kTestHangTimeout); });
  relay.Set(LinkState::kOpen);
  EXPECT_EQ(held.get(), 200U);
  relay.Set(LinkState::kCut);
  EXPECT_EQ(read(kTestHangTimeout), 0U);
  relay.Set(LinkState::kOpen);
  EXPECT_EQ(read(kTestHangTimeout), 200U);
}

TEST_F(StandInsTest, FrozenProcessResumes) {
  const Endpoint platform = FreeEndpoint();
  const auto process = StartPlatform(platform);
  process->Freeze();
  EXPECT_EQ(HttpCall(platform, "GET", "/control/counters", {}, {},
                     std::chrono::milliseconds(100))
                .status,
            0U);
  process->Thaw();
  EXPECT_EQ(HttpCall(platform, "GET", "/control/counters").status, 200U);
}

}  // namespace
}  // namespace bulrushmount

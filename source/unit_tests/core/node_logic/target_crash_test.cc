// Tests which failures of an exchange count as a crash of the target, and make
// the request suspect.

#include <optional>

#include <gtest/gtest.h>

#include "unit_tests/core/node_logic/routed_node_support.h"

namespace bulrushmount {
namespace {

constexpr Fingerprint kHotRequest(77'000);
// After a start a node grants no permits for a while.
constexpr Duration kSettledHome = 10s;

// Failure: a target is out of service briefly after each lost answer. One
// answer is lost while no other request runs there, and the failed exchange
// counts as a crash.
TEST_F(RoutedNodeTest, ALostAnswerIsNoCrash) {
  Start();
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  const auto hand_over = Next<HandToTarget>();
  ASSERT_TRUE(hand_over);
  Deliver(TargetExchangeFailed{hand_over->work, false});
  Call("/read/2");
  ASSERT_TRUE(Arrive());
  EXPECT_TRUE(Next<HandToTarget>());
}

enum class ProbeResult : std::uint8_t {
  kHealthy,
  kUnhealthy,
  kSilent,
  kRefused
};

struct EvidenceCase {
  const char* name;
  // What the target does when it is probed after the failure.
  ProbeResult probe;
  Reason reason;
};

class CrashEvidenceTest : public RoutedNodeTest,
                          public testing::WithParamInterface<EvidenceCase> {
 protected:
  void EndProbe(ProbeResult result) {
    const auto probe = Next<SendProbe>();
    ASSERT_TRUE(probe);
    switch (result) {
      case ProbeResult::kHealthy:
      case ProbeResult::kUnhealthy:
        Deliver(ProbeAnswered{probe->probe, result == ProbeResult::kHealthy,
                              1ms, InstanceId("i-1"),
                              TargetLoadSample{0, 0, 9, 1}});
        return;
      case ProbeResult::kSilent:
      case ProbeResult::kRefused:
        Deliver(ProbeFailed{probe->probe, result == ProbeResult::kRefused});
        return;
    }
  }
};

// Guards against refusing a path because one target loses answers: a reset
// connection counted as the end of the target's process.
TEST_P(CrashEvidenceTest, OnlyARefusedConnectionMakesARequestSuspect) {
  Start();
  Call("/book/1", "", kHotRequest);
  const auto attempt = Arrive();
  ASSERT_TRUE(attempt);
  const auto hand_over = Next<HandToTarget>();
  ASSERT_TRUE(hand_over);
  Deliver(TargetExchangeFailed{hand_over->work, false});
  EXPECT_FALSE(Next<FailWork>());
  EndProbe(GetParam().probe);
  const auto failure = Next<FailWork>();
  ASSERT_TRUE(failure);
  EXPECT_EQ(failure->reason, GetParam().reason);
  // A copy of the request from an entry that knows of nothing.
  Deliver(WorkArrived{WorkId(1000), attempt->head});
  const auto refusal = Next<RefuseWork>();
  EXPECT_EQ(refusal.has_value(), GetParam().reason == Reason::kTargetCrashed);
  if (refusal) {
    EXPECT_EQ(refusal->reason, Reason::kSuspect);
  }
}

// Guards against a failure that is judged by a probe from before it.
TEST_P(CrashEvidenceTest, LaterFailureNeedsALaterProbe) {
  Start();
  Call("/book/1");
  ASSERT_TRUE(Arrive());
  Call("/book/2");
  ASSERT_TRUE(Arrive());
  const auto first = Next<HandToTarget>();
  const auto second = Next<HandToTarget>();
  ASSERT_TRUE(first && second);
  Deliver(TargetExchangeFailed{first->work, false});
  m_now += 1ms;
  Deliver(TargetExchangeFailed{second->work, false});
  EndProbe(GetParam().probe);
  EXPECT_TRUE(Next<FailWork>());
  // A process that has ended fails both.
  const bool has_crashed = GetParam().reason == Reason::kTargetCrashed;
  EXPECT_EQ(Next<FailWork>().has_value(), has_crashed);
  if (!has_crashed) {
    EndProbe(ProbeResult::kRefused);
    const auto failure = Next<FailWork>();
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->reason, Reason::kTargetCrashed);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Probes,
    CrashEvidenceTest,
    testing::Values(
        EvidenceCase{"Healthy", ProbeResult::kHealthy, Reason::kTargetLost},
        EvidenceCase{"Unhealthy", ProbeResult::kUnhealthy, Reason::kTargetLost},
        EvidenceCase{"Silent", ProbeResult::kSilent, Reason::kTargetLost},
        EvidenceCase{"Refused", ProbeResult::kRefused, Reason::kTargetCrashed}),
    [](const auto& info) { return info.param.name; });

struct LossCase {
  const char* name;
  Reason reason;
  bool is_crash;
};

class LostAttemptTest : public RoutedNodeTest,
                        public testing::WithParamInterface<LossCase> {
 protected:
  // Calls the hot request, and loses its attempt with `reason`. Returns whether
  // it was sent under a permit; empty if it was not sent.
  std::optional<bool> CallAndLose(Reason reason) {
    Call("/book/1", "", kHotRequest);
    const auto attempt = Next<DispatchAttempt>();
    if (!attempt)
      return std::nullopt;
    Deliver(AttemptLost{attempt->call, attempt->attempt, false, reason});
    EXPECT_TRUE(Next<AnswerCaller>());
    Advance(1ms);
    return attempt->head.is_suspect;
  }
};

// Guards against refusing a path because an answer was lost or a node ended:
// the entry counted both as a crash of the target.
TEST_P(LostAttemptTest, OnlyACrashMakesTheNextCallSuspect) {
  Advance(kSettledHome);
  Start();
  EXPECT_EQ(CallAndLose(GetParam().reason), false);
  EXPECT_EQ(CallAndLose(Reason::kTargetLost), GetParam().is_crash);
}

TEST_P(LostAttemptTest, OnlyACrashUnderAPermitQuarantines) {
  Advance(kSettledHome);
  Start();
  EXPECT_EQ(CallAndLose(Reason::kTargetCrashed), false);
  EXPECT_EQ(CallAndLose(GetParam().reason), true);
  const std::optional<bool> next = CallAndLose(Reason::kTargetLost);
  EXPECT_EQ(next.has_value(), !GetParam().is_crash);
  const auto refusal = Next<AnswerCaller>();
  EXPECT_EQ(refusal && refusal->reason == Reason::kQuarantined,
            GetParam().is_crash);
}

INSTANTIATE_TEST_SUITE_P(
    Reasons,
    LostAttemptTest,
    testing::Values(LossCase{"AnswerLost", Reason::kTargetLost, false},
                    LossCase{"NodeLost", Reason::kNodeLost, false},
                    LossCase{"Crash", Reason::kTargetCrashed, true}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount

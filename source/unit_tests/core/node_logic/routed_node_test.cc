// Tests one node with a routing document as entry and owner at once: the gate
// of its target, the selection of starts, retries and the shutdown.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "unit_tests/core/node_logic/routed_node_support.h"

namespace bulrushmount {
namespace {

TEST_F(RoutedNodeTest, RefusesTemporarilyUntilTheRoutesAreKnown) {
  m_is_table_unavailable = true;
  Advance(3s);
  EXPECT_FALSE(m_logic.IsReady());
  Call("/read/1");
  auto answer = Next<AnswerCaller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->reason, Reason::kConfigurationUnknown);
  m_is_table_unavailable = false;
  // The table is available again: two seconds, and the jitter of one read.
  Advance(3s);
  EXPECT_TRUE(m_logic.IsReady());
  Call("/nowhere/");
  answer = Next<AnswerCaller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->reason, Reason::kNoRoute);
}

TEST_F(RoutedNodeTest, AWatchDeliversTheNextDocumentAndAnOldOneIsIgnored) {
  Start();
  const auto revision = [this] { return m_logic.StatusJson(m_now); };
  EXPECT_NE(revision().find("\"revision\":5"), std::string::npos);
  WriteDocument("8");
  EXPECT_NE(revision().find("\"revision\":8"), std::string::npos);
  WriteDocument("6");
  EXPECT_NE(revision().find("\"revision\":8"), std::string::npos);
  WriteDocument("bad");
  EXPECT_NE(revision().find("\"revision\":8"), std::string::npos);
  WriteDocument("9");
  EXPECT_NE(revision().find("\"revision\":9"), std::string::npos);
}

// Failure: changes take seconds to come into force. The watch fails during a
// short outage of the table and is not opened again.
TEST_F(RoutedNodeTest, ABrokenWatchIsReopenedAfterARead) {
  Start();
  ASSERT_TRUE(m_watch);
  TableReply lost;
  lost.status = TableStatus::kHistoryLost;
  m_document = "7";
  Deliver(TableReplied{*std::exchange(m_watch, std::nullopt), lost});
  Advance(500ms);
  EXPECT_TRUE(m_watch);
  EXPECT_NE(m_logic.StatusJson(m_now).find("\"revision\":7"),
            std::string::npos);
}

// Failure: a third of all requests takes seven times the usual time although
// other targets have no interference. Interference occurs twice a second, the
// speed of a target known to the entry is some hundred milliseconds old, and
// the request is handed over without probing the target.
TEST_F(RoutedNodeTest, ProbesTheTargetsSpeedBeforeAHandOver) {
  Start();
  Advance(100ms);
  const CallId call = Call("/read/1");
  auto attempt = Arrive();
  ASSERT_TRUE(attempt);
  EXPECT_GT(attempt->head.max_slowdown, 0);
  EXPECT_FALSE(Next<HandToTarget>());
  AnswerProbe("i-1", 7);
  Refuse(*attempt, Reason::kSlowTarget);
  // There is no other target, so this one is accepted.
  attempt = Arrive();
  ASSERT_TRUE(attempt);
  EXPECT_EQ(attempt->call, call);
  EXPECT_EQ(attempt->head.max_slowdown, 0);
  // The work starts once the interference is over.
  EXPECT_FALSE(Next<HandToTarget>());
  Advance(60ms);
  AnswerProbe("i-1", 1);
  const auto hand_over = Next<HandToTarget>();
  ASSERT_TRUE(hand_over);
  EXPECT_EQ(hand_over->instance, InstanceId("i-1"));
}

TEST_F(RoutedNodeTest, AFreshLoadSampleIsUsedWithoutAProbe) {
  Start();
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  EXPECT_TRUE(Next<HandToTarget>());
  EXPECT_FALSE(Next<SendProbe>());
}

TEST_F(RoutedNodeTest, ASilentHealthEndpointDoesNotDelayRequests) {
  Start();
  Advance(100ms);
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  const auto probe = Next<SendProbe>();
  ASSERT_TRUE(probe);
  EXPECT_FALSE(Next<HandToTarget>());
  Deliver(ProbeFailed{probe->probe});
  EXPECT_TRUE(Next<HandToTarget>());
}

// A node whose target has begun to answer a call, and does not end the answer.
class AnswerTimeTest : public RoutedNodeTest {
 protected:
  void BeginAnswer() {
    Start();
    Call("/read/1");
    const auto attempt = Arrive();
    ASSERT_TRUE(attempt);
    const auto hand_over = Next<HandToTarget>();
    ASSERT_TRUE(hand_over);
    m_work = hand_over->work;
    Deliver(TargetAnswerBegun{m_work, 200, false, false, {}, {}, false});
    const auto relay = Next<RelayWork>();
    ASSERT_TRUE(relay);
    Deliver(
        AttemptAnswerBegun{attempt->call, attempt->attempt, 200, relay->load});
    ASSERT_TRUE(Next<RelayAnswer>());
  }

  WorkId m_work;
};

// Guards against a caller that waits without limit for the end of an answer
// because the timeout of the route limits only its first byte.
TEST_F(AnswerTimeTest, AnswerInProgressIsCutAtTheTimeoutOfItsRoute) {
  BeginAnswer();
  Advance(1999ms);
  EXPECT_FALSE(Next<CancelAttempt>());
  Advance(1ms);
  EXPECT_TRUE(Next<CancelAttempt>());
  EXPECT_TRUE(Next<AbortAnswer>());
}

// Guards against a target that is occupied without limit by a request whose
// cancellation does not reach the owner.
TEST_F(AnswerTimeTest, OwnerEndsAnOverdueRequestByItself) {
  BeginAnswer();
  Advance(2s);
  EXPECT_FALSE(Next<FailWork>());
  Advance(100ms);
  const auto ended = Next<FailWork>();
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->work, m_work);
  EXPECT_EQ(ended->reason, Reason::kDeadlineExceeded);
}

TEST_F(AnswerTimeTest, CompleteAnswerHasNoTimeLimit) {
  BeginAnswer();
  Advance(1s);
  Deliver(TargetAnswerEnded{m_work});
  Deliver(AttemptAnswerEnded{CallId(m_last_call), AttemptNumber(1), {}, {}, 5});
  Advance(10s);
  EXPECT_FALSE(Next<CancelAttempt>());
  EXPECT_FALSE(Next<FailWork>());
}

// The same for a target that does not begin to answer.
TEST_F(RoutedNodeTest, OwnerEndsAnOverdueRequestWithoutAnAnswer) {
  Start();
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  ASSERT_TRUE(Next<HandToTarget>());
  Advance(2100ms);
  const auto ended = Next<FailWork>();
  ASSERT_TRUE(ended);
  EXPECT_EQ(ended->reason, Reason::kDeadlineExceeded);
}

// Failure: a target gets requests after its leave was acknowledged. A request
// waits at the owner for a speed probe, the target reports that it drains, and
// then the probe is answered. The gate is not checked again for held requests.
TEST_F(RoutedNodeTest, HeldWorkIsNotHandedToADrainingTarget) {
  Start();
  Advance(100ms);
  Call("/book/1");
  const auto attempt = Arrive();
  ASSERT_TRUE(attempt);
  const auto probe = Next<SendProbe>();
  ASSERT_TRUE(probe);
  TargetHeartbeat draining = Heartbeat("i-1", 2);
  draining.readiness = TargetReadiness::kDraining;
  Deliver(draining);
  Deliver(ProbeAnswered{probe->probe, true, 1ms, InstanceId("i-1"),
                        TargetLoadSample{0, 0, 9, 1}});
  EXPECT_FALSE(Next<HandToTarget>());
  Refuse(*attempt, Reason::kDraining);
  const auto answer = Next<AnswerCaller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->outcome, Outcome::kNotRun);
}

// Failure: a target gets no work permanently. Another process reports, twice, a
// target of a service that is not configured, and it replaces the current
// target.
TEST_F(RoutedNodeTest, ATargetOfAnUnknownServiceReplacesNoTarget) {
  Start();
  TargetHeartbeat unknown_target = Heartbeat("i-9", 1);
  unknown_target.service = ServiceName("unheard-of");
  Deliver(unknown_target);
  ++unknown_target.sequence;
  Deliver(unknown_target);
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  EXPECT_TRUE(Next<HandToTarget>());
}

// Rejected reports are counted and have no other effect.
TEST_F(RoutedNodeTest, RejectedReportsAreCounted) {
  Start();
  TargetHeartbeat unknown_target = Heartbeat("i-9", 1);
  unknown_target.service = ServiceName("unheard-of");
  for (int report = 0; report < 3; ++report)
    Deliver(TargetReportRefused{InstanceId("i-1"), "slots: above 0"});
  Deliver(unknown_target);
  const std::string page = m_logic.MetricsText(m_now);
  EXPECT_NE(page.find(R"(refused_reports_total{reason="unreadable"} 3)"),
            std::string::npos);
  EXPECT_NE(page.find(R"(refused_reports_total{reason="unknown-service"} 1)"),
            std::string::npos);
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  EXPECT_TRUE(Next<HandToTarget>());
}

// Failure: a target whose leave was acknowledged gets work. Its service is
// removed from the configuration, it reports that it drains, and the service is
// added again. Reports of unknown services were ignored.
TEST_F(RoutedNodeTest, ADrainReportIsAcceptedForAnyService) {
  Start();
  TargetHeartbeat draining = Heartbeat("i-1", 2);
  draining.service = ServiceName("unheard-of");
  draining.readiness = TargetReadiness::kDraining;
  Deliver(draining);
  Call("/read/1");
  Arrive();
  EXPECT_FALSE(Next<HandToTarget>());
}

struct RetryCase {
  const char* name;
  const char* target;
  // Whether the target sheds the request; otherwise its answer is lost.
  bool is_shed;
  // Whether another attempt is made.
  bool is_retried;
  Outcome outcome;
};

class RequestRetryTest : public RoutedNodeTest,
                         public testing::WithParamInterface<RetryCase> {};

// A request with an unknown outcome is retried only if it is repeatable; a
// request that the target shed was not run and can always be retried.
TEST_P(RequestRetryTest, RetriesOnlyIfSafe) {
  Start();
  // A second target at a node that does not exist: only the pick matters.
  Call(GetParam().target);
  const auto attempt = Arrive();
  ASSERT_TRUE(attempt);
  const auto hand_over = Next<HandToTarget>();
  ASSERT_TRUE(hand_over);
  if (GetParam().is_shed) {
    Deliver(TargetAnswerBegun{hand_over->work, 503, true});
    Refuse(*attempt, Reason::kShed);
  } else {
    Deliver(TargetExchangeFailed{hand_over->work, false});
    AnswerProbe("i-1", 1);
    const auto failure = Next<FailWork>();
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->reason, Reason::kTargetLost);
    Deliver(AttemptLost{attempt->call, attempt->attempt, false,
                        Reason::kTargetLost});
  }
  const auto answer = Next<AnswerCaller>();
  // The only target was tried, so the answer shows the outcome.
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Fates,
    RequestRetryTest,
    testing::Values(
        RetryCase{"ReadLost", "/read/1", false, true, Outcome::kUnknown},
        RetryCase{"BookingLost", "/book/1", false, false, Outcome::kUnknown},
        RetryCase{"BookingShed", "/book/1", true, true, Outcome::kNotRun}),
    [](const auto& info) { return std::string(info.param.name); });

struct ShedCase {
  const char* name;
  // Every nth request is answered, the others are shed.
  int answered_every;
  Duration least;
  Duration most;
};

class ShedRetryAfterTest : public RoutedNodeTest,
                           public testing::WithParamInterface<ShedCase> {
 protected:
  void Answer(const DispatchAttempt& attempt, WorkId work) {
    Deliver(TargetAnswerBegun{work, 200});
    Deliver(TargetAnswerEnded{work});
    Deliver(AttemptAnswerBegun{attempt.call, attempt.attempt, 200});
    Deliver(AttemptAnswerEnded{attempt.call, attempt.attempt});
  }
};

// Guards against callers that are kept away until they are late, although an
// idle target sheds only part of its requests; and against callers that return
// at once to a target that sheds them all.
TEST_P(ShedRetryAfterTest, DependsOnHowManyAreShed) {
  Start();
  std::optional<AnswerCaller> refusal;
  for (int count = 0; count < 40; ++count) {
    Advance(20ms);
    Call("/read/1");
    const auto attempt = Arrive();
    ASSERT_TRUE(attempt);
    if (const auto probe = Next<SendProbe>())
      Deliver(ProbeAnswered{probe->probe, true, 1ms, InstanceId("i-1"),
                            TargetLoadSample{0, 0, 9, 1}});
    const auto hand_over = Next<HandToTarget>();
    ASSERT_TRUE(hand_over);
    if (count % GetParam().answered_every == 0) {
      Answer(*attempt, hand_over->work);
      continue;
    }
    Deliver(TargetAnswerBegun{hand_over->work, 503, true});
    Refuse(*attempt, Reason::kShed);
    refusal = Next<AnswerCaller>();
    ASSERT_TRUE(refusal);
  }
  ASSERT_TRUE(refusal->retry_after);
  EXPECT_GE(*refusal->retry_after, GetParam().least);
  EXPECT_LE(*refusal->retry_after, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Targets,
    ShedRetryAfterTest,
    testing::Values(ShedCase{"HalfShed", 2, 20ms, 40ms},
                    ShedCase{"NearlyAllShed", 100, 250ms, 500ms}),
    [](const auto& info) { return std::string(info.param.name); });

// Failure: a service serves nothing for seconds, not even requests that need no
// other service. A service that all targets call fails, all targets answer with
// status 500, and each owner takes its own target out of service.
TEST_F(RoutedNodeTest, ATargetThatFailsStaysInService) {
  Start();
  for (int count = 0; count < 40; ++count) {
    Call("/read/1");
    ASSERT_TRUE(Arrive()) << count;
    if (const auto probe = Next<SendProbe>())
      Deliver(ProbeAnswered{probe->probe, true, 1ms, InstanceId("i-1"),
                            TargetLoadSample{0, 0, 9, 1}});
    const auto hand_over = Next<HandToTarget>();
    ASSERT_TRUE(hand_over) << count;
    Deliver(TargetAnswerBegun{hand_over->work, 500});
    Deliver(TargetAnswerEnded{hand_over->work});
    const auto attempt = CallId(m_last_call);
    Deliver(AttemptAnswerBegun{attempt, AttemptNumber(1), 500});
    Deliver(AttemptAnswerEnded{attempt, AttemptNumber(1)});
    Advance(10ms);
  }
}

// Guards against targets that are idle while their nodes are restarted in turn,
// so that the service lacks their slots.
TEST_F(RoutedNodeTest, ALeavingNodesTargetTakesWorkForHalfOfTheLeaveTime) {
  Start();
  Deliver(ShutdownRequested{});
  Advance(1s);
  Call("/read/1");
  ASSERT_TRUE(Arrive());
  AnswerProbe("i-1", 1);
  EXPECT_TRUE(Next<HandToTarget>());
  // Entries that do not know of the drain are refused with outcome "not run".
  Advance(600ms);
  WorkHead head;
  head.service = kService;
  head.time_left = 1s;
  Deliver(WorkArrived{WorkId(++m_last_work), head});
  const auto refusal = Next<RefuseWork>();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, Reason::kDraining);
  EXPECT_FALSE(Next<HandToTarget>());
}

// Failure: callers lose their connections when a node is replaced. After
// SIGTERM callers that have not yet seen that the node is not ready send more
// calls, and the node refuses them at once.
TEST_F(RoutedNodeTest, ALeavingNodeServesCallersThatStillUseIt) {
  Start();
  Deliver(ShutdownRequested{});
  EXPECT_FALSE(m_logic.IsReady());
  Advance(1600ms);
  Call("/read/1");
  // Its own target accepts no new work, and there is no other.
  const auto answer = Next<AnswerCaller>();
  ASSERT_TRUE(answer);
  EXPECT_NE(answer->reason, Reason::kDraining);
  EXPECT_FALSE(Next<ExitProcess>());
  // Calls continue, as from callers without another node.
  for (int count = 0; count < 4; ++count) {
    Advance(450ms);
    Call("/read/2");
    const auto next = Next<AnswerCaller>();
    ASSERT_TRUE(next);
    EXPECT_NE(next->reason, Reason::kDraining) << count;
  }
  // A call may take two seconds and the node exits earlier, so a call that
  // arrives now could be aborted.
  Advance(600ms);
  Call("/read/3");
  const auto late = Next<AnswerCaller>();
  ASSERT_TRUE(late);
  EXPECT_EQ(late->reason, Reason::kDraining);
  Advance(2s);
  EXPECT_TRUE(Next<ExitProcess>());
}

TEST_F(RoutedNodeTest, ALeavingNodeWithoutCallersExitsEarly) {
  Start();
  Deliver(ShutdownRequested{});
  Advance(2900ms);
  EXPECT_FALSE(Next<ExitProcess>());
  Advance(2500ms);
  EXPECT_TRUE(Next<ExitProcess>());
}

class KeyedNodeTest : public RoutedNodeTest {
 protected:
  KeyedNodeTest() { SetKeys({"k-1"}, {"k-2"}); }

  // Sets the keys of two workspaces in the next document. The second one has a
  // priority of its own. The route of bookings is public.
  void SetKeys(const std::vector<std::string>& first,
               const std::vector<std::string>& second) {
    Workspace one;
    one.name = WorkspaceName("one");
    Workspace two;
    two.name = WorkspaceName("two");
    two.priority = 2;
    for (const std::string& key : first)
      one.keys.push_back(KeyDigest::Of(key));
    for (const std::string& key : second)
      two.keys.push_back(KeyDigest::Of(key));
    m_decoder.config.routes[0].priority = 1;
    m_decoder.config.routes[1].is_public = true;
    m_decoder.config.workspaces = {one, two};
  }

  // Returns the reason of the refusal, or kNone and sets m_attempt if the call
  // is sent to an owner.
  Reason Send(const std::string& target, const std::string& key) {
    const CallId call = Call(target, key);
    m_attempt = Next<DispatchAttempt>();
    if (m_attempt) {
      Deliver(CallerDisconnected{call});
      return Reason::kNone;
    }
    const auto answer = Next<AnswerCaller>();
    return answer ? answer->reason : Reason::kMalformedRequest;
  }

  std::optional<DispatchAttempt> m_attempt;
};

TEST_F(KeyedNodeTest, OwnerLearnsTheWorkspaceAndItsPriority) {
  Start();
  ASSERT_EQ(Send("/read/1", "k-1"), Reason::kNone);
  EXPECT_EQ(m_attempt->head.workspace, WorkspaceName("one"));
  EXPECT_EQ(m_attempt->head.priority, 1U);
  EXPECT_TRUE(m_attempt->removes_workspace_fields);
  ASSERT_EQ(Send("/read/1", "k-2"), Reason::kNone);
  EXPECT_EQ(m_attempt->head.workspace, WorkspaceName("two"));
  EXPECT_EQ(m_attempt->head.priority, 2U);
}

TEST_F(KeyedNodeTest, PublicRequestHasNoWorkspace) {
  Start();
  for (const char* const key : {"", "k-1", "unknown"}) {
    ASSERT_EQ(Send("/book/1", key), Reason::kNone);
    EXPECT_EQ(m_attempt->head.workspace, WorkspaceName());
    EXPECT_TRUE(m_attempt->removes_workspace_fields);
  }
}

// Guards against 401 for a path that does not exist, and against 401 before the
// keys are known.
TEST_F(KeyedNodeTest, UnknownKeyIsReportedOnlyForKnownRoutes) {
  m_is_table_unavailable = true;
  Advance(3s);
  EXPECT_EQ(Send("/read/1", "unknown"), Reason::kConfigurationUnknown);
  m_is_table_unavailable = false;
  Advance(3s);
  Start();
  EXPECT_EQ(Send("/read/1", "unknown"), Reason::kUnknownKey);
  EXPECT_EQ(Send("/read/1", ""), Reason::kUnknownKey);
  EXPECT_EQ(Send("/nowhere/", "unknown"), Reason::kNoRoute);
}

// Failure: a withdrawn key is served, or a new one refused, because the keys of
// an earlier document remain in the table.
TEST_F(KeyedNodeTest, KeysFollowTheDocument) {
  Start();
  SetKeys({"k-2", "k-3"}, {});
  WriteDocument("7");
  EXPECT_EQ(Send("/read/1", "k-1"), Reason::kUnknownKey);
  ASSERT_EQ(Send("/read/1", "k-2"), Reason::kNone);
  EXPECT_EQ(m_attempt->head.workspace, WorkspaceName("one"));
  EXPECT_EQ(Send("/read/1", "k-3"), Reason::kNone);
  // An older document and a faulty one change nothing.
  SetKeys({"k-1"}, {"k-2"});
  WriteDocument("6");
  WriteDocument("bad");
  EXPECT_EQ(Send("/read/1", "k-1"), Reason::kUnknownKey);
  EXPECT_EQ(Send("/read/1", "k-3"), Reason::kNone);
}

// Guards against a fleet of one that waits for other members, against a limit
// that counts requests which no target has seen, and against limits on public
// routes and on workspaces without one.
TEST_F(KeyedNodeTest, EnforcesTheLimitOfAWorkspaceOnOneNode) {
  m_decoder.config.workspaces->front().units_per_second = 1;
  m_decoder.config.workspaces->front().burst_units = 2;
  Advance(3s);
  for (int call = 0; call < 9; ++call)
    EXPECT_EQ(Send("/read/1", "k-1"), Reason::kNoTarget);
  Start();
  ASSERT_EQ(Send("/read/1", "k-1"), Reason::kNone);
  Call("/read/1", "k-1");
  const auto answer = Next<AnswerCaller>();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->reason, Reason::kWorkspaceRateLimit);
  EXPECT_EQ(answer->outcome, Outcome::kNotRun);
  ASSERT_TRUE(answer->retry_after);
  EXPECT_GE(*answer->retry_after, 100ms);
  EXPECT_LE(*answer->retry_after, 2s);
  EXPECT_EQ(Send("/read/1", "k-2"), Reason::kNone);
  EXPECT_EQ(Send("/book/1", "k-1"), Reason::kNone);
  EXPECT_NE(m_logic.StatusJson(m_now).find("\"workspace\":\"one\""),
            std::string::npos);
  EXPECT_NE(m_logic.MetricsText(m_now).find("workspace=\"one\""),
            std::string::npos);
  Advance(2s);
  EXPECT_EQ(Send("/read/1", "k-1"), Reason::kNone);
}

// Without workspaces in the document, the caller's fields reach the target as
// they were sent, and keys have no effect.
TEST_F(KeyedNodeTest, ADocumentWithoutWorkspacesIgnoresKeys) {
  m_decoder.config = ExampleRoutes();
  Start();
  for (const char* const key : {"", "k-1", "unknown"}) {
    ASSERT_EQ(Send("/read/1", key), Reason::kNone);
    EXPECT_EQ(m_attempt->head.workspace, WorkspaceName());
    EXPECT_EQ(m_attempt->head.priority, 0U);
    EXPECT_FALSE(m_attempt->removes_workspace_fields);
  }
}

// Failure: requests with unknown keys shift the traffic between the services of
// a route. With equal shares and every second request refused, all requests
// that are served go to the same service.
TEST_F(KeyedNodeTest, RefusedRequestsDoNotShiftTheSharesOfARoute) {
  const ServiceName other("counter");
  m_decoder.config.routes[0].shares = {{kService, 1}, {other, 1}};
  m_decoder.config.services.push_back({other, "/health", 100});
  Start();
  int answered = 0;
  for (int i = 0; i < 10; ++i) {
    // The other service has no targets.
    const Reason reason = Send("/read/1", "k-1");
    answered += reason == Reason::kNone ? 1 : 0;
    EXPECT_EQ(Send("/read/1", "unknown"), Reason::kUnknownKey);
  }
  EXPECT_EQ(answered, 5);
}

}  // namespace
}  // namespace bulrushmount

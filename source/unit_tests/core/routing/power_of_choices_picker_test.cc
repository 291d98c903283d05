// Tests of `core/routing/power_of_choices_picker.h`: each test covers one
// condition under which a target must not attract load, or must not be avoided.

#include "core/routing/power_of_choices_picker.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr int kTargets = 7;
constexpr int kPicks = 700;
constexpr NodeId kTestedNode{1};
constexpr LoadReport kNormalLoad{.in_flight = 6,
                                 .queued = 0,
                                 .limit = 12,
                                 .service_time = 10ms};

// Seven equal targets that have just reported a normal load. The tests change
// target kTestedNode.
class PowerOfChoicesPickerTest : public testing::Test {
 protected:
  PowerOfChoicesPickerTest() {
    for (std::uint64_t node = 1; node <= kTargets; ++node)
      m_picker.Update({.node = NodeId(node), .slots = 12});
    AnswerFromOthers();
  }

  Dispatch Send(NodeId node) {
    const Dispatch dispatch{.node = node, .sent_at = m_now};
    m_picker.OnSent(dispatch);
    return dispatch;
  }

  void Answer(NodeId node, const LoadReport& load, AnswerQuality quality) {
    Dispatch dispatch = Send(node);
    m_picker.OnAnswerBegun(m_now, dispatch, load, quality);
    m_picker.OnEnded(m_now, dispatch, load);
  }

  // Sends an answer from every target but kTestedNode.
  void AnswerFromOthers(const LoadReport& load = kNormalLoad) {
    for (std::uint64_t node = 2; node <= kTargets; ++node)
      Answer(NodeId(node), load, AnswerQuality::kGood);
  }

  int PicksOfTestedNode() {
    int picks = 0;
    for (int round = 0; round < kPicks; ++round)
      picks += m_picker.Pick(m_now, {}, m_random) == kTestedNode;
    return picks;
  }

  static constexpr int kFairShare = kPicks / kTargets;

  PowerOfChoicesPicker m_picker{PowerOfChoicesSettings{}};
  SeededRandomSource m_random{1};
  TimePoint m_now{1s};
};

TEST_F(PowerOfChoicesPickerTest, EqualTargetsGetEqualShares) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  EXPECT_NEAR(PicksOfTestedNode(), kFairShare, 0.5 * kFairShare);
}

TEST_F(PowerOfChoicesPickerTest, FullTargetIsNotPicked) {
  Answer(kTestedNode,
         {.in_flight = 12, .queued = 6, .limit = 12, .service_time = 10ms},
         AnswerQuality::kGood);
  EXPECT_EQ(PicksOfTestedNode(), 0);
}

// Guards against a target that fails every call immediately and attracts more
// than its share: it answers 500 within a millisecond, and so reports no load
// and a short service time.
TEST_F(PowerOfChoicesPickerTest, FastErrorsDoNotAttractLoad) {
  const LoadReport idle{
      .in_flight = 0, .queued = 0, .limit = 12, .service_time = 1ms};
  Answer(kTestedNode, idle, AnswerQuality::kServerError);
  EXPECT_EQ(PicksOfTestedNode(), 0);
  // It must be tried again eventually.
  m_now += 20s;
  AnswerFromOthers();
  EXPECT_GT(PicksOfTestedNode(), 0);
}

// Guards against calls that leave their zone, or flood the few targets without
// a record, while all targets of a service shed half of their requests.
TEST_F(PowerOfChoicesPickerTest, CommonFailuresDoNotCountAgainstATarget) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  for (std::uint64_t round = 0; round < 40; ++round) {
    for (std::uint64_t node = 2; node <= kTargets; ++node) {
      if ((round + node) % 2 == 0) {
        m_picker.OnRefused(m_now, Send(NodeId(node)), Reason::kShed,
                           kNormalLoad);
      } else {
        Answer(NodeId(node), kNormalLoad, AnswerQuality::kGood);
      }
    }
  }
  EXPECT_NEAR(PicksOfTestedNode(), kFairShare, 0.5 * kFairShare);
}

// Guards against a target that keeps its load although it fails most requests
// and the others fail some.
TEST_F(PowerOfChoicesPickerTest, MoreFailuresThanTheOthersCount) {
  for (int round = 0; round < 40; ++round) {
    for (std::uint64_t node = 1; node <= kTargets; ++node) {
      m_now += 5ms;
      const bool fails = node == kTestedNode.value() || round % 10 == 0;
      Answer(NodeId(node), kNormalLoad,
             fails ? AnswerQuality::kServerError : AnswerQuality::kGood);
    }
  }
  EXPECT_EQ(PicksOfTestedNode(), 0);
}

struct RefusalCase {
  Reason reason;
  bool is_avoided;
};

class PickerRefusalTest : public PowerOfChoicesPickerTest,
                          public testing::WithParamInterface<RefusalCase> {};

// Guards against a failing target that refuses immediately, reports an idle
// load and so attracts all retries.
TEST_P(PickerRefusalTest, FailuresRaiseTheScoreOfTheTarget) {
  const LoadReport idle{
      .in_flight = 0, .queued = 0, .limit = 12, .service_time = 10ms};
  m_picker.OnRefused(m_now, Send(kTestedNode), GetParam().reason, idle);
  if (GetParam().is_avoided)
    EXPECT_EQ(PicksOfTestedNode(), 0);
  else
    EXPECT_GT(PicksOfTestedNode(), kFairShare);
}

INSTANTIATE_TEST_SUITE_P(
    Reasons,
    PickerRefusalTest,
    testing::Values(RefusalCase{Reason::kShed, true},
                    RefusalCase{Reason::kConnectFailed, true},
                    RefusalCase{Reason::kDraining, true},
                    RefusalCase{Reason::kDeadlineTooShort, false}));

// Guards against calls to a target that has become ten times slower before any
// report shows it: it has the normal number of requests and has not answered
// for 20 ms.
TEST_F(PowerOfChoicesPickerTest, SilenceShowsSlownessBeforeAnyReport) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  for (std::uint64_t node = 1; node <= kTargets; ++node) {
    for (int count = 0; count < 3; ++count)
      Send(NodeId(node));
  }
  m_now += 20ms;
  // All have three more in flight, and the others still answer.
  AnswerFromOthers(
      {.in_flight = 9, .queued = 0, .limit = 12, .service_time = 10ms});
  EXPECT_LT(PicksOfTestedNode(), kFairShare / 10);
}

// Guards against half of all lookups leaving their zone although the near
// target is hardly used: the silence until the first of three pipelined
// requests answers must not count as a delay of each.
TEST_F(PowerOfChoicesPickerTest, PipelinedRequestsAreNotSilence) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  for (std::uint64_t node = 1; node <= kTargets; ++node) {
    for (int count = 0; count < 3; ++count)
      Send(NodeId(node));
  }
  m_now += 12ms;
  AnswerFromOthers(
      {.in_flight = 9, .queued = 0, .limit = 12, .service_time = 10ms});
  EXPECT_GT(PicksOfTestedNode(), kFairShare / 2);
}

// Guards against avoiding a near target for half a second after each
// disturbance of 100 ms: its report of a fourfold slowdown must expire although
// no request was sent since.
TEST_F(PowerOfChoicesPickerTest, AReportedSlowdownExpiresSoon) {
  AnswerFromOthers();
  LoadReport slow = kNormalLoad;
  slow.slowdown = 4;
  Answer(kTestedNode, slow, AnswerQuality::kGood);
  EXPECT_EQ(PicksOfTestedNode(), 0);
  m_now += 250ms;
  AnswerFromOthers();
  EXPECT_GT(PicksOfTestedNode(), kFairShare / 2);
}

// Guards against a frozen target that gets its share again after each deadline,
// because cancelled attempts leave no requests in flight.
TEST_F(PowerOfChoicesPickerTest, CancelledAttemptsRaiseTheServiceTime) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  const Dispatch dispatch = Send(kTestedNode);
  m_now += 500ms;
  m_picker.OnCancelled(m_now, dispatch);
  AnswerFromOthers();
  EXPECT_EQ(PicksOfTestedNode(), 0);
  m_now += 30s;
  AnswerFromOthers();
  EXPECT_GT(PicksOfTestedNode(), 0);
}

// Guards against picking a target that has refused with kDraining, before
// membership reports that it leaves.
TEST_F(PowerOfChoicesPickerTest, DrainingExcludesTheTargetTemporarily) {
  m_picker.OnRefused(m_now, Send(kTestedNode), Reason::kDraining, LoadReport{});
  EXPECT_EQ(PicksOfTestedNode(), 0);
  m_now += 2s;
  AnswerFromOthers();
  EXPECT_GT(PicksOfTestedNode(), 0);
}

// Guards against a target that times out on its first requests after its start,
// because the least loaded target gets all of them, cold or not.
TEST_F(PowerOfChoicesPickerTest, ColdTargetGetsARisingShare) {
  m_picker.Update({.node = kTestedNode, .slots = 12, .warming_since = m_now});
  const int cold = PicksOfTestedNode();
  m_now += 5s;
  AnswerFromOthers();
  const int half_warm = PicksOfTestedNode();
  m_now += 5s;
  AnswerFromOthers();
  const int warm = PicksOfTestedNode();
  EXPECT_LT(cold, kFairShare / 2);
  EXPECT_LE(cold, half_warm);
  EXPECT_LT(half_warm, warm);
}

TEST_F(PowerOfChoicesPickerTest, NearTargetsArePickedUntilTheyAreFull) {
  m_picker.Update({.node = kTestedNode,
                   .distance = ZoneDistance::kOtherRegion,
                   .slots = 12});
  Answer(kTestedNode,
         {.in_flight = 0, .queued = 0, .limit = 12, .service_time = 10ms},
         AnswerQuality::kGood);
  EXPECT_EQ(PicksOfTestedNode(), 0);
  const LoadReport full{
      .in_flight = 12, .queued = 60, .limit = 12, .service_time = 10ms};
  for (std::uint64_t node = 2; node <= kTargets; ++node)
    Answer(NodeId(node), full, AnswerQuality::kGood);
  EXPECT_EQ(PicksOfTestedNode(), kPicks);
}

// Guards against targets that this node avoids after it was frozen itself,
// because their answers were handled late.
TEST_F(PowerOfChoicesPickerTest, PauseOfThisProcessSaysNothingAboutTargets) {
  Answer(kTestedNode, kNormalLoad, AnswerQuality::kGood);
  const Dispatch dispatch = Send(kTestedNode);
  m_now += 2s;
  m_picker.OnPaused(m_now);
  AnswerFromOthers();
  m_picker.OnCancelled(m_now, dispatch);
  EXPECT_GT(PicksOfTestedNode(), kFairShare / 2);
}

constexpr LoadReport kSlowLoad{.in_flight = 0,
                               .queued = 0,
                               .limit = 12,
                               .service_time = 200ms};
constexpr LoadReport kIdleLoad{.in_flight = 0,
                               .queued = 0,
                               .limit = 12,
                               .service_time = 10ms};

// At low load, one target of seven was slow.
class RecoveredTargetPickTest : public PowerOfChoicesPickerTest {
 protected:
  RecoveredTargetPickTest() { AnswerFromOthers(kIdleLoad); }

  int TrialsWithin(Duration length, Duration answer_time) {
    int trials = 0;
    for (const TimePoint end = m_now + length; m_now < end; m_now += 10ms) {
      AnswerFromOthers(kIdleLoad);
      const auto picked = m_picker.Pick(m_now, m_request, m_random);
      if (picked != kTestedNode)
        continue;
      ++trials;
      Dispatch dispatch = Send(kTestedNode);
      m_now += answer_time;
      m_picker.OnAnswerBegun(m_now, dispatch, kSlowLoad, AnswerQuality::kGood);
      m_picker.OnEnded(m_now, dispatch, kSlowLoad);
    }
    return trials;
  }

  const PickRequest m_request{.time_left = 1s};
};

// Guards against a target that is not used for a minute after it was slow for
// seconds: at low load others are always idle, and its reported service time
// is corrected only by the requests that it gets.
TEST_F(RecoveredTargetPickTest, IsUsedSoonAfterAFastAnswer) {
  Answer(kTestedNode, kSlowLoad, AnswerQuality::kGood);
  EXPECT_GT(TrialsWithin(4s, 10ms), 4 * 100 / kTargets / 2);
}

// Guards against trials that send a large part of the requests to a target that
// is still slow.
TEST_F(RecoveredTargetPickTest, IsTriedMoreRarelyTheLongerItIsSlow) {
  Answer(kTestedNode, kSlowLoad, AnswerQuality::kGood);
  const int early = TrialsWithin(8s, 200ms);
  EXPECT_GE(early, 2);
  EXPECT_LE(early, 6);
  EXPECT_LE(TrialsWithin(32s, 200ms), 5);
}

TEST_F(RecoveredTargetPickTest, IsNotTriedWithARequestThatWouldBeLate) {
  Answer(kTestedNode, kSlowLoad, AnswerQuality::kGood);
  m_now += 600ms;
  AnswerFromOthers(kIdleLoad);
  for (int round = 0; round < kPicks; ++round) {
    EXPECT_NE(m_picker.Pick(m_now, {.time_left = 50ms}, m_random), kTestedNode);
  }
}

// Guards against a target that is hardly used at low load because of a
// difference that is within the error of the estimates.
TEST_F(RecoveredTargetPickTest, SmallDifferencesDoNotDecide) {
  LoadReport load = kIdleLoad;
  load.service_time = 11ms;
  Answer(kTestedNode, load, AnswerQuality::kGood);
  EXPECT_NEAR(PicksOfTestedNode(), kFairShare, 0.5 * kFairShare);
}

struct TransferCase {
  const char* name;
  Duration transfer;
  // Slots in use of the near target's twelve.
  std::uint32_t near_in_flight;
  bool is_near_picked;
};

class ZoneTransferTest : public testing::TestWithParam<TransferCase> {};

// The transfer cost of an answer between zones counts as a delay, so a far
// target is preferred only if it is faster by more than that.
TEST_P(ZoneTransferTest, LargeAnswersStayNearUntilWaitExceedsTransferCost) {
  PowerOfChoicesPicker picker{PowerOfChoicesSettings{}};
  SeededRandomSource random{1};
  const TimePoint now(1s);
  const NodeId near(1);
  const NodeId far(2);
  picker.Update({.node = near, .slots = 12});
  picker.Update(
      {.node = far, .distance = ZoneDistance::kSameRegion, .slots = 12});
  const auto report = [&](NodeId node, std::uint32_t in_flight) {
    Dispatch dispatch{.node = node, .sent_at = now};
    picker.OnSent(dispatch);
    const LoadReport load{
        .in_flight = in_flight + 1, .limit = 12, .service_time = 70ms};
    picker.OnAnswerBegun(now, dispatch, load, AnswerQuality::kGood);
    picker.OnEnded(now, dispatch, load);
  };
  report(near, GetParam().near_in_flight);
  report(far, 0);
  PickRequest request;
  request.zone_transfer = GetParam().transfer;
  EXPECT_EQ(picker.Pick(now, request, random),
            GetParam().is_near_picked ? near : far);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    ZoneTransferTest,
    testing::Values(TransferCase{"SmallAndBusy", 3ms, 10, false},
                    TransferCase{"LargeAndBusy", 180ms, 10, true},
                    TransferCase{"LargeAndOverfull", 180ms, 60, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

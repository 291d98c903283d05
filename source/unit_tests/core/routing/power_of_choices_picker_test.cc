// Tests of `core/routing/power_of_choices_picker.h`: what must not attract
// load, one failure each.

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
constexpr NodeId kOdd{1};
constexpr LoadReport kUsual{.in_flight = 6,
                            .queued = 0,
                            .limit = 12,
                            .service_time = 10ms};

// Seven like targets; each has just reported a usual load. Target kOdd is then
// made to differ.
class PowerOfChoicesPickerTest : public testing::Test {
 protected:
  PowerOfChoicesPickerTest() {
    for (std::uint64_t node = 1; node <= kTargets; ++node)
      m_picker.Update({.node = NodeId(node), .slots = 12});
    Settle();
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

  // An answer of every target but kOdd.
  void Settle(const LoadReport& load = kUsual) {
    for (std::uint64_t node = 2; node <= kTargets; ++node)
      Answer(NodeId(node), load, AnswerQuality::kGood);
  }

  int PicksOfOdd() {
    int picks = 0;
    for (int round = 0; round < kPicks; ++round)
      picks += m_picker.Pick(m_now, {}, m_random) == kOdd;
    return picks;
  }

  static constexpr int kFairShare = kPicks / kTargets;

  PowerOfChoicesPicker m_picker{PowerOfChoicesSettings{}};
  SeededRandomSource m_random{1};
  TimePoint m_now{1s};
};

TEST_F(PowerOfChoicesPickerTest, EqualTargetsShare) {
  Answer(kOdd, kUsual, AnswerQuality::kGood);
  EXPECT_NEAR(PicksOfOdd(), kFairShare, 0.5 * kFairShare);
}

TEST_F(PowerOfChoicesPickerTest, FullTargetGetsLittle) {
  Answer(kOdd,
         {.in_flight = 12, .queued = 6, .limit = 12, .service_time = 10ms},
         AnswerQuality::kGood);
  EXPECT_EQ(PicksOfOdd(), 0);
}

// Symptom: every call that goes to one target fails at once, and it gets more
// than its share.
// Sequence: it answers 500 within a millisecond and so reports no load.
// Cause: idle and fast looks good to a score of load and latency.
TEST_F(PowerOfChoicesPickerTest, FastErrorsDoNotAttract) {
  const LoadReport idle{
      .in_flight = 0, .queued = 0, .limit = 12, .service_time = 1ms};
  Answer(kOdd, idle, AnswerQuality::kServerError);
  EXPECT_EQ(PicksOfOdd(), 0);
  // It is tried again in the end.
  m_now += 20s;
  Settle();
  EXPECT_GT(PicksOfOdd(), 0);
}

struct RefusalCase {
  Reason reason;
  bool is_avoided;
};

class PickerRefusalTest : public PowerOfChoicesPickerTest,
                          public testing::WithParamInterface<RefusalCase> {};

// Symptom: a target that refuses at once, with little load, gets all retries.
// Sequence: it refuses one attempt and reports an idle target.
// Cause: refusals that do not speak against the target.
TEST_P(PickerRefusalTest, FailuresSpeakAgainstTheTarget) {
  const LoadReport idle{
      .in_flight = 0, .queued = 0, .limit = 12, .service_time = 10ms};
  m_picker.OnRefused(m_now, Send(kOdd), GetParam().reason, idle);
  if (GetParam().is_avoided)
    EXPECT_EQ(PicksOfOdd(), 0);
  else
    EXPECT_GT(PicksOfOdd(), kFairShare);
}

INSTANTIATE_TEST_SUITE_P(
    Reasons,
    PickerRefusalTest,
    testing::Values(RefusalCase{Reason::kShed, true},
                    RefusalCase{Reason::kConnectFailed, true},
                    RefusalCase{Reason::kDraining, true},
                    RefusalCase{Reason::kDeadlineTooShort, false}));

// Symptom: callers of a target that has become ten times slower wait.
// Sequence: it gets a usual number of requests and does not answer for 20 ms;
// no report tells of it.
// Cause: a score from reports only.
TEST_F(PowerOfChoicesPickerTest, SilenceShowsSlownessBeforeAnyReport) {
  Answer(kOdd, kUsual, AnswerQuality::kGood);
  for (std::uint64_t node = 1; node <= kTargets; ++node) {
    for (int count = 0; count < 3; ++count)
      Send(NodeId(node));
  }
  m_now += 20ms;
  // All have three more in flight, and the others still answer.
  Settle({.in_flight = 9, .queued = 0, .limit = 12, .service_time = 10ms});
  EXPECT_LT(PicksOfOdd(), kFairShare / 10);
}

// Symptom: half of all lookups leave their zone although the near target is
// hardly used. Sequence: callers send three requests ahead at once; they take
// as long as always. Cause: the silence until the first of them answers was
// taken for that of three requests that come one after the other.
TEST_F(PowerOfChoicesPickerTest, RequestsSentTogetherAreNoSilence) {
  Answer(kOdd, kUsual, AnswerQuality::kGood);
  for (std::uint64_t node = 1; node <= kTargets; ++node) {
    for (int count = 0; count < 3; ++count)
      Send(NodeId(node));
  }
  m_now += 12ms;
  Settle({.in_flight = 9, .queued = 0, .limit = 12, .service_time = 10ms});
  EXPECT_GT(PicksOfOdd(), kFairShare / 2);
}

// Symptom: a near target is passed over for half a second after each
// disturbance of a tenth. Sequence: it said that it is four times as slow;
// nothing has been sent there since. Cause: old words held against it longer
// than they hold.
TEST_F(PowerOfChoicesPickerTest, AWordOfSlownessFadesSoon) {
  Settle();
  LoadReport slow = kUsual;
  slow.slowdown = 4;
  Answer(kOdd, slow, AnswerQuality::kGood);
  EXPECT_EQ(PicksOfOdd(), 0);
  m_now += 250ms;
  Settle();
  EXPECT_GT(PicksOfOdd(), kFairShare / 2);
}

// Symptom: a frozen target gets its share again after each deadline.
// Sequence: it does not answer; the entry cancels at the deadline; nothing is
// in flight there any more.
// Cause: a cancelled attempt leaves no trace.
TEST_F(PowerOfChoicesPickerTest, CancelledAttemptsTellOfSlowness) {
  Answer(kOdd, kUsual, AnswerQuality::kGood);
  const Dispatch dispatch = Send(kOdd);
  m_now += 500ms;
  m_picker.OnCancelled(m_now, dispatch);
  Settle();
  EXPECT_EQ(PicksOfOdd(), 0);
  m_now += 30s;
  Settle();
  EXPECT_GT(PicksOfOdd(), 0);
}

// Symptom: a leaving target is picked while others are free.
// Sequence: it refuses with kDraining; membership has not told yet.
// Cause: a refusal that is taken for load.
TEST_F(PowerOfChoicesPickerTest, DrainingIsBelievedButNotForGood) {
  m_picker.OnRefused(m_now, Send(kOdd), Reason::kDraining, LoadReport{});
  EXPECT_EQ(PicksOfOdd(), 0);
  m_now += 2s;
  Settle();
  EXPECT_GT(PicksOfOdd(), 0);
}

// Symptom: a target that has just started times out on its first requests.
// Sequence: it comes with no load at all among busy ones.
// Cause: the least loaded target gets everything, cold or not.
TEST_F(PowerOfChoicesPickerTest, ColdTargetGetsARisingShare) {
  m_picker.Update({.node = kOdd, .slots = 12, .warming_since = m_now});
  const int cold = PicksOfOdd();
  m_now += 5s;
  Settle();
  const int half_warm = PicksOfOdd();
  m_now += 5s;
  Settle();
  const int warm = PicksOfOdd();
  EXPECT_LT(cold, kFairShare / 2);
  EXPECT_LE(cold, half_warm);
  EXPECT_LT(half_warm, warm);
}

TEST_F(PowerOfChoicesPickerTest, NearTargetsGoFirstUntilTheyAreFull) {
  m_picker.Update(
      {.node = kOdd, .distance = ZoneDistance::kOtherRegion, .slots = 12});
  Answer(kOdd, {.in_flight = 0, .queued = 0, .limit = 12, .service_time = 10ms},
         AnswerQuality::kGood);
  EXPECT_EQ(PicksOfOdd(), 0);
  const LoadReport full{
      .in_flight = 12, .queued = 60, .limit = 12, .service_time = 10ms};
  for (std::uint64_t node = 2; node <= kTargets; ++node)
    Answer(NodeId(node), full, AnswerQuality::kGood);
  EXPECT_EQ(PicksOfOdd(), kPicks);
}

struct TransferCase {
  const char* name;
  Duration transfer;
  // Of the near target's twelve slots.
  std::uint32_t near_in_flight;
  bool is_near_picked;
};

class ZoneTransferTest : public testing::TestWithParam<TransferCase> {};

// What the bytes of an answer cost between zones is weighed as a wait, so a
// near target is left for a far one only for more than that.
TEST_P(ZoneTransferTest, LargeAnswersStayNearUntilItCostsThemMore) {
  PowerOfChoicesPicker picker{PowerOfChoicesSettings{}};
  SeededRandomSource random{1};
  const TimePoint now(1s);
  const NodeId near(1);
  const NodeId far(2);
  picker.Update({.node = near, .slots = 12});
  picker.Update(
      {.node = far, .distance = ZoneDistance::kSameRegion, .slots = 12});
  const auto tell = [&](NodeId node, std::uint32_t in_flight) {
    Dispatch dispatch{.node = node, .sent_at = now};
    picker.OnSent(dispatch);
    const LoadReport load{
        .in_flight = in_flight + 1, .limit = 12, .service_time = 70ms};
    picker.OnAnswerBegun(now, dispatch, load, AnswerQuality::kGood);
    picker.OnEnded(now, dispatch, load);
  };
  tell(near, GetParam().near_in_flight);
  tell(far, 0);
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

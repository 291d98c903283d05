// Tests to which owners an entry sends a call and when it tries another one,
// with scripted owners and without nodes or connections.

#include "core/pipeline/dispatcher.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "core/routing/fleet_retry_budget.h"
#include "core/routing/power_of_choices_picker.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const ServiceName kService("desk");
const AvailabilityZone kHere("a");
const AvailabilityZone kElsewhere("b");
constexpr NodeId kNear{1};
constexpr std::uint64_t kOwners = 4;

class NoTable : public TableService {
 public:
  void Submit(TableRequest, Callback) override {}
};

// Node 1 is in the entry's zone, the others are not.
class Owners : public OwnerDirectory {
 public:
  Owners() {
    for (std::uint64_t node = 1; node <= kOwners; ++node) {
      Member& member = m_members[NodeId(node)];
      member.id = NodeId(node);
      member.zone = NodeId(node) == kNear ? kHere : kElsewhere;
    }
  }
  const Member* FindOwner(NodeId node) const override {
    return &m_members.at(node);
  }

 private:
  std::map<NodeId, Member> m_members;
};

class RecordedActions : public ActionSink {
 public:
  void Push(NodeAction action) override {
    actions.push_back(std::move(action));
  }

  // The most recent action of this type; null if there is none.
  template <typename Action>
  const Action* Last() const {
    const Action* last = nullptr;
    for (const NodeAction& action : actions) {
      if (const auto* const one = std::get_if<Action>(&action))
        last = one;
    }
    return last;
  }

  template <typename Action>
  std::size_t Count() const {
    std::size_t count = 0;
    for (const NodeAction& action : actions)
      count += std::holds_alternative<Action>(action) ? 1 : 0;
    return count;
  }

  std::vector<NodeAction> actions;
};

class DispatcherTest : public testing::Test,
                       private CallSink,
                       private RepeatListener {
 protected:
  explicit DispatcherTest(const DispatcherSettings& settings = MakeSettings())
      : m_router([] {
          return std::make_unique<PowerOfChoicesPicker>(
              PowerOfChoicesSettings{});
        }),
        m_retries(FleetRetryBudgetSettings{}),
        m_claims(ClaimSettings(), m_table, m_random, WallAnchor{}),
        m_pipeline(*this),
        m_dispatcher(
            settings,
            Dispatcher::Parts{m_pipeline, m_router, m_retries, m_claims,
                              m_notices, m_owners, m_random, m_actions, this}) {
    for (std::uint64_t node = 1; node <= kOwners; ++node) {
      const ZoneDistance distance = NodeId(node) == kNear
                                        ? ZoneDistance::kSameZone
                                        : ZoneDistance::kSameRegion;
      m_router.Update(
          kService, {.node = NodeId(node), .distance = distance, .slots = 12});
    }
  }

  static DispatcherSettings MakeSettings() {
    DispatcherSettings settings;
    settings.zone = kHere;
    settings.zone_kilobyte = 2ms;
    settings.refusals_cost_no_retry = true;
    settings.has_objectives = true;
    settings.selective_attempts = kOwners;
    settings.bounds_refusals = true;
    return settings;
  }

  // Starts a call with a latency objective of 300 ms and a deadline of 2 s.
  CallId Start(bool is_repeatable) {
    m_is_repeatable = is_repeatable;
    const CallId call(++m_last_call);
    CallHead head;
    head.service = kService;
    m_pipeline.Start(m_now, call, std::move(head));
    return call;
  }

  DispatchAttempt LastAttempt() const {
    return *m_actions.Last<DispatchAttempt>();
  }

  // The most recent owner answers after `time` with `bytes` bytes.
  void Answer(Duration time, std::uint64_t bytes) {
    const DispatchAttempt attempt = LastAttempt();
    const LoadReport load{.limit = 12, .service_time = 70ms};
    m_now += time;
    m_dispatcher.OnAnswerBegun(m_now,
                               {attempt.call, attempt.attempt, 200, load});
    m_dispatcher.OnAnswerEnded(
        m_now, {attempt.call, attempt.attempt, load, std::nullopt, bytes});
  }

  TimePoint m_now{10s};
  SeededRandomSource m_random{1};
  NoTable m_table;
  RecordedActions m_actions;
  Owners m_owners;
  Router m_router;
  TargetNotices m_notices;
  FleetRetryBudget m_retries;
  ClaimBook m_claims;
  CallPipeline m_pipeline;
  Dispatcher m_dispatcher;
  std::optional<CallEnd> m_end;
  int m_repeats = 0;

 private:
  void OnCallAccepted(TimePoint now, Call& call) override {
    call.terms.kind.name = KindName("pack");
    call.terms.kind.is_repeatable = m_is_repeatable;
    call.terms.kind.objective.within = 300ms;
    call.deadline = now + 2s;
    m_pipeline.ArmDeadline(call);
    m_dispatcher.Start(now, call);
  }
  void OnDeadline(TimePoint now, Call& call) override {
    m_dispatcher.OnDeadline(now, call);
  }
  void OnPermitLost(TimePoint, Call&) override {}
  void OnRepeated(TimePoint, const Call&) override { ++m_repeats; }
  void OnCallEnded(TimePoint, Call&, const CallEnd& end) override {
    m_end = end;
  }

  std::uint64_t m_last_call = 0;
  bool m_is_repeatable = true;
};

// Failure: after a node loses power, every call sent to it ends at its deadline
// with an unknown outcome. The connection stays open without data, and the
// attempt waits for the connection timeout, which is longer than any deadline.
TEST_F(DispatcherTest, RetriesARepeatableCallElsewhereIfTheOwnerIsSilent) {
  const CallId call = Start(true);
  const DispatchAttempt first = LastAttempt();
  m_now += 500ms;
  m_dispatcher.OnSilent(m_now, {call, first.attempt});
  EXPECT_EQ(m_actions.Count<CancelAttempt>(), 1U);
  const DispatchAttempt second = LastAttempt();
  EXPECT_NE(second.owner, first.owner);
  Answer(90ms, 1500);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kAnswered);
}

// Guards against a request that reaches two targets and counts once against the
// limit of its workspace, and against attempts that no target saw and count.
TEST_F(DispatcherTest, NotesAttemptsAfterOneThatMayHaveReachedATarget) {
  const CallId call = Start(true);
  m_dispatcher.OnRefused(
      m_now, {call, LastAttempt().attempt, Reason::kSlowTarget, LoadReport{}});
  EXPECT_EQ(m_actions.Count<DispatchAttempt>(), 2U);
  EXPECT_EQ(m_repeats, 0);
  m_dispatcher.OnLost(m_now,
                      {call, LastAttempt().attempt, false, Reason::kNodeLost});
  EXPECT_EQ(m_actions.Count<DispatchAttempt>(), 3U);
  EXPECT_EQ(m_repeats, 1);
  m_dispatcher.OnRefused(
      m_now, {call, LastAttempt().attempt, Reason::kSlowTarget, LoadReport{}});
  EXPECT_EQ(m_repeats, 1);
}

// Guards against healthy owners that count as failing because a target refused
// an upload of which it had read a part: the call tried one after the other,
// although its request could not be sent to any of them.
TEST_F(DispatcherTest, RequestThatCannotBeSentAgainEndsWithItsRefusal) {
  const CallId call = Start(true);
  m_dispatcher.OnRefused(m_now, {call, LastAttempt().attempt, Reason::kShed,
                                 LoadReport{.limit = 12}});
  ASSERT_EQ(m_actions.Count<DispatchAttempt>(), 2U);
  const NodeId healthy = LastAttempt().owner;
  m_dispatcher.OnLost(m_now, {call, LastAttempt().attempt, true,
                              Reason::kNodeUnreachable, true});
  EXPECT_EQ(m_actions.Count<DispatchAttempt>(), 2U);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kNotRun);
  EXPECT_EQ(m_end->reason, Reason::kShed);
  bool is_picked = false;
  for (int later = 0; later < 20; ++later) {
    Start(false);
    is_picked = is_picked || LastAttempt().owner == healthy;
  }
  EXPECT_TRUE(is_picked);
}

// The owner may have handed the call to its target and may still answer.
TEST_F(DispatcherTest, KeepsANonRepeatableCallAtASilentOwner) {
  const CallId call = Start(false);
  m_now += 500ms;
  m_dispatcher.OnSilent(m_now, {call, LastAttempt().attempt});
  EXPECT_EQ(m_actions.Count<DispatchAttempt>(), 1U);
  EXPECT_EQ(m_actions.Count<CancelAttempt>(), 0U);
  Answer(90ms, 1500);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kAnswered);
}

// Later calls go to other owners.
TEST_F(DispatcherTest, PicksASilentOwnerLess) {
  const CallId call = Start(false);
  const NodeId silent = LastAttempt().owner;
  m_dispatcher.OnSilent(m_now, {call, LastAttempt().attempt});
  for (int later = 0; later < 20; ++later) {
    Start(false);
    EXPECT_NE(LastAttempt().owner, silent);
  }
}

// Failure: a service with one target refuses calls after a few milliseconds,
// with seconds left, whenever slightly more calls arrive than it has slots. The
// only attempt is not marked as the last one, so the owner holds the call only
// as briefly as one that can be tried elsewhere.
TEST_F(DispatcherTest, MarksTheAttemptAtTheOnlyOwnerAsLast) {
  for (std::uint64_t node = 2; node <= kOwners; ++node)
    m_router.Remove(NodeId(node));
  Start(true);
  EXPECT_TRUE(LastAttempt().head.is_last_attempt);
}

// The same for several targets, once all others are full.
TEST_F(DispatcherTest, MarksTheAttemptAtTheLastOwnerAsLast) {
  const CallId call = Start(true);
  for (std::uint64_t owner = 1; owner < kOwners; ++owner) {
    EXPECT_FALSE(LastAttempt().head.is_last_attempt);
    m_dispatcher.OnRefused(
        m_now,
        {call, LastAttempt().attempt, Reason::kOverloaded, {.limit = 12}});
  }
  EXPECT_TRUE(LastAttempt().head.is_last_attempt);
}

// The ask budget is spent, so a call tries only one owner.
class SpentAskBudgetTest : public DispatcherTest {
 protected:
  SpentAskBudgetTest() {
    const TimePoint end = m_now + 400ms;
    while (m_now < end) {
      m_end.reset();
      const CallId call = Start(true);
      while (!m_end)
        Refuse(call, Reason::kOverloaded);
      m_now += 1ms;
    }
    m_end.reset();
    m_actions.actions.clear();
  }

  void Refuse(CallId call, Reason reason) {
    m_dispatcher.OnRefused(
        m_now, {call, LastAttempt().attempt, reason, {.limit = 12}});
  }
};

TEST_F(SpentAskBudgetTest, TriesOneOwnerAndMarksTheAttemptAsLast) {
  const CallId call = Start(true);
  EXPECT_TRUE(LastAttempt().head.is_last_attempt);
  Refuse(call, Reason::kOverloaded);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kNotRun);
  EXPECT_EQ(m_actions.Count<DispatchAttempt>(), 1U);
}

// Failure: while a service lacks targets, callers are refused because one of
// its owners is leaving. The only owner that a call may try refuses it as
// draining, and any refusal ends the call although another owner may accept it.
TEST_F(SpentAskBudgetTest, TriesAnotherOwnerIfTheFirstIsDraining) {
  const CallId call = Start(true);
  const NodeId leaving = LastAttempt().owner;
  Refuse(call, Reason::kDraining);
  ASSERT_FALSE(m_end);
  EXPECT_NE(LastAttempt().owner, leaving);
  Answer(75ms, 1500);
  ASSERT_TRUE(m_end);
  EXPECT_EQ(m_end->outcome, Outcome::kAnswered);
}

TEST_F(SpentAskBudgetTest, TriesAnotherOwnerIfTheFirstIsUnreachable) {
  const CallId call = Start(true);
  const NodeId gone = LastAttempt().owner;
  m_dispatcher.OnLost(
      m_now, {call, LastAttempt().attempt, true, Reason::kNodeUnreachable});
  ASSERT_FALSE(m_end);
  EXPECT_NE(LastAttempt().owner, gone);
}

struct HoldCase {
  const char* name;
  std::uint64_t bytes;
  Duration least;
  Duration most;
};

class SameZoneHoldTest : public DispatcherTest,
                         public testing::WithParamInterface<HoldCase> {};

// The owner in the same zone may hold a request as long as the transfer of its
// answer from another zone would cost, but not so long that an attempt there
// would miss the objective.
TEST_P(SameZoneHoldTest, IsLimitedByAnswerSizeAndRemainingTime) {
  for (int answer = 0; answer < 40; ++answer) {
    Start(true);
    Answer(75ms, GetParam().bytes);
  }
  const CallId call = Start(true);
  while (LastAttempt().owner != kNear) {
    m_dispatcher.OnRefused(m_now, {call,
                                   LastAttempt().attempt,
                                   Reason::kSlowTarget,
                                   {.limit = 12, .slowdown = 4}});
  }
  EXPECT_GE(LastAttempt().head.max_hold, GetParam().least);
  EXPECT_LE(LastAttempt().head.max_hold, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    SameZoneHoldTest,
    testing::Values(HoldCase{"Small", 1'500, 0ms, 0ms},
                    HoldCase{"Medium", 30'000, 55ms, 65ms},
                    // 300 ms minus the time of an attempt in another zone.
                    HoldCase{"Large", 500'000, 150ms, 200ms}),
    [](const auto& info) { return std::string(info.param.name); });

// Calls may spend half of their spare time to stay in their zone. Usual answers
// take 75 ms of an objective of 300 ms.
class OwnZoneTest : public DispatcherTest {
 protected:
  OwnZoneTest() : DispatcherTest(MakeZoneSettings()) {
    for (int answer = 0; answer < 40; ++answer) {
      Start(true);
      Answer(75ms, 1'500);
    }
  }

  static DispatcherSettings MakeZoneSettings() {
    DispatcherSettings settings = MakeSettings();
    settings.zone_spare_time_part = 0.5;
    return settings;
  }

  void RefuseAsSlow(CallId call, double slowdown) {
    m_dispatcher.OnRefused(m_now, {call,
                                   LastAttempt().attempt,
                                   Reason::kSlowTarget,
                                   {.limit = 12, .slowdown = slowdown}});
  }
};

// Guards against calls that leave their zone as soon as a target elsewhere
// looks slightly faster.
TEST_F(OwnZoneTest, CallStaysInItsZoneWhileItHasSpareTime) {
  ASSERT_EQ(LastAttempt().owner, kNear);
  const CallId refused = Start(true);
  RefuseAsSlow(refused, 2.0);
  EXPECT_NE(LastAttempt().owner, kNear);
  Start(true);
  EXPECT_EQ(LastAttempt().owner, kNear);
}

// Guards against owners of the own zone that refuse a start which would be in
// time, so that the call leaves the zone.
TEST_F(OwnZoneTest, OwnerOfTheOwnZoneMayOfferASlowerStart) {
  const CallId call = Start(true);
  ASSERT_EQ(LastAttempt().owner, kNear);
  const double own_zone = LastAttempt().head.max_slowdown;
  RefuseAsSlow(call, 9.0);
  ASSERT_NE(LastAttempt().owner, kNear);
  EXPECT_GT(own_zone, LastAttempt().head.max_slowdown + 0.5);
}

// Guards against the same once every owner has offered only a slow start.
TEST_F(OwnZoneTest, SlightlySlowerOfferOfTheOwnZoneIsTaken) {
  const CallId call = Start(true);
  for (std::uint64_t owner = 1; owner <= kOwners; ++owner)
    RefuseAsSlow(call, LastAttempt().owner == kNear ? 2.5 : 2.0);
  EXPECT_EQ(LastAttempt().owner, kNear);
}

// Guards against calls that miss their objective because they wait for their
// zone.
TEST_F(OwnZoneTest, MuchSlowerOfferOfTheOwnZoneIsNotTaken) {
  const CallId call = Start(true);
  for (std::uint64_t owner = 1; owner <= kOwners; ++owner)
    RefuseAsSlow(call, LastAttempt().owner == kNear ? 5.0 : 2.0);
  EXPECT_NE(LastAttempt().owner, kNear);
}

}  // namespace
}  // namespace bulrushmount

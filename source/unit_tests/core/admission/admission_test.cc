// Tests of `core/admission/admission.h`: single failures, and invariants that
// are checked on every output of generated events.

#include "core/admission/admission.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <unordered_map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

constexpr std::uint32_t kSlots = 4;

AdmissionRequest RequestOf(const std::string& workspace, Duration time_left) {
  AdmissionRequest request;
  request.workspace = WorkspaceName(workspace);
  request.kind = KindName("browse");
  request.time_left = time_left;
  return request;
}

class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() : AdmissionTest(AdmissionSettings{}) {}

  explicit AdmissionTest(const AdmissionSettings& settings)
      : m_admission(settings, std::make_unique<FixedLimit>()) {
    m_admission.SetTarget(m_now, kSlots, 220);
  }

  AdmissionOutput Arrive(const std::string& workspace, Duration time_left) {
    auto output = m_admission.Arrive(m_now, WorkId(++m_last_id),
                                     RequestOf(workspace, time_left));
    Note(output);
    return output;
  }

  void EndOldest() {
    const WorkId oldest = m_running.front();
    m_running.pop_front();
    Note(m_admission.OnEnded(m_now, oldest, WorkEnd::kAnswered));
  }

  void Note(const AdmissionOutput& output) {
    m_running.insert(m_running.end(), output.start.begin(), output.start.end());
  }

  // Occupies all slots with works 1 to kSlots.
  void FillSlots(const std::string& workspace) {
    for (std::uint32_t slot = 0; slot < kSlots; ++slot)
      ASSERT_EQ(Arrive(workspace, 1s).start.size(), 1U);
  }

  Admission m_admission;
  TimePoint m_now{1s};
  std::uint64_t m_last_id = 0;
  // In the order of their starts; updated by Arrive and EndOldest.
  std::deque<WorkId> m_running;
};

TEST_F(AdmissionTest, ReportsExactLoad) {
  FillSlots("a");
  Arrive("a", 1s);
  const LoadReport load = m_admission.load();
  EXPECT_EQ(load.in_flight, kSlots);
  EXPECT_EQ(load.queued, 1U);
  EXPECT_EQ(load.limit, kSlots);
  EXPECT_EQ(load.service_time, Duration(10ms));
}

TEST_F(AdmissionTest, ConnectionsBoundWhatRuns) {
  m_admission.SetTarget(m_now, kSlots, 1);
  EXPECT_EQ(Arrive("a", 1s).start.size(), 1U);
  EXPECT_TRUE(Arrive("a", 1s).start.empty());
}

// Guards against a request that waits until it expires although it can never
// start in time: it has less time left than the wait for a slot and its service
// time.
TEST_F(AdmissionTest, RefusesOnArrivalWhatCannotStartInTime) {
  FillSlots("a");
  const auto output = Arrive("a", 11ms);
  ASSERT_EQ(output.refuse.size(), 1U);
  EXPECT_EQ(output.refuse[0].reason, Reason::kOverloaded);
}

// Guards against an idle target that refuses everything after a slow period:
// the estimate exceeds every deadline, and no request runs that could correct
// it.
TEST_F(AdmissionTest, IdleTargetStartsARequestDespiteLongServiceTimes) {
  for (int round = 0; round < 20; ++round) {
    Arrive("a", 10s);
    m_now += 1s;
    m_admission.OnCancelled(m_now, WorkId(m_last_id));
  }
  EXPECT_EQ(Arrive("a", 100ms).start.size(), 1U);
  EXPECT_EQ(Arrive("a", 100ms).refuse.size(), 1U);
}

// Guards against service times that are far too low after a period of errors,
// by which requests are refused or wait too long: a 500 within 0.1 ms is no
// sample.
TEST_F(AdmissionTest, ServerErrorsDoNotChangeServiceTimes) {
  for (int round = 0; round < 100; ++round) {
    Arrive("a", 1s);
    m_now += std::chrono::microseconds(100);
    m_admission.OnAnswerBegun(m_now, WorkId(m_last_id), true);
    m_admission.OnEnded(m_now, WorkId(m_last_id), WorkEnd::kAnswered);
  }
  EXPECT_EQ(m_admission.load().service_time, Duration(10ms));
}

// Guards against a queued request that is refused only after nearly 10 s when
// the target freezes: its wait must be estimated again after its arrival.
TEST_F(AdmissionTest, RefusesEarlyWhenNothingEnds) {
  FillSlots("a");
  ASSERT_TRUE(Arrive("a", 10s).refuse.empty());
  const TimePoint arrived = m_now;
  std::vector<AdmissionRefusal> refused;
  while (refused.empty()) {
    ASSERT_TRUE(m_admission.NextWakeup().has_value());
    ASSERT_GT(*m_admission.NextWakeup(), m_now);
    m_now = *m_admission.NextWakeup();
    refused = m_admission.OnTimer(m_now).refuse;
  }
  EXPECT_EQ(refused[0].work, WorkId(m_last_id));
  EXPECT_EQ(refused[0].reason, Reason::kOverloaded);
  EXPECT_LT(m_now - arrived, 50ms);
  EXPECT_FALSE(m_admission.NextWakeup().has_value());
}

// Guards against requests that wait for slots held by long downloads: a slot
// held for 10 s must not be expected to become free after the mean time.
TEST_F(AdmissionTest, LongRunningWorksFreeNoSlotSoon) {
  FillSlots("a");
  m_now += 10s;
  const auto output = Arrive("a", 1s);
  ASSERT_EQ(output.refuse.size(), 1U);
  EXPECT_EQ(output.refuse[0].reason, Reason::kOverloaded);
}

// Guards against failing calls with 1 s left in a burst of 40 ms: a request
// that its entry cannot send elsewhere waits longer than the short queue allows
// others.
TEST_F(AdmissionTest, LastAttemptWaitsOutABurst) {
  FillSlots("a");
  while (Arrive("a", 1s).refuse.empty()) {
  }
  AdmissionRequest request = RequestOf("a", 1s);
  request.is_last_attempt = true;
  EXPECT_TRUE(
      m_admission.Arrive(m_now, WorkId(++m_last_id), request).refuse.empty());
}

// Guards against answers that all come close to their deadlines under a lasting
// overload: after two seconds of constant waiting, a last attempt no longer
// gets the long wait that is meant for bursts.
TEST_F(AdmissionTest, LastAttemptIsRefusedUnderLastingOverload) {
  FillSlots("a");
  for (int step = 0; step < 2000; ++step) {
    m_now += 1ms;
    Arrive("a", 1s);
    if (step % 3 == 0)
      EndOldest();
  }
  while (Arrive("a", 1s).refuse.empty()) {
  }
  AdmissionRequest request = RequestOf("a", 1s);
  request.is_last_attempt = true;
  EXPECT_EQ(
      m_admission.Arrive(m_now, WorkId(++m_last_id), request).refuse.size(),
      1U);
}

// Guards against refusing callers with 4 s left after a wait of milliseconds.
// Sixteen callers with one call each share four slots at 2 ms a call; a wait
// bounded by service times alone takes this for a lasting overload and allows
// only 4 ms.
TEST_F(AdmissionTest, WaitsShortForTheTimeLeftAreNotRefused) {
  AdmissionRequest request = RequestOf("a", 4s);
  request.is_last_attempt = true;
  std::size_t refused = 0;
  for (int step = 0; step < 2000; ++step) {
    const std::size_t calls = m_running.size() + m_admission.load().queued;
    for (std::size_t call = calls; call < 16; ++call) {
      const auto output =
          m_admission.Arrive(m_now, WorkId(++m_last_id), request);
      Note(output);
      refused += output.refuse.size();
    }
    m_now += 500us;
    EndOldest();
    const auto output = m_admission.OnTimer(m_now);
    Note(output);
    refused += output.refuse.size();
  }
  EXPECT_EQ(refused, 0U) << "of " << m_last_id;
}

// Guards against a full queue that refuses a workspace's request because
// another workspace floods slots and queue.
class AdmissionShortQueueTest : public AdmissionTest {
 protected:
  AdmissionShortQueueTest() : AdmissionTest({.queue_per_slot = 1}) {}
};

TEST_F(AdmissionShortQueueTest, OverflowRefusesTheFloodingWorkspaceOnly) {
  FillSlots("flood");
  for (std::uint32_t count = 0; count < 2 * kSlots; ++count)
    Arrive("flood", 1s);
  const auto output = Arrive("quiet", 1s);
  const WorkId quiet(m_last_id);
  ASSERT_EQ(output.refuse.size(), 1U);
  EXPECT_NE(output.refuse[0].work, quiet);
  const auto ended = m_admission.OnEnded(m_now, WorkId(1), WorkEnd::kAnswered);
  EXPECT_EQ(ended.start, std::vector<WorkId>{quiet});
}

class HeldWorkTest : public AdmissionTest {
 protected:
  HeldWorkTest()
      : AdmissionTest({.queue_per_slot = 1, .max_wait_of_last_attempt = 1000}) {
  }

  AdmissionOutput ArriveWithObjective(Duration objective) {
    AdmissionRequest request = RequestOf("a", 5s);
    request.objective_left = objective;
    request.is_last_attempt = true;
    return m_admission.Arrive(m_now, WorkId(++m_last_id), request);
  }
};

// Guards against a full queue that refuses a request which its caller has
// waited for, in favour of one that has just arrived.
TEST_F(HeldWorkTest, OverflowRefusesTheLatestArrival) {
  FillSlots("a");
  for (std::uint32_t count = 0; count < kSlots; ++count)
    EXPECT_TRUE(ArriveWithObjective(800ms).refuse.empty());
  m_now += 150ms;
  const AdmissionOutput output = ArriveWithObjective(400ms);
  EXPECT_EQ(output.refuse, (std::vector<AdmissionRefusal>{
                               {WorkId(m_last_id), Reason::kOverloaded}}));
}

// Guards against a request that is refused for lack of capacity after an eighth
// of its objective, and against one that is held although its deadline cannot
// be met.
TEST_F(HeldWorkTest, IsRefusedAtItsDeadlineOnly) {
  FillSlots("a");
  EXPECT_TRUE(ArriveWithObjective(800ms).refuse.empty());
  // The slots are not released, so the expected wait grows.
  for (; m_now < TimePoint(5900ms); m_now += 100ms)
    EXPECT_TRUE(m_admission.OnTimer(m_now).refuse.empty())
        << ToSeconds(m_now.time_since_epoch());
  m_now = TimePoint(6s);
  EXPECT_EQ(m_admission.OnTimer(m_now).refuse.size(), 1U);
}

// Guards against new work for a target that withdraws: waiting works are
// refused, and so are requests from entries that do not yet know of the
// withdrawal.
TEST_F(AdmissionTest, DrainingStartsNothing) {
  FillSlots("a");
  Arrive("a", 1s);
  const auto drained = m_admission.Drain(m_now);
  ASSERT_EQ(drained.refuse.size(), 1U);
  EXPECT_EQ(drained.refuse[0].reason, Reason::kDraining);
  EXPECT_TRUE(
      m_admission.OnEnded(m_now, WorkId(1), WorkEnd::kAnswered).start.empty());
  const auto late = Arrive("a", 1s);
  ASSERT_EQ(late.refuse.size(), 1U);
  EXPECT_EQ(late.refuse[0].reason, Reason::kDraining);
  EXPECT_EQ(m_admission.load().limit, 0U);
  EXPECT_EQ(m_admission.load().in_flight, kSlots - 1);
  m_admission.SetTarget(m_now, kSlots, 220);
  EXPECT_EQ(Arrive("a", 1s).start.size(), 1U);
}

// Guards against two suspects that run on the target together, so that a crash
// identifies neither as its cause.
TEST_F(AdmissionTest, SuspectsRunOneByOne) {
  AdmissionRequest suspect = RequestOf("a", 1s);
  suspect.is_suspect = true;
  EXPECT_EQ(m_admission.Arrive(m_now, WorkId(1), suspect).start.size(), 1U);
  EXPECT_TRUE(m_admission.Arrive(m_now, WorkId(2), suspect).start.empty());
  m_last_id = 2;
  EXPECT_EQ(Arrive("a", 1s).start.size(), 1U);
  EXPECT_EQ(m_admission.OnEnded(m_now, WorkId(1), WorkEnd::kAnswered).start,
            std::vector<WorkId>{WorkId(2)});
}

// Guards against a suspect that waits until its deadline behind a frozen
// suspect although other slots are free.
TEST_F(AdmissionTest, BlockedSuspectIsRefusedEarly) {
  AdmissionRequest suspect = RequestOf("a", 10s);
  suspect.is_suspect = true;
  m_admission.Arrive(m_now, WorkId(1), suspect);
  m_admission.Arrive(m_now, WorkId(2), suspect);
  const TimePoint arrived = m_now;
  std::vector<AdmissionRefusal> refused;
  while (refused.empty() && m_admission.NextWakeup()) {
    m_now = *m_admission.NextWakeup();
    refused = m_admission.OnTimer(m_now).refuse;
  }
  ASSERT_EQ(refused.size(), 1U);
  EXPECT_LT(m_now - arrived, 50ms);
}

// Tracks waiting and running works, and asserts that outputs name no others.
class WorkTracker {
 public:
  void Arrived(WorkId work, const AdmissionRequest& request, TimePoint now) {
    m_waiting[work] = {request, now + request.time_left};
  }

  // `limit`: the limit when the output was made.
  void Apply(const AdmissionOutput& output, std::uint32_t limit) {
    for (const AdmissionRefusal& refusal : output.refuse)
      RC_ASSERT(m_waiting.erase(refusal.work) == 1);
    for (const WorkId work : output.start) {
      RC_ASSERT(m_waiting.contains(work));
      const Entry entry = m_waiting.at(work);
      if (entry.request.is_suspect)
        RC_ASSERT(!IsSuspectRunning());
      RC_ASSERT(IsEarliestOfItsWorkspace(entry));
      m_running[work] = entry;
      m_waiting.erase(work);
      RC_ASSERT(m_running.size() <= limit);
    }
  }

  void Ended(WorkId work) {
    m_running.erase(work);
    m_waiting.erase(work);
  }

  // Whether no slot is idle while a work waits that may start.
  bool IsWorkConserving(std::uint32_t limit) const {
    if (m_running.size() >= limit)
      return true;
    return std::all_of(
        m_waiting.begin(), m_waiting.end(), [this](const auto& item) {
          return item.second.request.is_suspect && IsSuspectRunning();
        });
  }

  std::size_t waiting() const { return m_waiting.size(); }
  std::size_t running() const { return m_running.size(); }

 private:
  struct Entry {
    AdmissionRequest request;
    TimePoint deadline;
  };

  bool IsSuspectRunning() const {
    return std::any_of(
        m_running.begin(), m_running.end(),
        [](const auto& item) { return item.second.request.is_suspect; });
  }

  bool IsEarliestOfItsWorkspace(const Entry& entry) const {
    return std::none_of(
        m_waiting.begin(), m_waiting.end(), [&](const auto& item) {
          const Entry& other = item.second;
          const bool is_blocked =
              other.request.is_suspect && IsSuspectRunning();
          return other.request.workspace == entry.request.workspace &&
                 !is_blocked && other.deadline < entry.deadline;
        });
  }

  std::unordered_map<WorkId, Entry> m_waiting;
  std::unordered_map<WorkId, Entry> m_running;
};

AdmissionRequest GenerateRequest() {
  const int workspace = *rc::gen::inRange(0, 3);
  AdmissionRequest request =
      RequestOf(std::string(1, static_cast<char>('a' + workspace)),
                std::chrono::milliseconds(*rc::gen::inRange(-5, 300)));
  request.kind = KindName(*rc::gen::element<std::string>("browse", "book"));
  request.weight = *rc::gen::inRange(1, 4);
  request.share = workspace + 1;
  request.is_last_attempt = *rc::gen::arbitrary<bool>();
  request.is_suspect = *rc::gen::inRange(0, 10) == 0;
  return request;
}

RC_GTEST_PROP(AdmissionPropertyTest, EachWorkEndsInExactlyOneWay, ()) {
  Admission admission(AdmissionSettings{}, std::make_unique<FixedLimit>());
  WorkTracker tracker;
  TimePoint now{1s};
  std::uint64_t last_id = 0;
  std::uint32_t limit = 0;
  const int steps = *rc::gen::inRange(1, 150);
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 8));
    const WorkId any(static_cast<std::uint64_t>(
        *rc::gen::inRange<std::uint64_t>(0, last_id + 1)));
    const int choice = *rc::gen::inRange(0, 20);
    AdmissionOutput output;
    if (choice < 9) {
      const AdmissionRequest request = GenerateRequest();
      const WorkId work(++last_id);
      tracker.Arrived(work, request, now);
      output = admission.Arrive(now, work, request);
    } else if (choice < 13) {
      // Only a running work can end; for any other id nothing may change.
      const auto before = tracker.running();
      output = admission.OnEnded(now, any, WorkEnd::kAnswered);
      if (admission.load().in_flight < before + output.start.size())
        tracker.Ended(any);
    } else if (choice < 15) {
      tracker.Ended(any);
      output = admission.OnCancelled(now, any);
    } else if (choice < 18) {
      output = admission.OnTimer(now);
    } else if (choice < 19) {
      limit = *rc::gen::inRange<std::uint32_t>(0, 6);
      output = admission.SetTarget(now, limit, 220);
    } else {
      limit = 0;
      output = admission.Drain(now);
    }
    tracker.Apply(output, limit);
    const LoadReport load = admission.load();
    RC_ASSERT(load.limit == limit);
    RC_ASSERT(load.in_flight == tracker.running());
    RC_ASSERT(load.queued == tracker.waiting());
    RC_ASSERT(load.queued <= 8 * limit);
    RC_ASSERT(tracker.IsWorkConserving(limit));
    RC_ASSERT(admission.NextWakeup().has_value() == (load.queued > 0));
  }
}

// --- Requests that are held while the target is disturbed --------------------

struct HoldCase {
  const char* name;
  // Time from the arrival to the end of the disturbance.
  Duration disturbed;
  bool is_started;
  // Time from the arrival to the start or refusal.
  Duration decided_after;
};

class HoldTest : public testing::TestWithParam<HoldCase> {};

// Guards against an owner that does not hold requests during a brief
// disturbance, so that large answers are transferred from another zone. And
// against holding a request so long that it is late on any other target.
TEST_P(HoldTest, StartsWithinTheHoldOrIsRefusedAtItsEnd) {
  Admission admission(AdmissionSettings{}, std::make_unique<FixedLimit>());
  const TimePoint arrival(10s);
  admission.SetTarget(TimePoint(1s), kSlots, 220);
  for (TimePoint at(7s); at < arrival; at += 100ms)
    admission.SetSlowdown(at, 1.0);
  admission.SetSlowdown(arrival, 4.0);
  AdmissionRequest request = RequestOf("a", 2s);
  request.max_hold = 150ms;
  AdmissionOutput output = admission.Arrive(arrival, WorkId(1), request);
  TimePoint now = arrival;
  bool is_disturbed = true;
  while (output.start.empty() && output.refuse.empty() && now < arrival + 1s) {
    now += 1ms;
    if (is_disturbed && now >= arrival + GetParam().disturbed) {
      is_disturbed = false;
      output = admission.SetSlowdown(now, 1.0);
    } else if (admission.NextWakeup() && *admission.NextWakeup() <= now) {
      output = admission.OnTimer(now);
    }
  }
  EXPECT_EQ(output.start.size(), GetParam().is_started ? 1U : 0U);
  if (!GetParam().is_started) {
    ASSERT_EQ(output.refuse.size(), 1U);
    EXPECT_EQ(output.refuse[0].reason, Reason::kSlowTarget);
  }
  EXPECT_LE(now - arrival, GetParam().decided_after + 1ms);
}

INSTANTIATE_TEST_SUITE_P(Disturbances,
                         HoldTest,
                         testing::Values(HoldCase{"Short", 80ms, true, 80ms},
                                         HoldCase{"Long", 400ms, false, 150ms}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

struct ColdAdmissionCase {
  const char* name;
  bool is_cold;
  double slowdown;
  bool starts;
};

class ColdAdmissionTest
    : public AdmissionTest,
      public testing::WithParamInterface<ColdAdmissionCase> {};

// Guards against holding requests for a whole cold start as if it were
// interference: after a power loss all targets are slow for seconds.
TEST_P(ColdAdmissionTest, HoldsWorksForInterferenceOnly) {
  m_admission.SetSlowdown(m_now, 1.0);
  m_now += 10s;
  m_admission.SetCold(GetParam().is_cold);
  m_admission.SetSlowdown(m_now, 2.0);
  m_admission.SetSlowdown(m_now, GetParam().slowdown);
  EXPECT_EQ(Arrive("a", 2s).start.size(), GetParam().starts ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Targets,
    ColdAdmissionTest,
    testing::Values(ColdAdmissionCase{"Warm", false, 1.0, true},
                    ColdAdmissionCase{"Disturbed", false, 7.0, false},
                    ColdAdmissionCase{"Cold", true, 2.0, true},
                    ColdAdmissionCase{"ColdAndDisturbed", true, 14.0, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

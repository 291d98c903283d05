// Tests recording and merging against calculated values and a simple reference
// implementation.

#include "core/reporting/call_recorder.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr TimePoint kStart{100h};
constexpr Duration kObjective = 50ms;
constexpr std::size_t kMaxSeries = 8;

CallRecord MakeRecord(Outcome outcome, Reason reason, Duration latency) {
  return {WorkspaceName("studio"),
          ServiceName("desk"),
          KindName("browse"),
          outcome,
          reason,
          latency,
          {0.99, kObjective},
          1.0};
}

struct ClassifyCase {
  Outcome outcome;
  Reason reason;
  Duration latency;
  CallVerdict expected;
};

class ClassifyCallTest : public testing::TestWithParam<ClassifyCase> {};

TEST_P(ClassifyCallTest, Counts) {
  const ClassifyCase& test = GetParam();
  EXPECT_EQ(ClassifyCall(MakeRecord(test.outcome, test.reason, test.latency)),
            test.expected);
}

INSTANTIATE_TEST_SUITE_P(
    Reporting,
    ClassifyCallTest,
    testing::Values(ClassifyCase{Outcome::kAnswered, Reason::kNone, 50ms,
                                 CallVerdict::kGood},
                    ClassifyCase{Outcome::kAnswered, Reason::kNone, 51ms,
                                 CallVerdict::kBad},
                    ClassifyCase{Outcome::kNotRun, Reason::kNoTarget, 1ms,
                                 CallVerdict::kBad},
                    ClassifyCase{Outcome::kNotRun, Reason::kStoreUnavailable,
                                 1ms, CallVerdict::kBad},
                    ClassifyCase{Outcome::kNotRun, Reason::kOverloaded, 1ms,
                                 CallVerdict::kBad},
                    ClassifyCase{Outcome::kNotRun, Reason::kWorkspaceRateLimit,
                                 1ms, CallVerdict::kNotCounted},
                    ClassifyCase{Outcome::kNotRun, Reason::kMalformedRequest,
                                 1ms, CallVerdict::kNotCounted},
                    ClassifyCase{Outcome::kNotRun, Reason::kInProgress, 1ms,
                                 CallVerdict::kNotCounted},
                    ClassifyCase{Outcome::kUnknown, Reason::kTargetLost, 1ms,
                                 CallVerdict::kBad},
                    ClassifyCase{Outcome::kUnknown, Reason::kCallerDisconnected,
                                 1ms, CallVerdict::kNotCounted},
                    ClassifyCase{Outcome::kUnknown, Reason::kCallerDisconnected,
                                 51ms, CallVerdict::kBad}));

// One bad call of weight 3 at the start, and the times at which it leaves each
// window.
struct WindowCase {
  Duration after;
  std::array<double, kBurnWindowCount> bad;
};

class WindowTest : public testing::TestWithParam<WindowCase> {};

TEST_P(WindowTest, Slides) {
  CallRecorder recorder(kStart, kMaxSeries);
  CallRecord record = MakeRecord(Outcome::kUnknown, Reason::kNodeLost, 1ms);
  record.weight = 3;
  recorder.Record(kStart, record);
  const BurnReport report = recorder.Snapshot(kStart + GetParam().after);
  ASSERT_EQ(report.series.size(), 1U);
  for (std::size_t window = 0; window < kBurnWindowCount; ++window)
    EXPECT_EQ(report.series[0].windows.at(window).bad, GetParam().bad[window]);
  EXPECT_EQ(report.series[0].outcomes.unknown, 1U);
}

INSTANTIATE_TEST_SUITE_P(Reporting,
                         WindowTest,
                         testing::Values(WindowCase{0s, {3, 3, 3, 3}},
                                         WindowCase{5min - 1s, {3, 3, 3, 3}},
                                         WindowCase{5min, {0, 3, 3, 3}},
                                         WindowCase{30min, {0, 0, 3, 3}},
                                         WindowCase{1h, {0, 0, 0, 3}},
                                         WindowCase{6h - 1s, {0, 0, 0, 3}},
                                         WindowCase{6h, {0, 0, 0, 0}},
                                         WindowCase{72h, {0, 0, 0, 0}}));

TEST(CallRecorderTest, CountsFurtherSeriesTogether) {
  CallRecorder recorder(kStart, 2);
  CallRecord record = MakeRecord(Outcome::kAnswered, Reason::kNone, 1ms);
  for (int kind = 0; kind < 100; ++kind) {
    record.kind = KindName("kind-" + std::to_string(kind));
    recorder.Record(kStart, record);
  }
  EXPECT_EQ(recorder.series_count(), 3U);
  const BurnReport report = recorder.Snapshot(kStart);
  EXPECT_EQ(report.series[0].workspace, WorkspaceName(kOtherWorkspace));
  EXPECT_EQ(report.series[0].outcomes.answered, 98U);
  recorder.Forget(WorkspaceName("studio"));
  EXPECT_EQ(recorder.series_count(), 1U);
}

TEST(CallRecorderTest, PutsEachLatencyBelowItsCellsBound) {
  for (const Duration latency : {0ms, 1ms, 10ms, 50ms, 7000ms, 900000ms}) {
    CallRecorder recorder(kStart, kMaxSeries);
    recorder.Record(kStart,
                    MakeRecord(Outcome::kAnswered, Reason::kNone, latency));
    const BurnReport report = recorder.Snapshot(kStart);
    const auto bound = Quantile(report.series[0], 0.99);
    ASSERT_TRUE(bound);
    EXPECT_GE(ToSeconds(*bound) * 1.0001, ToSeconds(latency));
    EXPECT_LE(ToSeconds(*bound), std::max(1e-5, ToSeconds(latency) * 1.1007));
  }
}

using Event = std::tuple<std::uint16_t, std::uint8_t, std::uint8_t>;

// Reference implementation: a list of all calls, filtered for each query.
class ReferenceRecorder {
 public:
  void Record(TimePoint now, const CallRecord& record) {
    m_calls.emplace_back(now, record);
  }

  EventCounts Sum(TimePoint now, const KindName& kind, Duration window) const {
    EventCounts counts;
    for (const auto& [time, record] : m_calls) {
      const CallVerdict verdict = ClassifyCall(record);
      if (record.kind != kind ||
          StepOf(now) - StepOf(time) >= window / kBurnStep)
        continue;
      if (verdict == CallVerdict::kGood)
        counts.good += record.weight;
      if (verdict == CallVerdict::kBad)
        counts.bad += record.weight;
    }
    return counts;
  }

 private:
  static std::int64_t StepOf(TimePoint time) {
    return (time - kStart) / kBurnStep;
  }

  std::vector<std::pair<TimePoint, CallRecord>> m_calls;
};

// Calls at two nodes over several hours; merges their reports without JSON.
RC_GTEST_PROP(CallRecorderProperty, MergedNodesMatchTheReference, ()) {
  CallRecorder first(kStart, kMaxSeries);
  CallRecorder second(kStart, kMaxSeries);
  ReferenceRecorder reference;
  TimePoint now = kStart;
  for (const auto& [pause, call, mode] :
       *rc::gen::arbitrary<std::vector<Event>>()) {
    now += std::chrono::seconds(pause % 4000);
    CallRecord record =
        MakeRecord(mode % 5 == 0 ? Outcome::kUnknown : Outcome::kAnswered,
                   Reason::kNone, std::chrono::milliseconds(call));
    record.kind = KindName(mode % 2 == 0 ? "browse" : "book");
    record.weight = 1 + mode % 3;
    (mode % 7 < 3 ? first : second).Record(now, record);
    reference.Record(now, record);
  }
  BurnReport report;
  Merge(report, first.Snapshot(now));
  Merge(report, second.Snapshot(now));
  RC_ASSERT(report.nodes == 2U);
  for (const BurnSeries& series : report.series) {
    for (std::size_t index = 0; index < kBurnWindowCount; ++index) {
      const Duration length = TraitsOf(static_cast<BurnWindow>(index)).length;
      RC_ASSERT(series.windows.at(index) ==
                reference.Sum(now, series.kind, length));
    }
  }
}

}  // namespace
}  // namespace bulrushmount

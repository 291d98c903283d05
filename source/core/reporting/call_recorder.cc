// Part of `call_recorder.h`.

#include "core/reporting/call_recorder.h"

#include <algorithm>
#include <array>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace bulrushmount {

namespace {

namespace histogram = boost::histogram;

using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

// The storage uses one byte per cell at first and grows with the counts.
auto MakeLatencies() {
  return histogram::make_histogram(
      LatencyAxis(kLatencyCellsPerDecade * kLatencyDecades,
                  ToSeconds(kLowestLatency), ToSeconds(kHighestLatency)));
}
using Latencies = decltype(MakeLatencies());

constexpr auto kSteps =
    static_cast<std::size_t>(std::chrono::hours(6) / kBurnStep);

// Events of one step. Floats halve the memory and are exact up to 16 million
// units in a step.
struct Step {
  float good = 0;
  float bad = 0;
};

// A ring buffer of the steps of the longest window.
class StepRing {
 public:
  void Add(std::int64_t step, CallVerdict verdict, double weight) {
    ClearUpTo(step);
    Step& current = At(step);
    float& sum = verdict == CallVerdict::kGood ? current.good : current.bad;
    sum += static_cast<float>(weight);
  }

  EventCounts Sum(std::int64_t step, Duration window) {
    ClearUpTo(step);
    EventCounts counts;
    const std::int64_t length = window / kBurnStep;
    for (std::int64_t back = 0; back < length; ++back) {
      const Step& past = At(step - back);
      counts.good += past.good;
      counts.bad += past.bad;
    }
    return counts;
  }

 private:
  Step& At(std::int64_t step) {
    const auto size = static_cast<std::int64_t>(kSteps);
    return m_steps[static_cast<std::size_t>(((step % size) + size) % size)];
  }

  void ClearUpTo(std::int64_t step) {
    const auto size = static_cast<std::int64_t>(kSteps);
    m_latest = std::max(m_latest, step - size);
    while (m_latest < step)
      At(++m_latest) = {};
  }

  std::vector<Step> m_steps = std::vector<Step>(kSteps);
  // The newest cleared step; later ones are cleared before use.
  std::int64_t m_latest = 0;
};

struct SeriesName {
  WorkspaceName workspace;
  ServiceName service;
  KindName kind;

  friend bool operator==(const SeriesName&, const SeriesName&) = default;
};

constexpr std::size_t kHashFactor = 1'000'003;

struct SeriesNameHash {
  std::size_t operator()(const SeriesName& name) const {
    std::size_t hash = std::hash<WorkspaceName>()(name.workspace);
    hash = hash * kHashFactor + std::hash<ServiceName>()(name.service);
    return hash * kHashFactor + std::hash<KindName>()(name.kind);
  }
};

struct Series {
  LatencyObjective objective;
  OutcomeCounts outcomes;
  StepRing steps;
  Latencies latencies = MakeLatencies();
};

void CountOutcome(OutcomeCounts& counts, Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      ++counts.answered;
      return;
    case Outcome::kNotRun:
      ++counts.not_run;
      return;
    case Outcome::kUnknown:
      ++counts.unknown;
      return;
  }
}

// Boost.Histogram gives the underflow cell the index -1.
std::vector<LatencyCell> FilledCells(const Latencies& latencies) {
  std::vector<LatencyCell> cells;
  for (std::uint32_t index = 0; index < kLatencyCells; ++index) {
    const double count = latencies.at(static_cast<int>(index) - 1);
    if (count > 0)
      cells.push_back({index, static_cast<std::uint64_t>(count)});
  }
  return cells;
}

CallVerdict ClassifyRefusal(Reason reason) {
  switch (reason) {
    case Reason::kMalformedRequest:
    case Reason::kHeadTooLarge:
    case Reason::kUnknownWorkspace:
    case Reason::kUnknownKey:
    case Reason::kUnknownService:
    case Reason::kUnknownKind:
    case Reason::kIdempotencyKeyRequired:
    case Reason::kIdempotencyKeyReused:
    case Reason::kWorkspaceRateLimit:
    case Reason::kWorkspaceInFlightLimit:
    case Reason::kQuarantined:
    case Reason::kSuspect:
    case Reason::kInProgress:
    case Reason::kEarlierOutcomeUnknown:
      return CallVerdict::kNotCounted;
    default:
      return CallVerdict::kBad;
  }
}

}  // namespace

CallVerdict ClassifyCall(const CallRecord& record) {
  const bool is_late = record.latency > record.objective.within;
  // A caller that disconnects before the objective has passed is not counted;
  // one that waited longer is.
  if (record.reason == Reason::kCallerDisconnected)
    return is_late ? CallVerdict::kBad : CallVerdict::kNotCounted;
  if (record.outcome == Outcome::kAnswered)
    return is_late ? CallVerdict::kBad : CallVerdict::kGood;
  if (record.outcome == Outcome::kNotRun)
    return ClassifyRefusal(record.reason);
  return CallVerdict::kBad;
}

struct CallRecorder::State {
  std::int64_t StepOf(TimePoint now) const { return (now - start) / kBurnStep; }
  Series& Find(const CallRecord& record);

  TimePoint start;
  std::size_t max_series = 0;
  std::unordered_map<SeriesName, Series, SeriesNameHash> series;
};

Series& CallRecorder::State::Find(const CallRecord& record) {
  SeriesName name{record.workspace, record.service, record.kind};
  const auto found = series.find(name);
  if (found != series.end())
    return found->second;
  if (series.size() >= max_series) {
    name = {WorkspaceName(kOtherWorkspace), ServiceName(),
            KindName(kOtherKind)};
  }
  return series[std::move(name)];
}

CallRecorder::CallRecorder(TimePoint now, std::size_t max_series)
    : m_state(std::make_unique<State>()) {
  m_state->start = now;
  m_state->max_series = max_series;
}

CallRecorder::~CallRecorder() = default;

void CallRecorder::Record(TimePoint now, const CallRecord& record) {
  Series& series = m_state->Find(record);
  series.objective = record.objective;
  CountOutcome(series.outcomes, record.outcome);
  if (record.outcome == Outcome::kAnswered)
    series.latencies(ToSeconds(record.latency));
  const CallVerdict verdict = ClassifyCall(record);
  if (verdict != CallVerdict::kNotCounted)
    series.steps.Add(m_state->StepOf(now), verdict, record.weight);
}

BurnReport CallRecorder::Snapshot(TimePoint now) {
  BurnReport report;
  report.nodes = 1;
  const std::int64_t step = m_state->StepOf(now);
  for (auto& [name, series] : m_state->series) {
    BurnSeries part;
    part.workspace = name.workspace;
    part.service = name.service;
    part.kind = name.kind;
    part.objective = series.objective;
    part.outcomes = series.outcomes;
    for (std::size_t window = 0; window < kBurnWindowCount; ++window) {
      const Duration length = TraitsOf(static_cast<BurnWindow>(window)).length;
      part.windows.at(window) = series.steps.Sum(step, length);
    }
    part.latencies = FilledCells(series.latencies);
    report.series.push_back(std::move(part));
  }
  std::ranges::sort(report.series, {}, [](const BurnSeries& part) {
    return std::tie(part.workspace, part.service, part.kind);
  });
  return report;
}

void CallRecorder::Forget(const WorkspaceName& workspace) {
  std::erase_if(m_state->series, [&workspace](const auto& entry) {
    return entry.first.workspace == workspace;
  });
}

std::size_t CallRecorder::series_count() const {
  return m_state->series.size();
}

}  // namespace bulrushmount

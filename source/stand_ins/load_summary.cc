// Computes and formats the counts and percentiles.

#include "stand_ins/load_summary.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace bulrushmount {
namespace {

// Latency bins from 10 microseconds to 1000 s, each 1 % wide.
constexpr unsigned kBinCount = 1852;
constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 1e6;

constexpr std::array<CallerOutcome, kCallerOutcomeCount> kOutcomes = {
    CallerOutcome::kAnswered, CallerOutcome::kNotRun, CallerOutcome::kUnknown,
    CallerOutcome::kNone};

std::size_t IndexOf(CallerOutcome outcome) {
  return static_cast<std::size_t>(outcome);
}

}  // namespace

std::string_view ToText(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kNotRun:
      return "not-run";
    case CallerOutcome::kUnknown:
      return "unknown";
    case CallerOutcome::kNone:
      break;
  }
  return "none";
}

LatencyRecorder::LatencyRecorder()
    : m_histogram(boost::histogram::make_histogram(
          Axis(kBinCount, kLowestMs, kHighestMs))) {}

void LatencyRecorder::Add(Duration latency) {
  const double milliseconds = std::max(ToMilliseconds(latency), kLowestMs);
  m_histogram(milliseconds);
  ++m_count;
  m_max_ms = std::max(m_max_ms, milliseconds);
}

double LatencyRecorder::Percentile(double percent) const {
  const double rank = static_cast<double>(m_count) * percent / 100.0;
  double cumulative_count = 0.0;
  for (int bin = 0; m_count > 0 && bin < m_histogram.axis().size(); ++bin) {
    cumulative_count += static_cast<double>(m_histogram.at(bin));
    if (cumulative_count >= rank) {
      return std::min(m_histogram.axis().bin(bin).upper(), m_max_ms);
    }
  }
  return m_max_ms;
}

boost::json::object LatencyRecorder::ToJson() const {
  return {{"count", m_count},
          {"p50_ms", Percentile(50.0)},
          {"p99_ms", Percentile(99.0)},
          {"p999_ms", Percentile(99.9)},
          {"max_ms", m_max_ms}};
}

void LoadSummary::Add(const CallResult& result) {
  const std::size_t index = IndexOf(result.outcome);
  KindSummary& kind = m_kinds[result.kind];
  ++m_counts[index];
  ++kind.counts[index];
  m_latencies[index].Add(result.latency);
  if (result.outcome == CallerOutcome::kAnswered) {
    kind.answered.Add(result.latency);
  }
  if (!result.reason.empty()) {
    ++m_reasons[result.reason];
  }
  if (result.is_digest_mismatch) {
    ++m_digest_mismatches;
  }
}

std::uint64_t LoadSummary::count(CallerOutcome outcome) const {
  return m_counts[IndexOf(outcome)];
}

bool LoadSummary::HasPassed() const {
  return count(CallerOutcome::kNone) == 0 && m_digest_mismatches == 0;
}

std::string LoadSummary::ToLines() const {
  std::string lines;
  const auto add = [&lines](std::string_view key, const auto& value) {
    lines += fmt::format("{}={}\n", key, value);
  };
  add("requests",
      std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t{0}));
  for (const CallerOutcome outcome : kOutcomes) {
    add(ToText(outcome), count(outcome));
  }
  add("digest_mismatches", m_digest_mismatches);
  for (const auto& [reason, reason_count] : m_reasons) {
    add("reason." + reason, reason_count);
  }
  for (const CallerOutcome outcome : kOutcomes) {
    const LatencyRecorder& recorder = m_latencies[IndexOf(outcome)];
    add(fmt::format("{}.p50_ms", ToText(outcome)), recorder.Percentile(50.0));
    add(fmt::format("{}.p99_ms", ToText(outcome)), recorder.Percentile(99.0));
    add(fmt::format("{}.p999_ms", ToText(outcome)), recorder.Percentile(99.9));
    add(fmt::format("{}.max_ms", ToText(outcome)), recorder.max_ms());
  }
  return lines;
}

boost::json::object LoadSummary::ToJson() const {
  boost::json::object counts;
  boost::json::object latencies;
  for (const CallerOutcome outcome : kOutcomes) {
    counts[ToText(outcome)] = count(outcome);
    latencies[ToText(outcome)] = m_latencies[IndexOf(outcome)].ToJson();
  }
  boost::json::object reasons;
  for (const auto& [reason, reason_count] : m_reasons) {
    reasons[reason] = reason_count;
  }
  boost::json::object kinds;
  for (const auto& [name, kind] : m_kinds) {
    boost::json::object kind_json = kind.answered.ToJson();
    for (const CallerOutcome outcome : kOutcomes) {
      kind_json[ToText(outcome)] = kind.counts[IndexOf(outcome)];
    }
    kinds[name] = std::move(kind_json);
  }
  return {{"counts", std::move(counts)},
          {"digest_mismatches", m_digest_mismatches},
          {"reasons", std::move(reasons)},
          {"latencies", std::move(latencies)},
          {"kinds", std::move(kinds)}};
}

}  // namespace bulrushmount

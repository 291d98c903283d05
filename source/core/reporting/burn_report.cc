// Part of `burn_report.h`.

#include "core/reporting/burn_report.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace bulrushmount {

namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""min;

constexpr std::array kWindowTraits = {
    BurnWindowTraits{"5m", 5min},
    BurnWindowTraits{"30m", 30min},
    BurnWindowTraits{"1h", 1h},
    BurnWindowTraits{"6h", 6h},
};
static_assert(kWindowTraits.size() == kBurnWindowCount);

auto NameOf(const BurnSeries& series) {
  return std::tie(series.workspace, series.service, series.kind);
}

bool BurnsIn(const BurnSeries& series, BurnWindow window, double threshold) {
  const auto rate = BurnRate(series.In(window), series.objective);
  return rate && *rate >= threshold;
}

void MergeLatencies(std::vector<LatencyCell>& into,
                    const std::vector<LatencyCell>& part) {
  for (const LatencyCell& cell : part) {
    const auto place =
        std::ranges::lower_bound(into, cell.index, {}, &LatencyCell::index);
    if (place != into.end() && place->index == cell.index) {
      place->count += cell.count;
    } else {
      into.insert(place, cell);
    }
  }
}

void MergeSeries(BurnSeries& into, const BurnSeries& part) {
  into.outcomes.answered += part.outcomes.answered;
  into.outcomes.not_run += part.outcomes.not_run;
  into.outcomes.unknown += part.outcomes.unknown;
  for (std::size_t window = 0; window < kBurnWindowCount; ++window) {
    into.windows.at(window).good += part.windows.at(window).good;
    into.windows.at(window).bad += part.windows.at(window).bad;
  }
  MergeLatencies(into.latencies, part.latencies);
}

std::uint64_t CountOf(const std::vector<LatencyCell>& cells) {
  std::uint64_t count = 0;
  for (const LatencyCell& cell : cells)
    count += cell.count;
  return count;
}

}  // namespace

const BurnWindowTraits& TraitsOf(BurnWindow window) {
  return kWindowTraits.at(static_cast<std::size_t>(window));
}

Duration LatencyCellUpperBound(std::uint32_t index) {
  if (index >= kLatencyCells - 1)
    return Duration::max();
  const double decades = static_cast<double>(index) / kLatencyCellsPerDecade;
  return FromSeconds(ToSeconds(kLowestLatency) * std::pow(10.0, decades));
}

std::optional<double> BurnRate(const EventCounts& counts,
                               const LatencyObjective& objective) {
  const double all = counts.good + counts.bad;
  const double allowed = 1.0 - objective.fraction;
  if (all <= 0 || allowed <= 0)
    return std::nullopt;
  return counts.bad / all / allowed;
}

BurnAlert AlertOf(const BurnSeries& series) {
  if (BurnsIn(series, BurnWindow::kFiveMinutes, kFastBurnRate) &&
      BurnsIn(series, BurnWindow::kOneHour, kFastBurnRate))
    return BurnAlert::kFast;
  if (BurnsIn(series, BurnWindow::kThirtyMinutes, kSlowBurnRate) &&
      BurnsIn(series, BurnWindow::kSixHours, kSlowBurnRate))
    return BurnAlert::kSlow;
  return BurnAlert::kNone;
}

std::string_view ToToken(BurnAlert alert) {
  switch (alert) {
    case BurnAlert::kNone:
      return "none";
    case BurnAlert::kSlow:
      return "slow";
    case BurnAlert::kFast:
      return "fast";
  }
  return "none";
}

std::optional<Duration> Quantile(const BurnSeries& series, double fraction) {
  const std::uint64_t count = CountOf(series.latencies);
  if (count == 0)
    return std::nullopt;
  const double wanted = std::ceil(fraction * static_cast<double>(count));
  std::uint64_t below = 0;
  for (const LatencyCell& cell : series.latencies) {
    below += cell.count;
    if (static_cast<double>(below) >= wanted)
      return LatencyCellUpperBound(cell.index);
  }
  return LatencyCellUpperBound(series.latencies.back().index);
}

void Merge(BurnReport& report, const BurnReport& part) {
  report.nodes += part.nodes;
  report.nodes_missing += part.nodes_missing;
  for (const BurnSeries& series : part.series) {
    const auto place =
        std::ranges::lower_bound(report.series, NameOf(series), {}, NameOf);
    if (place != report.series.end() && NameOf(*place) == NameOf(series)) {
      MergeSeries(*place, series);
    } else {
      report.series.insert(place, series);
    }
  }
}

}  // namespace bulrushmount

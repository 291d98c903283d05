// Part of `policy_plots.h`: selects the results and draws the charts.

#include "benchmarks/policy_plots.h"

#include <algorithm>
#include <fstream>
#include <span>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

struct Series {
  std::string_view policy;
  std::string_view colour;
};

constexpr Series kSeries[] = {
    {"ours", "#1b6ca8"},   {"round-robin", "#7fb069"},
    {"random", "#c9c9c9"}, {"least-reported", "#e6aa68"},
    {"naive", "#ca3c25"},
};
constexpr Series kGoodputSeries[] = {{"ours", "#1b6ca8"},
                                     {"naive", "#ca3c25"},
                                     {"clairvoyant", "#555555"}};

constexpr std::string_view kP99Scenarios[] = {
    "steady-70", "steady-90", "slow-10x",     "noisy",       "cold-start",
    "drain",     "bursts",    "failing-fast", "beside-flood"};
constexpr std::string_view kGoodputScenarios[] = {
    "steady-50", "steady-70", "steady-90", "steady-100", "steady-110"};

constexpr double kBarWidth = 16;
constexpr double kGroupGap = 24;
constexpr double kLeft = 50;
constexpr double kTop = 60;
constexpr double kPlotHeight = 220;

struct Chart {
  std::string title;
  // Value at the top of the plot. Larger bars are cut off there, but their
  // labels show the full value.
  double top = 1;
  double grid_step = 1;
  int decimals = 2;
};

struct Group {
  std::string_view name;
  // One value for each series.
  std::vector<double> values;
};

double HeightOf(const Chart& chart, double value) {
  return kPlotHeight * std::min(value / chart.top, 1.0);
}

std::string Text(double x,
                 double y,
                 std::string_view style,
                 std::string_view text) {
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" {}>{}</text>\n", x, y,
                     style, text);
}

std::string Grid(const Chart& chart, double width) {
  std::string svg;
  for (double value = 0; value <= chart.top; value += chart.grid_step) {
    const double y = kTop + kPlotHeight - HeightOf(chart, value);
    svg += fmt::format(
        "<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" "
        "stroke=\"#dddddd\"/>\n",
        kLeft, y, width - 10, y);
    svg += Text(kLeft - 6, y + 4, "text-anchor=\"end\"",
                fmt::format("{:.{}f}", value, chart.decimals));
  }
  return svg;
}

std::string Bar(const Chart& chart,
                double x,
                double value,
                std::string_view colour) {
  const double height = HeightOf(chart, value);
  const double y = kTop + kPlotHeight - height;
  std::string svg = fmt::format(
      "<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
      "fill=\"{}\"/>\n",
      x, y, kBarWidth - 1, height, colour);
  const double middle = x + kBarWidth / 2;
  svg += Text(middle + 3, y - 3,
              fmt::format("font-size=\"9\" transform=\"rotate(-90 {:.1f} "
                          "{:.1f})\"",
                          middle + 3, y - 3),
              fmt::format("{:.{}f}", value, chart.decimals));
  return svg;
}

std::string Legend(std::span<const Series> series) {
  std::string svg;
  double x = kLeft;
  for (const Series& item : series) {
    svg += fmt::format(
        "<rect x=\"{:.1f}\" y=\"26\" width=\"10\" height=\"10\" "
        "fill=\"{}\"/>\n",
        x, item.colour);
    svg += Text(x + 14, 35, "", item.policy);
    x += 110;
  }
  return svg;
}

std::string Draw(const Chart& chart,
                 std::span<const Series> series,
                 std::span<const Group> groups) {
  const double group_width =
      kBarWidth * static_cast<double>(series.size()) + kGroupGap;
  const double width =
      std::max(kLeft + group_width * static_cast<double>(groups.size()) + 10,
               kLeft + 110 * static_cast<double>(series.size()));
  const double height = kTop + kPlotHeight + 30;
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {0:.0f} "
      "{1:.0f}\" width=\"{0:.0f}\" height=\"{1:.0f}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
      width, height);
  svg += Text(kLeft, 16, "font-size=\"13\"", chart.title);
  svg += Legend(series);
  svg += Grid(chart, width);
  double x = kLeft + kGroupGap / 2;
  for (const Group& group : groups) {
    for (std::size_t index = 0; index < group.values.size(); ++index) {
      const double left = x + kBarWidth * static_cast<double>(index);
      svg += Bar(chart, left, group.values[index], series[index].colour);
    }
    svg += Text(x + (group_width - kGroupGap) / 2, kTop + kPlotHeight + 16,
                "text-anchor=\"middle\"", group.name);
    x += group_width;
  }
  return svg + "</svg>\n";
}

// One value for each series; empty if the scenario was not run with all of
// their policies and the clairvoyant queue.
std::vector<double> Values(const ShapeResult& results,
                           std::string_view scenario,
                           std::span<const Series> series,
                           bool is_goodput) {
  std::vector<double> values;
  const Result* reference = results.Find(scenario, "clairvoyant");
  for (const Series& item : series) {
    const Result* result = results.Find(scenario, item.policy);
    if (!result || !reference)
      return {};
    values.push_back(
        is_goodput ? 100.0 * static_cast<double>(result->good_ms.size()) /
                         static_cast<double>(result->calls)
                   : Quantile(*result, 0.99) / Quantile(*reference, 0.99));
  }
  return values;
}

std::vector<Group> Groups(const ShapeResult& results,
                          std::span<const std::string_view> scenarios,
                          std::span<const Series> series,
                          bool is_goodput) {
  std::vector<Group> groups;
  for (const std::string_view scenario : scenarios) {
    std::vector<double> values = Values(results, scenario, series, is_goodput);
    if (!values.empty())
      groups.push_back({scenario, std::move(values)});
  }
  return groups;
}

}  // namespace

void WritePlots(const std::string& folder, const ShapeResult& results) {
  const Chart p99{
      .title = fmt::format("{}: p99 over that of the clairvoyant queue",
                           results.shape),
      .top = 4};
  std::ofstream(fmt::format("{}/p99-{}.svg", folder, results.shape))
      << Draw(p99, kSeries, Groups(results, kP99Scenarios, kSeries, false));
  const Chart goodput{
      .title =
          fmt::format("{}: good answers in % of calls, by load", results.shape),
      .top = 100,
      .grid_step = 20,
      .decimals = 1};
  std::ofstream(fmt::format("{}/goodput-{}.svg", folder, results.shape))
      << Draw(goodput, kGoodputSeries,
              Groups(results, kGoodputScenarios, kGoodputSeries, true));
}

}  // namespace bulrushmount

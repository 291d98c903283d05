// Part of `burn_report_format.h`: text and SVG.

#include "core/reporting/burn_report_format.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
constexpr double kPercent = 100.0;
constexpr std::string_view kNameHead = "workspace/service/kind";

// The two windows of each alert pair are shown next to each other.
constexpr std::array kShownWindows = {
    BurnWindow::kFiveMinutes, BurnWindow::kOneHour, BurnWindow::kThirtyMinutes,
    BurnWindow::kSixHours};

std::string RateText(const std::optional<double>& rate) {
  return rate ? fmt::format("{:.2f}", *rate) : "-";
}

std::string LatencyText(const std::optional<Duration>& latency) {
  if (!latency)
    return "-";
  if (*latency == Duration::max())
    return fmt::format(">{:.0f}", ToMilliseconds(kHighestLatency));
  return fmt::format("{:.2f}", ToMilliseconds(*latency));
}

std::string ObjectiveText(const LatencyObjective& objective) {
  return fmt::format("{:g}%<{:g}ms", objective.fraction * kPercent,
                     ToMilliseconds(objective.within));
}

std::string NameText(const BurnSeries& series) {
  return fmt::format("{}/{}/{}", series.workspace, series.service, series.kind);
}

// Replaces control characters, because names come from operators' files and
// must not send control sequences to a terminal.
std::string Printable(std::string text) {
  std::ranges::replace_if(
      text,
      [](char character) {
        const auto byte = static_cast<unsigned char>(character);
        return byte < ' ' || byte == 0x7f;
      },
      '?');
  return text;
}

void AddLine(std::string& text, const BurnSeries& series, std::size_t width) {
  fmt::format_to(std::back_inserter(text), "{:<{}}  {:>14}",
                 Printable(NameText(series)), width,
                 ObjectiveText(series.objective));
  for (const BurnWindow window : kShownWindows) {
    fmt::format_to(std::back_inserter(text), " {:>8}",
                   RateText(BurnRate(series.In(window), series.objective)));
  }
  fmt::format_to(
      std::back_inserter(text), "  {:>5} {:>9} {:>9} {:>9} {:>8} {:>8}\n",
      ToToken(AlertOf(series)), LatencyText(Quantile(series, kMedian)),
      LatencyText(Quantile(series, kTail)), series.outcomes.answered,
      series.outcomes.not_run, series.outcomes.unknown);
}

std::string NodesText(const BurnReport& report) {
  std::string text = fmt::format("{} nodes", report.nodes);
  if (report.nodes_missing > 0)
    text += fmt::format(", {} did not answer", report.nodes_missing);
  return text;
}

// Escapes XML special characters and replaces control characters, which XML
// forbids.
std::string XmlText(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&apos;";
        break;
      default:
        escaped.push_back(character);
    }
  }
  return Printable(std::move(escaped));
}

// Dimensions in pixels.
constexpr int kBarHeight = 12;
constexpr int kSeriesHeight = 4 * kBarHeight + 28;
constexpr int kHeadHeight = 40;
constexpr int kBarsLeft = 60;
constexpr int kBarsWidth = 560;
constexpr int kWidth = kBarsLeft + kBarsWidth + 80;
// Bars of higher rates are cut off here; the number next to the bar is exact.
constexpr double kHighestShownRate = 20.0;

double XOf(double rate) {
  const double share = std::min(rate, kHighestShownRate) / kHighestShownRate;
  return kBarsLeft + kBarsWidth * share;
}

std::string_view ColourOf(double rate) {
  if (rate >= kFastBurnRate)
    return "#b3261e";
  if (rate >= kSlowBurnRate)
    return "#d98200";
  return rate > 1 ? "#c7b400" : "#2e7d32";
}

void AddText(std::string& svg, double x, double y, std::string_view text) {
  fmt::format_to(std::back_inserter(svg),
                 "<text x=\"{:.1f}\" y=\"{:.1f}\">{}</text>\n", x, y,
                 XmlText(text));
}

void AddBar(std::string& svg,
            const BurnSeries& series,
            BurnWindow window,
            int y) {
  const auto rate = BurnRate(series.In(window), series.objective);
  const double shown = rate.value_or(0);
  AddText(svg, 12, y + kBarHeight - 2, TraitsOf(window).name);
  fmt::format_to(std::back_inserter(svg),
                 "<rect x=\"{}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" "
                 "fill=\"{}\"/>\n",
                 kBarsLeft, y, XOf(shown) - kBarsLeft, kBarHeight - 2,
                 ColourOf(shown));
  AddText(svg, XOf(shown) + 6, y + kBarHeight - 2, RateText(rate));
}

void AddThreshold(std::string& svg, double rate, int height) {
  fmt::format_to(std::back_inserter(svg),
                 "<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1}\" y2=\"{2}\" "
                 "stroke=\"#777\" stroke-dasharray=\"3 3\"/>\n",
                 XOf(rate), kHeadHeight - 4, height);
  AddText(svg, XOf(rate) - 8, kHeadHeight - 8, fmt::format("{:g}", rate));
}

void AddSeries(std::string& svg, const BurnSeries& series, int top) {
  AddText(
      svg, 12, top + 12,
      fmt::format("{}  {}  alert: {}", NameText(series),
                  ObjectiveText(series.objective), ToToken(AlertOf(series))));
  int y = top + 18;
  for (const BurnWindow window : kShownWindows) {
    AddBar(svg, series, window, y);
    y += kBarHeight;
  }
}

}  // namespace

std::string ToText(const BurnReport& report) {
  std::size_t width = 0;
  for (const BurnSeries& series : report.series)
    width = std::max(width, NameText(series).size());
  width = std::max(width, kNameHead.size());
  std::string text =
      fmt::format("service-level burn, {}\n{:<{}}  {:>14}", NodesText(report),
                  kNameHead, width, "objective");
  for (const BurnWindow window : kShownWindows)
    text += fmt::format(" {:>8}", TraitsOf(window).name);
  text += fmt::format("  {:>5} {:>9} {:>9} {:>9} {:>8} {:>8}\n", "alert",
                      "p50 ms", "p99 ms", "answered", "not-run", "unknown");
  for (const BurnSeries& series : report.series)
    AddLine(text, series, width);
  return text;
}

std::string ToSvg(const BurnReport& report) {
  const int count = static_cast<int>(report.series.size());
  const int height = kHeadHeight + count * kSeriesHeight;
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
      kWidth, height);
  AddText(svg, 12, 16, "Service-level burn, " + NodesText(report));
  AddThreshold(svg, 1, height);
  AddThreshold(svg, kSlowBurnRate, height);
  AddThreshold(svg, kFastBurnRate, height);
  int top = kHeadHeight;
  for (const BurnSeries& series : report.series) {
    AddSeries(svg, series, top);
    top += kSeriesHeight;
  }
  svg += "</svg>\n";
  return svg;
}

}  // namespace bulrushmount

// Tests burn rates, alerts and the formats of the report.

#include "core/reporting/burn_report.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <boost/leaf/handle_errors.hpp>

#include "core/reporting/burn_report_format.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
namespace leaf = boost::leaf;

struct RateCase {
  EventCounts counts;
  double fraction;
  std::optional<double> expected;
};

class RateTest : public testing::TestWithParam<RateCase> {};

TEST_P(RateTest, IsBadShareOverAllowedShare) {
  const auto rate = BurnRate(GetParam().counts, {GetParam().fraction, 50ms});
  ASSERT_EQ(rate.has_value(), GetParam().expected.has_value());
  EXPECT_NEAR(rate.value_or(0), GetParam().expected.value_or(0), 1e-9);
}

// With an objective of 99 %, 1 bad event of 100 uses up the error budget
// exactly, and 10 of 100 burn it ten times as fast. With 99.9 %, a bad weight
// of 2.5 of 50 is a rate of 0.05 / 0.001.
INSTANTIATE_TEST_SUITE_P(Reporting,
                         RateTest,
                         testing::Values(RateCase{{99, 1}, 0.99, 1.0},
                                         RateCase{{90, 10}, 0.99, 10.0},
                                         RateCase{{47.5, 2.5}, 0.999, 50.0},
                                         RateCase{{0, 7}, 0.95, 20.0},
                                         RateCase{{5, 0}, 0.95, 0.0},
                                         RateCase{{0, 0}, 0.95, {}}));

BurnSeries MakeSeries(std::array<double, kBurnWindowCount> bad_percent) {
  BurnSeries series;
  series.workspace = WorkspaceName("studio");
  series.service = ServiceName("desk");
  series.kind = KindName("browse");
  series.objective = {0.99, 50ms};
  for (std::size_t window = 0; window < kBurnWindowCount; ++window) {
    series.windows.at(window) = {100 - bad_percent.at(window),
                                 bad_percent.at(window)};
  }
  return series;
}

struct AlertCase {
  // For the windows 5m, 30m, 1h, 6h. At 99 %, one percent of bad events is a
  // rate of 1.
  std::array<double, kBurnWindowCount> bad_percent;
  BurnAlert expected;
};

class AlertTest : public testing::TestWithParam<AlertCase> {};

TEST_P(AlertTest, NeedsBothWindowsOfAPair) {
  EXPECT_EQ(AlertOf(MakeSeries(GetParam().bad_percent)), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Reporting,
    AlertTest,
    testing::Values(AlertCase{{0, 0, 0, 0}, BurnAlert::kNone},
                    AlertCase{{15, 15, 15, 15}, BurnAlert::kFast},
                    AlertCase{{15, 15, 14, 5}, BurnAlert::kNone},
                    AlertCase{{0, 15, 15, 15}, BurnAlert::kSlow},
                    AlertCase{{0, 7, 0, 7}, BurnAlert::kSlow},
                    AlertCase{{100, 5, 0, 7}, BurnAlert::kNone}));

TEST(BurnReportTest, QuantilesAreTheBoundsOfTheirCells) {
  BurnSeries series;
  EXPECT_FALSE(Quantile(series, 0.5));
  series.latencies = {{24, 98}, {48, 1}, {kLatencyCells - 1, 1}};
  EXPECT_NEAR(ToMilliseconds(*Quantile(series, 0.5)), 0.1, 1e-4);
  EXPECT_NEAR(ToMilliseconds(*Quantile(series, 0.99)), 1.0, 1e-3);
  EXPECT_EQ(Quantile(series, 1.0), Duration::max());
}

TEST(BurnReportTest, MergeAddsSeriesOfTheSameName) {
  BurnReport report{1, 0, {MakeSeries({1, 2, 3, 4})}};
  report.series[0].latencies = {{3, 1}, {5, 2}};
  BurnReport part{2, 1, {MakeSeries({9, 8, 7, 6})}};
  part.series[0].latencies = {{1, 4}, {5, 5}};
  part.series[0].outcomes.unknown = 6;
  BurnSeries other = MakeSeries({0, 0, 0, 0});
  other.workspace = WorkspaceName("archive");
  part.series.push_back(other);
  Merge(report, part);
  EXPECT_EQ(report.nodes, 3U);
  EXPECT_EQ(report.nodes_missing, 1U);
  ASSERT_EQ(report.series.size(), 2U);
  EXPECT_EQ(report.series[0].workspace, WorkspaceName("archive"));
  const BurnSeries& merged = report.series[1];
  EXPECT_EQ(merged.In(BurnWindow::kFiveMinutes), (EventCounts{190, 10}));
  EXPECT_EQ(merged.outcomes.unknown, 6U);
  const std::vector<LatencyCell> cells = {{1, 4}, {3, 1}, {5, 7}};
  EXPECT_EQ(merged.latencies, cells);
}

// The error message, or "" for a valid report.
std::string FaultOf(const std::string& text) {
  return leaf::try_handle_all(
      [&text]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(BurnReportFromJson(text));
        return std::string();
      },
      [](const BurnReportFault& fault) { return fault.text; },
      []() { return std::string("another error"); });
}

RC_GTEST_PROP(BurnReportProperty, JsonRoundTrips, ()) {
  BurnReport report;
  report.nodes = 3;
  const auto parts = *rc::gen::arbitrary<
      std::vector<std::tuple<std::uint8_t, std::uint32_t, bool>>>();
  for (const auto& [name, count, has_latency] : parts) {
    BurnSeries series = MakeSeries({1, 2.25, 3, 4});
    series.kind = KindName("kind \"<" + std::to_string(name));
    series.outcomes.answered = std::uint64_t{count} << 20U;
    if (has_latency)
      series.latencies = {{name % kLatencyCells, count}};
    Merge(report, BurnReport{0, 0, {series}});
  }
  const leaf::result<BurnReport> read = BurnReportFromJson(ToJson(report));
  RC_ASSERT(static_cast<bool>(read));
  RC_ASSERT(*read == report);
}

class FaultTest
    : public testing::TestWithParam<std::pair<std::string, std::string>> {};

// Guards against a node crashing or reporting wrong data because of an invalid
// part from a faulty peer or one of another release.
TEST_P(FaultTest, NamesTheError) {
  const std::string fault = FaultOf(GetParam().first);
  EXPECT_NE(fault.find(GetParam().second), std::string::npos) << fault;
}

std::string WithSeries(const std::string& from, const std::string& to) {
  std::string text = ToJson(BurnReport{1, 0, {MakeSeries({1, 2, 3, 4})}});
  return text.replace(text.find(from), from.size(), to);
}

INSTANTIATE_TEST_SUITE_P(
    Reporting,
    FaultTest,
    testing::Values(
        std::pair("", "not JSON"),
        std::pair("{", "not JSON"),
        std::pair("[]", "report is not an object"),
        std::pair("{}", "series is not an array"),
        std::pair(R"({"nodes":-1,"nodes_missing":0,"series":[]})", "nodes is"),
        std::pair(R"({"nodes":1,"nodes_missing":0,"series":[7]})", "series is"),
        std::pair(WithSeries("\"studio\"", "7"), "workspace is not a string"),
        std::pair(WithSeries("\"bad\":1E0", "\"bad\":-1"), "bad is not"),
        std::pair(WithSeries("\"5m\"", "\"5n\""), "5m is not an object"),
        std::pair(WithSeries("\"latencies\":[]", "\"latencies\":[[194,1]]"),
                  "latencies is not"),
        std::pair(WithSeries("\"latencies\":[]", "\"latencies\":[[5,1],[5,1]]"),
                  "latencies is not in rising order")));

TEST(BurnReportFormatTest, UnknownFieldsAreIgnored) {
  EXPECT_EQ(FaultOf(WithSeries("\"studio\"", "\"studio\",\"later\":[1]")), "");
}

TEST(BurnReportFormatTest, TextShowsEachSeriesOnALine) {
  BurnReport report{2, 1, {MakeSeries({15, 7, 15, 0})}};
  report.series[0].kind = KindName("a\x1b[2J");
  const std::string text = ToText(report);
  EXPECT_NE(text.find("2 nodes, 1 did not answer"), std::string::npos);
  EXPECT_NE(text.find("studio/desk/a?[2J"), std::string::npos);
  EXPECT_NE(text.find("15.00    15.00     7.00     0.00   fast"),
            std::string::npos)
      << text;
}

// Guards against a script running in the operator's browser because a kind's
// name was written to the SVG without escaping.
TEST(BurnReportFormatTest, SvgEscapesNames) {
  BurnReport report{1, 0, {MakeSeries({15, 7, 15, 0})}};
  report.series[0].kind = KindName("<script>\"&'");
  const std::string svg = ToSvg(report);
  EXPECT_EQ(svg.find("<script>"), std::string::npos);
  EXPECT_NE(svg.find("&lt;script&gt;&quot;&amp;&apos;"), std::string::npos);
  // 15 of 20 of the 560 pixels.
  EXPECT_NE(svg.find("width=\"420.0\""), std::string::npos);
}

}  // namespace
}  // namespace bulrushmount

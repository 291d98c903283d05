// Tests the page against expected text in the Prometheus format.

#include "core/reporting/metrics_page.h"

#include <string>

#include <unistd.h>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

TEST(MetricsPageTest, IsInTheTextFormat) {
  MetricsRegistry registry;
  registry.GetCounter("calls_total", "Calls.", {{"kind", "book"}}).Add(2);
  registry.GetCounter("calls_total", "Calls.", {{"kind", "book"}}).Add();
  registry.GetGauge("load", "Load\nnow \\.").Set(0.5);
  MetricHistogram& histogram =
      registry.GetHistogram("wait_seconds", "Wait.", {0.1, 1});
  for (const double wait : {0.1, 0.5, 7.0})
    histogram.Observe(wait);
  EXPECT_EQ(registry.Page(),
            "# HELP calls_total Calls.\n"
            "# TYPE calls_total counter\n"
            "calls_total{kind=\"book\"} 3\n"
            "# HELP load Load\\nnow \\\\.\n"
            "# TYPE load gauge\n"
            "load 0.5\n"
            "# HELP wait_seconds Wait.\n"
            "# TYPE wait_seconds histogram\n"
            "wait_seconds_bucket{le=\"0.1\"} 1\n"
            "wait_seconds_bucket{le=\"1\"} 2\n"
            "wait_seconds_bucket{le=\"+Inf\"} 3\n"
            "wait_seconds_sum 7.6\n"
            "wait_seconds_count 3\n");
}

struct EscapeCase {
  std::string value;
  std::string expected;
};

class LabelTest : public testing::TestWithParam<EscapeCase> {};

// Guards against injected lines: a workspace's name with a line break or a
// quote was written without escaping.
TEST_P(LabelTest, IsEscaped) {
  MetricsRegistry registry;
  registry.GetGauge("g", "h", {{"l", GetParam().value}}).Set(1);
  const std::string expected = "g{l=\"" + GetParam().expected + "\"} 1\n";
  EXPECT_NE(registry.Page().find(expected), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Reporting,
                         LabelTest,
                         testing::Values(EscapeCase{"plain", "plain"},
                                         EscapeCase{"a\"b", "a\\\"b"},
                                         EscapeCase{"a\nb 1", "a\\nb 1"},
                                         EscapeCase{"a\\", "a\\\\"}));

// Guards against memory growth: callers can send any number of label values.
TEST(MetricsPageTest, SharesOneMetricAboveTheLimit) {
  MetricsRegistry registry(2);
  for (int label = 0; label < 100; ++label)
    registry.GetCounter("c", "h", {{"l", std::to_string(label)}}).Add();
  EXPECT_NE(registry.Page().find("c{overflow=\"true\"} 98\n"),
            std::string::npos);
}

TEST(MetricsPageTest, OrderOfLabelsDoesNotMatter) {
  MetricsRegistry registry;
  Counter& first = registry.GetCounter("c", "h", {{"a", "1"}, {"b", "2"}});
  Counter& second = registry.GetCounter("c", "h", {{"b", "2"}, {"a", "1"}});
  EXPECT_EQ(&first, &second);
}

TEST(MetricsPageDeathTest, AbortsOnAnInvalidNameOrASecondType) {
  MetricsRegistry registry;
  // The log goes to standard output, but a death test checks standard error.
  EXPECT_DEATH(
      (::dup2(STDERR_FILENO, STDOUT_FILENO), registry.GetCounter("1c", "h")),
      "metrics.invalid");
  registry.GetCounter("c", "h");
  EXPECT_DEATH(
      (::dup2(STDERR_FILENO, STDOUT_FILENO), registry.GetGauge("c", "h")),
      "metrics.invalid");
}

}  // namespace
}  // namespace bulrushmount

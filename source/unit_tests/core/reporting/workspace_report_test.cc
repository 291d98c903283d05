// Tests of `core/reporting/workspace_report.h` and
// `core/reporting/workspace_metrics.h`.

#include "core/reporting/workspace_report.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/reporting/workspace_metrics.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

WorkspaceUse Use(const std::string& name,
                 double rate,
                 std::uint64_t granted,
                 double scale = 1) {
  WorkspaceUse use;
  use.workspace = WorkspaceName(name);
  use.limit = {rate, rate};
  use.scale = scale;
  use.granted = granted;
  use.refused = 7;
  use.level = 2.5;
  return use;
}

TEST(WorkspaceReportTest, ParsesWhatItWrites) {
  WorkspaceReport report{5s, {Use("a\"b", 10, 20, 0.5)}, 3, 1};
  const auto parsed = WorkspaceReportFromJson(ToJson(report));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(ToJson(*parsed), ToJson(report));
  EXPECT_EQ(parsed->uses.front().workspace, WorkspaceName("a\"b"));
  EXPECT_EQ(parsed->window, 5s);
}

// Guards against a part of another release or a broken one that fails the whole
// report.
TEST(WorkspaceReportTest, RefusesWhatIsNoReport) {
  for (const char* const text :
       {"", "{", "[]", "{\"window_ms\":1}",
        R"({"window_ms":1,"nodes":1,"nodes_missing":0,"workspaces":[{}]})",
        R"({"window_ms":1,"nodes":-1,"nodes_missing":0,"workspaces":[]})"}) {
    EXPECT_FALSE(WorkspaceReportFromJson(text)) << text;
  }
}

// Guards against a workspace between two homes that appears twice, each time
// with half of its use, and against a report that hides the fullest ones.
TEST(WorkspaceReportTest, AddsUpPartsAndPutsTheFullestFirst) {
  WorkspaceReport report{5s, {Use("idle", 10, 1), Use("busy", 10, 30, 0.6)}, 1};
  Merge(report, {5s, {Use("busy", 10, 25, 0.4)}, 1});
  Merge(report, {5s, {}, 0, 1});
  Arrange(report);
  ASSERT_EQ(report.uses.size(), 2U);
  EXPECT_EQ(report.uses[0].workspace, WorkspaceName("busy"));
  EXPECT_EQ(report.uses[0].granted, 55U);
  EXPECT_DOUBLE_EQ(report.uses[0].scale, 1);
  EXPECT_EQ(report.nodes, 2U);
  EXPECT_EQ(report.nodes_missing, 1U);
  const std::string text = ToText(report);
  EXPECT_NE(text.find("92%"), std::string::npos) << text;
  EXPECT_LT(text.find("busy"), text.find("idle"));
}

// Guards against thousands of series, and against counters that fall when a
// workspace moves between a series of its own and the common one.
TEST(WorkspaceMetricsTest, HasABoundedNumberOfMonotonicSeries) {
  MetricsRegistry registry;
  WorkspaceMetrics metrics(registry);
  std::vector<WorkspaceCounters> counters;
  std::vector<WorkspaceName> largest;
  largest.reserve(counters.size());
  counters.reserve(100);
  for (int index = 0; index < 100; ++index) {
    counters.push_back(
        {WorkspaceName("w" + std::to_string(index)), {10, 2, 1, 0}});
  }
  for (int index = 0; index < 20; ++index)
    largest.push_back(counters[index].workspace);
  metrics.Update(counters, largest);
  const auto value = [&registry](const char* workspace) {
    return registry
        .GetCounter("bulrushmount_workspace_calls_total", "",
                    {{"workspace", workspace}, {"result", "admitted"}})
        .value();
  };
  EXPECT_EQ(value("w0"), 10U);
  EXPECT_EQ(value("other"), 800U);
  for (WorkspaceCounters& one : counters)
    one.counters.admitted += 1;
  largest = {WorkspaceName("w99")};
  metrics.Update(counters, largest);
  EXPECT_EQ(value("w0"), 11U);
  EXPECT_EQ(value("other"), 880U);
  EXPECT_EQ(registry.Page().find("workspace=\"w99\""), std::string::npos);
}

}  // namespace
}  // namespace bulrushmount

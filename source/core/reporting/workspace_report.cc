// Part of `workspace_report.h`.

#include "core/reporting/workspace_report.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include <fmt/format.h>
#include <boost/json.hpp>

namespace bulrushmount {

namespace {

namespace json = boost::json;

double WindowLimit(const WorkspaceReport& report, const WorkspaceUse& use) {
  return use.limit.units_per_second * ToSeconds(report.window) +
         use.limit.burst_units;
}

double UsedPart(const WorkspaceReport& report, const WorkspaceUse& use) {
  const double limit = WindowLimit(report, use);
  return limit > 0 ? static_cast<double>(use.granted) / limit : 0;
}

// Throws if a field is missing or of another type.
WorkspaceUse UseFromJson(const json::value& value) {
  WorkspaceUse use;
  use.workspace =
      WorkspaceName(json::value_to<std::string>(value.at("workspace")));
  use.limit.units_per_second = value.at("rate").to_number<double>();
  use.limit.burst_units = value.at("burst").to_number<double>();
  use.scale = value.at("share").to_number<double>();
  use.granted = value.at("granted").to_number<std::uint64_t>();
  use.refused = value.at("refused").to_number<std::uint64_t>();
  use.level = value.at("level").to_number<double>();
  return use;
}

}  // namespace

void Merge(WorkspaceReport& into, WorkspaceReport part) {
  into.nodes += part.nodes;
  into.nodes_missing += part.nodes_missing;
  std::move(part.uses.begin(), part.uses.end(), std::back_inserter(into.uses));
}

void Arrange(WorkspaceReport& report) {
  std::map<WorkspaceName, WorkspaceUse> by_name;
  for (WorkspaceUse& use : report.uses) {
    const auto [found, is_new] = by_name.try_emplace(use.workspace, use);
    if (is_new)
      continue;
    WorkspaceUse& sum = found->second;
    sum.scale = std::min(1.0, sum.scale + use.scale);
    sum.granted += use.granted;
    sum.refused += use.refused;
    sum.level += use.level;
  }
  report.uses.clear();
  for (auto& [name, use] : by_name)
    report.uses.push_back(std::move(use));
  std::stable_sort(report.uses.begin(), report.uses.end(),
                   [&](const WorkspaceUse& left, const WorkspaceUse& right) {
                     return UsedPart(report, left) > UsedPart(report, right);
                   });
}

json::array ToJsonArray(const std::vector<WorkspaceUse>& uses) {
  json::array array;
  for (const WorkspaceUse& use : uses) {
    array.push_back(json::object{
        {"workspace", use.workspace.value()},
        {"rate", use.limit.units_per_second},
        {"burst", use.limit.burst_units},
        {"share", use.scale},
        {"granted", use.granted},
        {"refused", use.refused},
        {"level", use.level},
    });
  }
  return array;
}

std::string ToJson(const WorkspaceReport& report) {
  const json::object object{
      {"window_ms", ToMilliseconds(report.window)},
      {"nodes", report.nodes},
      {"nodes_missing", report.nodes_missing},
      {"workspaces", ToJsonArray(report.uses)},
  };
  return json::serialize(object) + "\n";
}

std::optional<WorkspaceReport> WorkspaceReportFromJson(std::string_view text) {
  boost::system::error_code error;
  const json::value value =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error)
    return std::nullopt;
  try {
    WorkspaceReport report;
    report.window = FromMilliseconds(value.at("window_ms").to_number<double>());
    report.nodes = value.at("nodes").to_number<std::uint32_t>();
    report.nodes_missing = value.at("nodes_missing").to_number<std::uint32_t>();
    for (const json::value& use : value.at("workspaces").as_array())
      report.uses.push_back(UseFromJson(use));
    return report;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string ToText(const WorkspaceReport& report) {
  const double seconds = ToSeconds(report.window);
  std::string text =
      fmt::format("{:<32} {:>10} {:>10} {:>8} {:>7} {:>9} {:>6}\n", "workspace",
                  "use/s", "limit/s", "burst", "used", "refused/s", "share");
  for (const WorkspaceUse& use : report.uses) {
    text += fmt::format(
        "{:<32} {:>10.1f} {:>10.1f} {:>8.1f} {:>6.0f}% {:>9.1f} {:>6.2f}\n",
        use.workspace.value(), static_cast<double>(use.granted) / seconds,
        use.limit.units_per_second, use.limit.burst_units,
        100 * UsedPart(report, use), static_cast<double>(use.refused) / seconds,
        use.scale);
  }
  text += fmt::format("{} nodes, {} missing; use over the last {:.0f} s\n",
                      report.nodes, report.nodes_missing, seconds);
  return text;
}

}  // namespace bulrushmount

// The use of the limits of workspaces, collected from their homes, and its
// formats: JSON, which nodes also exchange, and text.

#ifndef BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_REPORT_H_
#define BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>

#include "core/common/time.h"
#include "core/workspace_limits/unit_home.h"

namespace bulrushmount {

struct WorkspaceReport {
  // Length of the window that the counts refer to.
  Duration window{};
  // Workspaces in use. One that moves between homes may occur several times.
  std::vector<WorkspaceUse> uses;
  std::uint32_t nodes = 0;
  // Nodes that returned no part.
  std::uint32_t nodes_missing = 0;
};

void Merge(WorkspaceReport& into, WorkspaceReport part);

// Adds up the parts of each workspace, and orders workspaces by the used part
// of their limit, the largest first.
void Arrange(WorkspaceReport& report);

boost::json::array ToJsonArray(const std::vector<WorkspaceUse>& uses);
std::string ToJson(const WorkspaceReport& report);

// Parses the output of ToJson. Ignores unknown fields, so that nodes of
// different releases can exchange reports. Empty if the text is no report.
std::optional<WorkspaceReport> WorkspaceReportFromJson(std::string_view json);

// A table for terminals, with one line per workspace.
std::string ToText(const WorkspaceReport& report);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_WORKSPACE_REPORT_H_

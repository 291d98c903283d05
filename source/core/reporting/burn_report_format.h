// Formats of the burn report: JSON, which nodes also exchange, text and SVG.

#ifndef BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_FORMAT_H_
#define BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_FORMAT_H_

#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include "core/reporting/burn_report.h"

namespace bulrushmount {

// An error in a report's JSON; a LEAF error object.
struct BurnReportFault {
  std::string text;
};

std::string ToJson(const BurnReport& report);

// Parses the output of ToJson. Ignores unknown fields, so that nodes of
// different releases can exchange reports. Fails with a BurnReportFault.
boost::leaf::result<BurnReport> BurnReportFromJson(std::string_view json);

// A table for terminals, with one line per series.
std::string ToText(const BurnReport& report);

// A bar for each series and window, with the alert thresholds.
std::string ToSvg(const BurnReport& report);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_FORMAT_H_

// Fuzzes the parser of burn reports from other nodes in JSON, and the formats
// into which a parsed report is converted.

#include "fuzz/fuzz_input.h"

#include <boost/leaf.hpp>

#include "core/reporting/burn_report_format.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  const std::string text = ToString(data, size);
  boost::leaf::try_handle_all(
      [&text]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(report, BurnReportFromJson(text));
        ToText(report);
        ToSvg(report);
        const std::string json = ToJson(report);
        BOOST_LEAF_AUTO(decoded_again, BurnReportFromJson(json));
        Require(ToJson(decoded_again) == json,
                "a report is unchanged by writing and parsing it");
        return {};
      },
      [](const BurnReportFault&) {}, [] {});
  return 0;
}

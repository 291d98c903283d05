// Part of `burn_report_collector.h`.

#include "core/transport/operators/burn_report_collector.h"

#include <optional>
#include <string>
#include <utility>

#include <boost/leaf/handle_errors.hpp>

#include "core/reporting/burn_report_format.h"
#include "core/transport/peers/control_request_handler.h"

namespace bulrushmount {

namespace {

namespace leaf = boost::leaf;

std::optional<BurnReport> ParsePart(const std::string& json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<BurnReport>> {
        BOOST_LEAF_AUTO(part, BurnReportFromJson(json));
        return std::optional<BurnReport>(std::move(part));
      },
      []() -> std::optional<BurnReport> { return std::nullopt; });
}

}  // namespace

BurnReportCollector::BurnReportCollector(
    boost::asio::any_io_executor executor,
    NodeStreamClient& client,
    const BurnReportCollectorSettings& settings)
    : m_parts(std::move(executor), client, kBurnControl, settings) {}

BurnReportCollector::~BurnReportCollector() = default;

void BurnReportCollector::Collect(BurnReport own,
                                  std::vector<Endpoint> peers,
                                  Done done) {
  m_waiting.push_back(std::move(done));
  if (m_parts.is_running())
    return;
  m_report = std::move(own);
  m_parts.Start(
      std::move(peers),
      [this](const std::optional<std::string>& json) {
        const std::optional<BurnReport> part =
            json ? ParsePart(*json) : std::nullopt;
        if (part)
          Merge(m_report, *part);
        else
          ++m_report.nodes_missing;
      },
      [this] { Finish(); });
}

void BurnReportCollector::Finish() {
  const BurnReport report = std::move(m_report);
  for (const Done& done : std::exchange(m_waiting, {}))
    done(report);
}

}  // namespace bulrushmount

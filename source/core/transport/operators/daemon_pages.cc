// Part of `daemon_pages.h`.

#include "core/transport/operators/daemon_pages.h"

#include <array>
#include <functional>
#include <string>
#include <utility>

#include "core/reporting/burn_report_format.h"
#include "core/reporting/metrics_page.h"

namespace bulrushmount {

namespace {

constexpr char kJson[] = "application/json";
constexpr int kBadRequest = 400;

struct ReportFormat {
  std::string_view query;
  const char* content_type;
  std::string (*write)(const BurnReport& report);
};

constexpr std::array kFormats = {
    ReportFormat{"", "text/plain; charset=utf-8", &ToText},
    ReportFormat{"format=text", "text/plain; charset=utf-8", &ToText},
    ReportFormat{"format=json", kJson, &ToJson},
    ReportFormat{"format=svg", "image/svg+xml", &ToSvg},
};

const ReportFormat* FindFormat(std::string_view query) {
  for (const ReportFormat& format : kFormats) {
    if (format.query == query) {
      return &format;
    }
  }
  return nullptr;
}

}  // namespace

DaemonPages::DaemonPages(boost::asio::io_context& context,
                         NodeDriver& driver,
                         NodeLogic& logic)
    : m_logic(logic),
      m_collector(context.get_executor(),
                  driver.client(),
                  BurnReportCollectorSettings()) {
  OperatorServer& operators = driver.operators();
  const auto add = [&operators](const std::string& path,
                                const std::string& content_type,
                                std::function<std::string()> text) {
    operators.AddPage(path, OperatorServer::Access::kToken,
                      [content_type, text = std::move(text)] {
                        ControlReply reply;
                        reply.content_type = content_type;
                        reply.body = text();
                        return reply;
                      });
  };
  const auto own_part = [&logic] { return ToJson(logic.BurnSnapshot(Now())); };
  add("/status", kJson, [&logic] { return logic.StatusJson(Now()); });
  add("/metrics", kMetricsContentType,
      [&logic] { return logic.MetricsText(Now()); });
  add("/report/burn/local", kJson, own_part);
  driver.controls().Add(kBurnControl, own_part);
  operators.AddAsyncPage(
      "/report/burn", OperatorServer::Access::kToken,
      [this](std::string_view query, const OperatorServer::Respond& respond) {
        ServeBurnReport(query, respond);
      });
}

void DaemonPages::ServeBurnReport(std::string_view query,
                                  const OperatorServer::Respond& respond) {
  const ReportFormat* const format = FindFormat(query);
  if (!format) {
    ControlReply reply;
    reply.status = kBadRequest;
    reply.body = "the query may be format=text, format=json or format=svg\n";
    respond(std::move(reply));
    return;
  }
  m_collector.Collect(m_logic.BurnSnapshot(Now()), m_logic.PeerStreams(),
                      [format, respond](const BurnReport& report) {
                        ControlReply reply;
                        reply.content_type = format->content_type;
                        reply.body = format->write(report);
                        respond(std::move(reply));
                      });
}

}  // namespace bulrushmount

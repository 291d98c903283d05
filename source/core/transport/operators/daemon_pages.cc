// Part of `daemon_pages.h`.

#include "core/transport/operators/daemon_pages.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/reporting/burn_report_format.h"
#include "core/reporting/metrics_page.h"
#include "core/transport/peers/control_request_handler.h"

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
                  BurnReportCollectorSettings()),
      m_workspace_parts(context.get_executor(),
                        driver.client(),
                        kWorkspacesControl,
                        PartCollectorSettings()) {
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
  driver.controls().Add(kWorkspacesControl, [&logic] {
    return ToJson(logic.WorkspaceSnapshot(Now()));
  });
  operators.AddAsyncPage(
      "/workspaces", OperatorServer::Access::kToken,
      [this](std::string_view query, const OperatorServer::Respond& respond) {
        ServeWorkspaces(query, respond);
      });
}

void DaemonPages::ServeWorkspaces(std::string_view query,
                                  const OperatorServer::Respond& respond) {
  const bool is_json = query == "format=json";
  if (!is_json && !query.empty() && query != "format=text") {
    ControlReply reply;
    reply.status = kBadRequest;
    reply.body = "the query may be format=text or format=json\n";
    respond(std::move(reply));
    return;
  }
  m_workspace_waiting.push_back(
      [is_json, respond](const WorkspaceReport& report) {
        ControlReply reply;
        reply.content_type = is_json ? kJson : "text/plain; charset=utf-8";
        reply.body = is_json ? ToJson(report) : ToText(report);
        respond(std::move(reply));
      });
  if (m_workspace_parts.is_running())
    return;
  m_workspace_report = m_logic.WorkspaceSnapshot(Now());
  m_workspace_parts.Start(
      m_logic.PeerStreams(),
      [this](const std::optional<std::string>& json) {
        std::optional<WorkspaceReport> part =
            json ? WorkspaceReportFromJson(*json) : std::nullopt;
        if (part)
          Merge(m_workspace_report, std::move(*part));
        else
          ++m_workspace_report.nodes_missing;
      },
      [this] {
        Arrange(m_workspace_report);
        for (const auto& done : std::exchange(m_workspace_waiting, {}))
          done(m_workspace_report);
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

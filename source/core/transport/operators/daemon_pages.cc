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

struct ReportForm {
  std::string_view query;
  const char* content_type;
  std::string (*write)(const BurnReport& report);
};

constexpr std::array kForms = {
    ReportForm{"", "text/plain; charset=utf-8", &ToText},
    ReportForm{"format=text", "text/plain; charset=utf-8", &ToText},
    ReportForm{"format=json", kJson, &ToJson},
    ReportForm{"format=svg", "image/svg+xml", &ToSvg},
};

const ReportForm* FindForm(std::string_view query) {
  for (const ReportForm& form : kForms) {
    if (form.query == query) {
      return &form;
    }
  }
  return nullptr;
}

}  // namespace

DaemonPages::DaemonPages(boost::asio::io_context& context,
                         NodeDriver& driver,
                         NodeLogic& logic)
    : m_logic(logic),
      m_gatherer(context.get_executor(),
                 driver.client(),
                 BurnGatherSettings()) {
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
  const ReportForm* const form = FindForm(query);
  if (!form) {
    ControlReply reply;
    reply.status = kBadRequest;
    reply.body = "the query may be format=text, format=json or format=svg\n";
    respond(std::move(reply));
    return;
  }
  m_gatherer.Gather(m_logic.BurnSnapshot(Now()), m_logic.PeerStreams(),
                    [form, respond](const BurnReport& report) {
                      ControlReply reply;
                      reply.content_type = form->content_type;
                      reply.body = form->write(report);
                      respond(std::move(reply));
                    });
}

}  // namespace bulrushmount

// The pages of a node on its operator address, and its answers to control
// requests from other nodes.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_DAEMON_PAGES_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_DAEMON_PAGES_H_

#include <functional>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/node_logic/node_logic.h"
#include "core/reporting/workspace_report.h"
#include "core/transport/node_driver.h"
#include "core/transport/operators/burn_report_collector.h"
#include "core/transport/operators/part_collector.h"

namespace bulrushmount {

class DaemonPages {
 public:
  // Adds the pages. All arguments must outlive this object, and the driver must
  // not run after it is destroyed.
  DaemonPages(boost::asio::io_context& context,
              NodeDriver& driver,
              NodeLogic& logic);

  DaemonPages(const DaemonPages&) = delete;
  DaemonPages& operator=(const DaemonPages&) = delete;

 private:
  void ServeBurnReport(std::string_view query,
                       const OperatorServer::Respond& respond);

  void ServeWorkspaces(std::string_view query,
                       const OperatorServer::Respond& respond);

  NodeLogic& m_logic;
  BurnReportCollector m_collector;
  PartCollector m_workspace_parts;
  // The requests that wait for the running collection, and its report.
  std::vector<std::function<void(const WorkspaceReport&)>> m_workspace_waiting;
  WorkspaceReport m_workspace_report;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_DAEMON_PAGES_H_

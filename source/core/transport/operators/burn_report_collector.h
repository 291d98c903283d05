// Collects the burn reports of the other nodes over node streams and merges
// them into this node's own.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_

#include <functional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/endpoint.h"
#include "core/reporting/burn_report.h"
#include "core/transport/operators/part_collector.h"
#include "core/transport/peers/node_stream_client.h"

namespace bulrushmount {

using BurnReportCollectorSettings = PartCollectorSettings;

class BurnReportCollector {
 public:
  using Done = std::function<void(const BurnReport& report)>;

  // `client` must outlive the object.
  BurnReportCollector(boost::asio::any_io_executor executor,
                      NodeStreamClient& client,
                      const BurnReportCollectorSettings& settings);
  // Drops pending callbacks without calling them.
  ~BurnReportCollector();

  BurnReportCollector(const BurnReportCollector&) = delete;
  BurnReportCollector& operator=(const BurnReportCollector&) = delete;

  // Queries `peers` (stream endpoints) and adds their parts to `own`; counts
  // those that return none as missing. A call during a running collection gets
  // the report of that one, so that several operators cause only one collection
  // in the fleet. `done` is never called before this returns.
  void Collect(BurnReport own, std::vector<Endpoint> peers, Done done);

 private:
  void Finish();

  PartCollector m_parts;
  std::vector<Done> m_waiting;
  // The report of the running collection.
  BurnReport m_report;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_

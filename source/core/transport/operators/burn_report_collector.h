// Collects the burn reports of the other nodes over node streams and merges
// them into this node's own.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "core/reporting/burn_report.h"
#include "core/transport/peers/node_stream_client.h"

namespace bulrushmount {

struct BurnReportCollectorSettings {
  // The time after which a node's part counts as missing.
  Duration part_timeout = std::chrono::seconds(1);
  // The time after which the report is returned without the missing parts.
  Duration total_timeout = std::chrono::seconds(5);
  // Nodes that are queried concurrently. Querying all 1,100 nodes of a large
  // fleet at once would need memory for all their parts and delay the calls
  // that this node serves.
  std::size_t max_concurrent_requests = 16;
  // A longer part counts as missing.
  std::size_t max_part_bytes = std::size_t{8} << 20;
};

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
  class Collection;

  void Finish(const BurnReport& report);

  boost::asio::any_io_executor m_executor;
  NodeStreamClient& m_client;
  BurnReportCollectorSettings m_settings;
  std::vector<Done> m_waiting;
  // Set exactly while a collection is running.
  std::shared_ptr<Collection> m_collection;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_REPORT_COLLECTOR_H_

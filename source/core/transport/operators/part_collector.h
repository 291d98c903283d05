// Collects one document of every other node over node streams.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_PART_COLLECTOR_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_PART_COLLECTOR_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/endpoint.h"
#include "core/common/time.h"
#include "core/transport/peers/node_stream_client.h"

namespace bulrushmount {

struct PartCollectorSettings {
  // The time after which a node's part counts as missing.
  Duration part_timeout = std::chrono::seconds(1);
  // The time after which the collection ends without the missing parts.
  Duration total_timeout = std::chrono::seconds(5);
  // Nodes that are queried concurrently. Querying all 1,100 nodes of a large
  // fleet at once would need memory for all their parts and delay the calls
  // that this node serves.
  std::size_t max_concurrent_requests = 16;
  // A longer part counts as missing.
  std::size_t max_part_bytes = std::size_t{8} << 20;
};

class PartCollector {
 public:
  // Called once for each node; without a document if it returned none.
  using OnPart = std::function<void(const std::optional<std::string>& part)>;
  using OnEnd = std::function<void()>;

  // `control` names the document. `client` must outlive the object.
  PartCollector(boost::asio::any_io_executor executor,
                NodeStreamClient& client,
                std::string control,
                const PartCollectorSettings& settings);
  // Drops pending callbacks without calling them.
  ~PartCollector();

  PartCollector(const PartCollector&) = delete;
  PartCollector& operator=(const PartCollector&) = delete;

  // Queries `peers` (stream endpoints). No collection may be running. The
  // callbacks are never called before this returns.
  void Start(std::vector<Endpoint> peers, OnPart on_part, OnEnd on_end);

  bool is_running() const { return m_collection != nullptr; }

 private:
  class Collection;

  void Finish(const OnEnd& on_end);

  boost::asio::any_io_executor m_executor;
  NodeStreamClient& m_client;
  std::string m_control;
  PartCollectorSettings m_settings;
  // Set exactly while a collection is running.
  std::shared_ptr<Collection> m_collection;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_PART_COLLECTOR_H_

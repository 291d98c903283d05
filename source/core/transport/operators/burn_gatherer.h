// Gathers the burn reports of the other nodes over node streams and merges them
// with this node's own.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_GATHERER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_GATHERER_H_

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

struct BurnGatherSettings {
  // Until a node's part counts as missing.
  Duration part_limit = std::chrono::seconds(1);
  // Until the report goes out whatever is missing.
  Duration whole_limit = std::chrono::seconds(5);
  // Nodes asked at the same time: 1,100 parts at once would hold the memory of
  // all of them, and the calls that this node serves would wait.
  std::size_t max_asked = 16;
  // A longer part counts as missing.
  std::size_t max_part_bytes = std::size_t{8} << 20;
};

class BurnGatherer {
 public:
  using Done = std::function<void(const BurnReport& report)>;

  // `client` must outlive the object.
  BurnGatherer(boost::asio::any_io_executor executor,
               NodeStreamClient& client,
               const BurnGatherSettings& settings);
  // Calls that wait are not told.
  ~BurnGatherer();

  BurnGatherer(const BurnGatherer&) = delete;
  BurnGatherer& operator=(const BurnGatherer&) = delete;

  // Asks `peers` (stream endpoints) and adds their parts to `own`; those that
  // give none are counted as missing. Who asks while a round is under way gets
  // that round's report, so several operators cost the fleet one round. `done`
  // is never called before this returns.
  void Gather(BurnReport own, std::vector<Endpoint> peers, Done done);

 private:
  class Round;

  void Finish(const BurnReport& report);

  boost::asio::any_io_executor m_executor;
  NodeStreamClient& m_client;
  BurnGatherSettings m_settings;
  std::vector<Done> m_waiting;
  // Set exactly while a round is under way.
  std::shared_ptr<Round> m_round;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_BURN_GATHERER_H_

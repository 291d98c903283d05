// Asks a target's health endpoint, connect included.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PROBER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PROBER_H_

#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/transport/event_sink.h"
#include "core/transport/target_dialect.h"

namespace bulrushmount {

class Prober {
 public:
  // `events` must outlive every probe.
  Prober(boost::asio::any_io_executor executor,
         std::string path,
         EventSink& events,
         const TargetDialect& dialect = DefaultTargetDialect());

  // Sends at once, and fails the probe if its bytes cannot leave before
  // `valid_until` or no reply comes before `gives_up_at`.
  void Send(const SendProbe& probe);

 private:
  boost::asio::any_io_executor m_executor;
  std::string m_path;
  EventSink& m_events;
  const TargetDialect& m_dialect;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PROBER_H_

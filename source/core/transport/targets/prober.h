// Sends health probes to a target, over one connection that is kept open
// between probes.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_PROBER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_PROBER_H_

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "core/common/time.h"
#include "core/node_logic/actions.h"
#include "core/transport/event_sink.h"
#include "core/transport/targets/target_dialect.h"

namespace bulrushmount {

class Prober {
 public:
  // `events` must outlive every probe.
  Prober(boost::asio::any_io_executor executor,
         std::string path,
         EventSink& events,
         const TargetDialect& dialect = DefaultTargetDialect());

  ~Prober();

  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  // Sends at once. The probe fails if it cannot be sent before `valid_until` or
  // no reply arrives before `gives_up_at`.
  void Send(const SendProbe& probe);

 private:
  class Probe;

  // Null if there is no usable idle connection to `endpoint`.
  std::unique_ptr<boost::beast::tcp_stream> TakeIdle(const Endpoint& endpoint);
  void KeepIdle(const Endpoint& endpoint,
                std::unique_ptr<boost::beast::tcp_stream> stream);

  boost::asio::any_io_executor m_executor;
  std::string m_path;
  EventSink& m_events;
  const TargetDialect& m_dialect;
  // Null, or connected to m_idle_endpoint with no probe in progress.
  std::unique_ptr<boost::beast::tcp_stream> m_idle;
  Endpoint m_idle_endpoint;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_TARGETS_PROBER_H_

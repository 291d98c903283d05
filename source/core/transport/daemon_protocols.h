// What a daemon speaks on its outer sides, as one set: to callers, to the
// target beside it, and to the platform. The product's own set is the default;
// an adapter to a platform brings another.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_PROTOCOLS_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_PROTOCOLS_H_

#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/routes/route_document.h"
#include "core/settings/daemon_settings.h"
#include "core/store/table_service.h"
#include "core/transport/callers/caller_dialect.h"
#include "core/transport/node_driver.h"
#include "core/transport/targets/target_dialect.h"

namespace bulrushmount {

// What a set of protocols serves beside the driver's own sides. Destroyed
// before the event loop and the driver that it uses.
class OuterServers {
 public:
  virtual ~OuterServers() = default;
};

class DaemonProtocols {
 public:
  virtual ~DaemonProtocols() = default;

  // Brings in line with the protocols what the settings file leaves open.
  // Called once, before all others.
  virtual void Prepare(DaemonSettings& settings) = 0;

  virtual std::unique_ptr<TableService> MakeTable(
      boost::asio::io_context& context) = 0;
  virtual const CallerDialect& callers() const = 0;
  virtual const TargetDialect& targets() const = 0;
  // Null where operators write contracts.
  virtual const RouteDocumentDecoder* route_decoder() const = 0;
  // Whether the driver serves the target address with the product's protocol.
  virtual bool has_own_target_server() const = 0;

  // Opens what else is to be served. Both arguments must outlive what is
  // returned; the protocols outlive them, so they must keep none of it. Null,
  // with the reason logged, if an address cannot be had.
  virtual std::unique_ptr<OuterServers> Serve(boost::asio::io_context& context,
                                              NodeDriver& driver) = 0;
};

// docs/PROTOCOLS.md.
class OwnProtocols : public DaemonProtocols {
 public:
  void Prepare(DaemonSettings& settings) override { m_settings = settings; }
  std::unique_ptr<TableService> MakeTable(
      boost::asio::io_context& context) override;
  const CallerDialect& callers() const override {
    return DefaultCallerDialect();
  }
  const TargetDialect& targets() const override {
    return DefaultTargetDialect();
  }
  const RouteDocumentDecoder* route_decoder() const override { return nullptr; }
  bool has_own_target_server() const override { return true; }
  std::unique_ptr<OuterServers> Serve(boost::asio::io_context&,
                                      NodeDriver&) override {
    return std::make_unique<OuterServers>();
  }

 private:
  DaemonSettings m_settings;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_PROTOCOLS_H_

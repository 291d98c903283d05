// The set of protocols that a daemon uses towards callers, its target and the
// platform. The project's own protocols are the default; a platform adapter
// supplies another set.

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

// Servers that a set of protocols runs in addition to the driver's. Destroyed
// before the event loop and the driver that they use.
class AdditionalServers {
 public:
  virtual ~AdditionalServers() = default;
};

class DaemonProtocols {
 public:
  virtual ~DaemonProtocols() = default;

  // Adjusts settings that the file leaves unset to these protocols. Called
  // once, before all other functions.
  virtual void Prepare(DaemonSettings& settings) = 0;

  virtual std::unique_ptr<TableService> MakeTable(
      boost::asio::io_context& context) = 0;
  virtual const CallerDialect& callers() const = 0;
  virtual const TargetDialect& targets() const = 0;
  // Null if the routes come from the contracts that operators write.
  virtual const RouteDocumentDecoder* route_decoder() const = 0;
  // Whether the driver serves the target address with the default protocol.
  virtual bool has_native_target_server() const = 0;

  // Starts the additional servers. Both arguments must outlive the result. This
  // object outlives the arguments, so it must keep no reference to them. If an
  // address cannot be opened, logs the reason and returns null.
  virtual std::unique_ptr<AdditionalServers> Serve(
      boost::asio::io_context& context,
      NodeDriver& driver) = 0;
};

// The project's own protocols; see docs/PROTOCOLS.md.
class NativeProtocols : public DaemonProtocols {
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
  bool has_native_target_server() const override { return true; }
  std::unique_ptr<AdditionalServers> Serve(boost::asio::io_context&,
                                           NodeDriver&) override {
    return std::make_unique<AdditionalServers>();
  }

 private:
  DaemonSettings m_settings;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_DAEMON_PROTOCOLS_H_

// Part of `node_daemon.h`.

#include "core/transport/node_daemon.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "core/common/logging.h"
#include "core/common/random.h"
#include "core/node_logic/node_logic.h"
#include "core/transport/log_flusher.h"
#include "core/transport/node_driver.h"
#include "core/transport/operators/daemon_pages.h"
#include "core/transport/operators/metrics_server.h"
#include "core/transport/settings_reloader.h"

namespace bulrushmount {

namespace {

std::optional<std::string> ReadToken(const DaemonSettings& settings) {
  if (!settings.operator_token_file)
    return std::string();
  std::ifstream file(*settings.operator_token_file);
  std::string token((std::istreambuf_iterator<char>(file)),
                    std::istreambuf_iterator<char>());
  boost::algorithm::trim(token);
  if (token.empty()) {
    LogLine(LogLevel::kError, "daemon.no_token")
        .Add("file", *settings.operator_token_file);
    return std::nullopt;
  }
  return token;
}

NodeSettings MakeNodeSettings(const DaemonSettings& settings,
                              RandomSource& random) {
  NodeSettings node = settings.node;
  while (node.id == NodeId(0))
    node.id = NodeId(random.NextBits());
  node.stream_endpoint = settings.addresses.stream;
  node.gossip_endpoint = settings.addresses.gossip;
  return node;
}

DriverSettings MakeDriverSettings(const DaemonSettings& settings,
                                  const NodeSettings& node,
                                  std::string token) {
  DriverSettings driver;
  driver.id = node.id;
  driver.caller = settings.addresses.caller;
  driver.stream = settings.addresses.stream;
  driver.gossip = settings.addresses.gossip;
  driver.target = settings.addresses.target;
  driver.operators = settings.addresses.operators;
  driver.operator_token = std::move(token);
  // With a routing document, the timeout of its route ends an answer, and a
  // silent target is no reason to end it sooner.
  driver.min_progress_time =
      node.has_route_document ? Duration::max() : node.min_progress_time;
  // The decision logic ends calls in progress before this limit; the remaining
  // time is for writing the last bytes.
  driver.longest_leave = node.longest_leave - kExitMargin / 2;
  if (node.leave_time > Duration::zero())
    driver.leave_time = node.longest_leave - kFinalDrainTime;
  const TransportSettings& transport = settings.transport;
  driver.callers.max_head = transport.max_head_bytes;
  driver.callers.max_buffered_body = transport.max_buffered_body_bytes;
  driver.callers.max_connections = transport.max_caller_connections;
  driver.callers.max_pipelined = transport.max_pipelined_requests;
  driver.callers.max_read_ahead = transport.max_read_ahead;
  return driver;
}

void WaitForSignal(boost::asio::signal_set& signals, NodeDriver& driver) {
  signals.async_wait(
      [&signals, &driver](const boost::system::error_code& error, int) {
        if (error)
          return;
        driver.Shutdown();
        WaitForSignal(signals, driver);
      });
}

}  // namespace

int RunNodeDaemon(const DaemonSettings& given,
                  const std::string& file,
                  DaemonProtocols& protocols) {
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  DaemonSettings settings = given;
  protocols.Prepare(settings);
  SetLogLevel(settings.log_level);
  std::optional<std::string> token = ReadToken(settings);
  if (!token)
    return EXIT_FAILURE;

  SeededRandomSource random(SystemSeed());
  const NodeSettings node = MakeNodeSettings(settings, random);
  boost::asio::io_context context(1);
  LogFlusher log_flusher(context);
  const std::unique_ptr<TableService> table = protocols.MakeTable(context);
  const RouteDocumentDecoder* const decoder = protocols.route_decoder();
  const auto logic =
      decoder ? std::make_unique<NodeLogic>(node, *decoder, random, Now())
              : std::make_unique<NodeLogic>(node, random, Now());
  DriverSettings driver_settings =
      MakeDriverSettings(settings, node, std::move(*token));
  driver_settings.caller_dialect = &protocols.callers();
  driver_settings.target_dialect = &protocols.targets();
  driver_settings.has_target_server = protocols.has_native_target_server();
  NodeDriver driver(context, driver_settings, *logic, *table, random);
  const DaemonPages pages(context, driver, *logic);
  MetricsServer metrics(context, *logic);
  SettingsReloader reloader(context, file);

  int code = EXIT_FAILURE;
  driver.SetOnExit([&context, &code](bool is_clean) {
    code = is_clean ? EXIT_SUCCESS : EXIT_FAILURE;
    context.stop();
  });
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  WaitForSignal(signals, driver);
  const std::unique_ptr<AdditionalServers> servers =
      driver.Start() ? protocols.Serve(context, driver) : nullptr;
  const bool is_open = servers && (!settings.addresses.metrics ||
                                   metrics.Listen(*settings.addresses.metrics));
  if (is_open)
    context.run();
  FlushLog();
  return code;
}

}  // namespace bulrushmount

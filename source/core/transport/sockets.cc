// Part of `sockets.h`.

#include "core/transport/sockets.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

using boost::asio::ip::tcp;

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

bool OpenListener(tcp::acceptor& listener, const Endpoint& endpoint) {
  try {
    const tcp::endpoint local(boost::asio::ip::make_address(endpoint.ip),
                              endpoint.port);
    listener.open(local.protocol());
    listener.set_option(tcp::acceptor::reuse_address(true));
    listener.bind(local);
    listener.listen();
  } catch (const boost::system::system_error& failure) {
    LogLine(LogLevel::kError, "listen.failed")
        .Add("address", ToString(endpoint))
        .Add("error", failure.code().message());
    return false;
  }
  return true;
}

void AcceptOn(tcp::acceptor& listener,
              std::function<void(tcp::socket socket)> on_accept) {
  listener.async_accept([&listener, on_accept = std::move(on_accept)](
                            const boost::system::error_code& error,
                            tcp::socket socket) mutable {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      on_accept(std::move(socket));
      if (listener.is_open()) {
        AcceptOn(listener, std::move(on_accept));
      }
      return;
    }
    LogLine(LogLevel::kWarning, "accept.failed").Add("error", error.message());
    auto timer =
        std::make_shared<boost::asio::steady_timer>(listener.get_executor());
    timer->expires_after(kAcceptRetryDelay);
    timer->async_wait([&listener, timer, on_accept = std::move(on_accept)](
                          const boost::system::error_code&) mutable {
      if (listener.is_open()) {
        AcceptOn(listener, std::move(on_accept));
      }
    });
  });
}

Endpoint LocalEndpoint(const tcp::acceptor& listener) {
  boost::system::error_code error;
  const tcp::endpoint local = listener.local_endpoint(error);
  return {local.address().to_string(), local.port()};
}

}  // namespace bulrushmount

// A simple HTTP/1.1 server for short control requests, which are read and
// answered as a whole. Used for the operator, target and metrics addresses.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_CONTROL_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_CONTROL_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/common/endpoint.h"

namespace bulrushmount {

struct ControlRequest {
  std::string method;
  // Path and query.
  std::string target;
  std::string body;
  std::string if_match;
  std::string authorization;
  // The IP address of the client.
  std::string peer_ip;
};

struct ControlReply {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  // Header fields, sent unchanged if not empty.
  std::string etag;
  std::string allow;
};

class ControlHandler {
 public:
  using Respond = std::function<void(ControlReply reply)>;

  virtual ~ControlHandler() = default;

  // `respond` must be called once, at any time; it has no effect if the client
  // has disconnected.
  virtual void OnRequest(const ControlRequest& request, Respond respond) = 0;
};

namespace detail {
class ControlConnection;
}  // namespace detail

class ControlServer {
 public:
  // `handler` must outlive the server.
  ControlServer(boost::asio::io_context& context, ControlHandler& handler);
  ~ControlServer();

  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  // Port 0 selects a free port. False if the address cannot be opened.
  bool Listen(const Endpoint& endpoint);
  Endpoint endpoint() const;
  void Close();

 private:
  void Accept();

  ControlHandler& m_handler;
  boost::asio::ip::tcp::acceptor m_listener;
  std::vector<std::weak_ptr<detail::ControlConnection>> m_connections;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_CONTROL_SERVER_H_

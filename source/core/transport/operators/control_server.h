// A small HTTP/1.1 server for short control requests, read and answered whole:
// the operator address and the target address are one each.

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
  // The IP of who asks.
  std::string peer_ip;
};

struct ControlReply {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  // Sent when not empty, as they are.
  std::string etag;
  std::string allow;
};

class ControlHandler {
 public:
  using Respond = std::function<void(ControlReply reply)>;

  virtual ~ControlHandler() = default;

  // `respond` is to be called once, at any time; without effect if the peer has
  // gone by then.
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

  // Port 0 takes a free one. False if the address cannot be had.
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

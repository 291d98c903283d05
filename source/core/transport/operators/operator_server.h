// The server on the operator address: contracts and read-only pages. Turns
// requests about contracts into events and actions into replies; the decision
// logic processes them.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_OPERATOR_SERVER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_OPERATOR_SERVER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "core/node_logic/actions.h"
#include "core/transport/event_sink.h"
#include "core/transport/operators/control_server.h"

namespace bulrushmount {

// Compares two secrets. The run time does not depend on where they differ, so
// that a token cannot be guessed byte by byte from response times.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

class OperatorServer : public ControlHandler {
 public:
  enum class Access : std::uint8_t { kToken, kOpen };
  using Page = std::function<ControlReply()>;
  // `query` is the part after the '?' and may be empty. Must respond once, at
  // any time.
  using AsyncPage =
      std::function<void(std::string_view query, const Respond& respond)>;

  // With an empty token, requests need no authentication; the address should
  // then be a loopback address. `events` must outlive the server.
  OperatorServer(boost::asio::io_context& context,
                 std::string token,
                 EventSink& events);

  bool Listen(const Endpoint& endpoint) { return m_server.Listen(endpoint); }
  Endpoint endpoint() const { return m_server.endpoint(); }
  void Close() { m_server.Close(); }

  // Serves GET `path`, which starts with '/'.
  void AddPage(const std::string& path, Access access, Page page);
  void AddAsyncPage(const std::string& path, Access access, AsyncPage page);

  void Do(const AnswerOperator& action);

  void OnRequest(const ControlRequest& request, Respond respond) override;

 private:
  struct PageEntry {
    Access access = Access::kToken;
    AsyncPage page;
  };

  bool IsAllowed(const ControlRequest& request) const;
  void OnContract(const ControlRequest& request,
                  std::string_view name,
                  const Respond& respond);

  ControlServer m_server;
  std::string m_token;
  EventSink& m_events;
  std::unordered_map<std::string, PageEntry> m_pages;
  std::uint64_t m_last_id = 0;
  std::unordered_map<OperatorRequestId, Respond> m_waiting;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_OPERATORS_OPERATOR_SERVER_H_

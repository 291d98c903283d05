// Helpers for the transport tests: raw TCP peers on loopback, a scripted
// replacement for the decision logic, and nodes connected by real sockets on
// one event loop.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_TRANSPORT_TEST_SUPPORT_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_TRANSPORT_TEST_SUPPORT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/common/random.h"
#include "core/node_logic/node_logic_interface.h"
#include "core/store/table_service.h"
#include "core/transport/node_driver.h"

namespace bulrushmount::testing {

inline constexpr auto kLimit = std::chrono::seconds(20);

// Runs the event loop until `condition` holds. False once `limit` has passed.
bool RunUntil(boost::asio::io_context& context,
              const std::function<bool()>& condition,
              std::chrono::milliseconds limit = kLimit);

// A TCP peer that sends given bytes and records the received ones.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
 public:
  explicit RawPeer(boost::asio::ip::tcp::socket socket)
      : m_socket(std::move(socket)) {}
  static std::shared_ptr<RawPeer> Connect(boost::asio::io_context& context,
                                          const Endpoint& endpoint);

  void Send(std::string bytes);
  // `on_bytes` is called after each read that returned bytes.
  void SetOnBytes(std::function<void(RawPeer& peer)> on_bytes) {
    m_on_bytes = std::move(on_bytes);
  }
  // Starts reading, or resumes after Pause.
  void Read();
  // Stops reading; further bytes stay in the socket.
  void Pause() { m_is_paused = true; }
  void Close();
  void Reset();
  // Ends what this peer sends; the connection stays open.
  void ShutdownSend();
  // Closes the connection once all bytes are sent.
  void CloseAfterSend();

  // The number of incomplete writes.
  std::size_t sends() const { return m_sends; }
  std::string& received() { return m_received; }
  bool is_at_end() const { return m_is_at_end; }
  bool is_reset() const { return m_is_reset; }

 private:
  boost::asio::ip::tcp::socket m_socket;
  std::string m_buffer = std::string(65536, '\0');
  std::string m_received;
  std::function<void(RawPeer& peer)> m_on_bytes;
  std::size_t m_sends = 0;
  bool m_closes_after_send = false;
  bool m_is_paused = false;
  bool m_is_reading = false;
  bool m_is_at_end = false;
  bool m_is_reset = false;
};

// A target with scripted connections: `on_bytes` is called with the peer after
// each read and may consume its `received()`.
class RawTarget {
 public:
  using OnBytes = std::function<void(RawPeer& peer)>;

  RawTarget(boost::asio::io_context& context, OnBytes on_bytes);
  Endpoint endpoint() const;
  std::size_t connections() const { return m_peers.size(); }
  RawPeer& peer(std::size_t index) { return *m_peers.at(index); }
  void Close() { m_listener.close(); }

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor m_listener;
  OnBytes m_on_bytes;
  std::vector<std::shared_ptr<RawPeer>> m_peers;
};

// Answers every complete request (head, and body of Content-Length bytes) with
// `answer`.
RawTarget::OnBytes Always(std::string answer);

// Sends every call to one owner, accepts every work, and records the events.
class RelayNodeLogic : public NodeLogicInterface {
 public:
  std::vector<NodeAction> Handle(TimePoint now, NodeEvent event) override;
  TimePoint NextWakeup() const override { return wakeup; }
  bool IsRepeatable(const CallHead&) const override { return is_repeatable; }
  bool IsReady() const override { return true; }

  template <typename Event>
  std::size_t Count() const {
    std::size_t count = 0;
    for (const NodeEvent& event : events) {
      count += std::holds_alternative<Event>(event) ? 1 : 0;
    }
    return count;
  }

  template <typename Event>
  const Event* Last() const {
    const Event* last = nullptr;
    for (const NodeEvent& event : events) {
      const Event* const one = std::get_if<Event>(&event);
      last = one ? one : last;
    }
    return last;
  }

  // The owner of all calls.
  NodeId owner;
  Endpoint owner_endpoint;
  // Unless kNone, works are refused with this reason.
  Reason refuse_with = Reason::kNone;
  // Whether calls are repeatable, so that they may run ahead of their turn.
  bool is_repeatable = true;
  // Whether a refused call is sent to the owner again.
  bool retries_refused = false;
  // When the next TimerFired is due.
  TimePoint wakeup = TimePoint::max();
  // Whether works are left unanswered.
  bool holds_works = false;
  std::vector<NodeEvent> events;

 private:
  DispatchAttempt Dispatch(CallId call, const CallHead& head);
  std::vector<NodeAction> OnRefused(const AttemptRefused& refused);
  std::vector<NodeAction> OnLost(const AttemptLost& lost);
  std::vector<NodeAction> ExitIfDone();

  std::map<CallId, bool> m_calls;
  std::map<CallId, CallHead> m_heads;
  std::uint32_t m_last_attempt = 0;
  std::map<WorkId, bool> m_works;
  bool m_is_shutting_down = false;
};

// Replies to everything with kUnavailable.
class UnavailableTable : public TableService {
 public:
  explicit UnavailableTable(boost::asio::io_context& context)
      : m_context(context) {}
  void Submit(TableRequest request, Callback callback) override;

 private:
  boost::asio::io_context& m_context;
};

struct TestNode {
  TestNode(boost::asio::io_context& context, std::uint64_t id);
  TestNode(boost::asio::io_context& context, const DriverSettings& settings);

  // Directs this node's calls to `owner`.
  void SendTo(const TestNode& owner);
  void Announce(const Endpoint& target);

  SeededRandomSource random;
  RelayNodeLogic logic;
  UnavailableTable table;
  DriverSettings settings;
  NodeDriver driver;
};

DriverSettings LoopbackSettings(std::uint64_t id);

// The text of a GET request on a persistent connection.
std::string Get(std::string_view target);

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_TRANSPORT_TEST_SUPPORT_H_

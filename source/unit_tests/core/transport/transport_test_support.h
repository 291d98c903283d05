// What the transport's tests share: raw peers on loopback, a scripted stand-in
// for the decision logic, and nodes joined by real sockets on one event loop.

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

// A TCP peer that sends what it is told and keeps what it gets.
class RawPeer : public std::enable_shared_from_this<RawPeer> {
 public:
  explicit RawPeer(boost::asio::ip::tcp::socket socket)
      : m_socket(std::move(socket)) {}
  static std::shared_ptr<RawPeer> Connect(boost::asio::io_context& context,
                                          const Endpoint& endpoint);

  void Send(std::string bytes);
  // Called after each read that brought bytes.
  void SetOnBytes(std::function<void(RawPeer& peer)> on_bytes) {
    m_on_bytes = std::move(on_bytes);
  }
  // Starts to read, or goes on after Pause.
  void Read();
  // Bytes stay in the socket from now on.
  void Pause() { m_is_paused = true; }
  void Close();
  void Reset();
  // Ends its side once all is sent.
  void CloseAfterSend();

  // Writes that the socket has not yet taken.
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

// A target whose connections are scripted: `on_bytes` is called after each read
// with the peer, whose `received()` it may take.
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

// Answers every request whose head is whole (and whose body of Content-Length
// is whole) with `answer`.
RawTarget::OnBytes Always(std::string answer);

// Relays every call to one owner and takes every work. It keeps the events.
class RelayBrain : public NodeLogicInterface {
 public:
  std::vector<NodeAction> Handle(TimePoint now, NodeEvent event) override;
  TimePoint NextWakeup() const override { return TimePoint::max(); }
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

  // Where calls go.
  NodeId owner;
  Endpoint owner_endpoint;
  // With a reason, works are refused.
  Reason refuse_with = Reason::kNone;
  // Calls may be handed in ahead of their turn.
  bool is_repeatable = true;
  // Works are left waiting.
  bool holds_works = false;
  std::vector<NodeEvent> events;

 private:
  std::vector<NodeAction> OnLost(const AttemptLost& lost);
  std::vector<NodeAction> ExitIfDone();

  std::map<CallId, bool> m_calls;
  std::map<WorkId, bool> m_works;
  bool m_is_shutting_down = false;
};

// Replies to everything with kUnavailable.
class NoTable : public TableService {
 public:
  explicit NoTable(boost::asio::io_context& context) : m_context(context) {}
  void Submit(TableRequest request, Callback callback) override;

 private:
  boost::asio::io_context& m_context;
};

struct TestNode {
  TestNode(boost::asio::io_context& context, std::uint64_t id);

  // Sends its calls to `owner`'s target.
  void SendTo(const TestNode& owner);
  void Announce(const Endpoint& target);

  SeededRandomSource random;
  RelayBrain brain;
  NoTable table;
  DriverSettings settings;
  NodeDriver driver;
};

DriverSettings LoopbackSettings(std::uint64_t id);

// A GET that keeps the connection.
std::string Get(std::string_view target);

}  // namespace bulrushmount::testing

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_TRANSPORT_TRANSPORT_TEST_SUPPORT_H_

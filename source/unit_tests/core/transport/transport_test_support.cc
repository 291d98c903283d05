// Part of `transport_test_support.h`.

#include "unit_tests/core/transport/transport_test_support.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "core/transport/http1_writer.h"

namespace bulrushmount::testing {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

bool RunUntil(asio::io_context& context,
              const std::function<bool()>& condition,
              std::chrono::milliseconds limit) {
  const TimePoint end = Now() + limit;
  while (!condition()) {
    if (Now() > end) {
      return false;
    }
    context.restart();
    context.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

std::shared_ptr<RawPeer> RawPeer::Connect(asio::io_context& context,
                                          const Endpoint& endpoint) {
  tcp::socket socket(context);
  socket.connect(
      tcp::endpoint(asio::ip::make_address(endpoint.ip), endpoint.port));
  auto peer = std::make_shared<RawPeer>(std::move(socket));
  peer->Read();
  return peer;
}

void RawPeer::Send(std::string bytes) {
  auto kept = std::make_shared<std::string>(std::move(bytes));
  ++m_sends;
  asio::async_write(m_socket, asio::buffer(*kept),
                    [self = shared_from_this(), kept](
                        const boost::system::error_code&, std::size_t) {
                      --self->m_sends;
                      if (self->m_closes_after_send) {
                        self->CloseAfterSend();
                      }
                    });
}

void RawPeer::CloseAfterSend() {
  m_closes_after_send = true;
  if (m_sends == 0) {
    Close();
  }
}

void RawPeer::Read() {
  m_is_paused = false;
  if (m_is_reading) {
    return;
  }
  m_is_reading = true;
  m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->m_is_reading = false;
        self->m_received.append(self->m_buffer.data(), size);
        self->m_is_at_end = self->m_is_at_end || error;
        self->m_is_reset = error == asio::error::connection_reset;
        if (size > 0 && self->m_on_bytes) {
          self->m_on_bytes(*self);
        }
        if (!error && !self->m_is_paused) {
          self->Read();
        }
      });
}

void RawPeer::Close() {
  boost::system::error_code ignored;
  m_socket.close(ignored);
}

void RawPeer::Reset() {
  ResetSocket(m_socket);
}

void RawPeer::ShutdownSend() {
  boost::system::error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
}

RawTarget::RawTarget(asio::io_context& context, OnBytes on_bytes)
    : m_listener(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      m_on_bytes(std::move(on_bytes)) {
  Accept();
}

Endpoint RawTarget::endpoint() const {
  return {"127.0.0.1", m_listener.local_endpoint().port()};
}

void RawTarget::Accept() {
  m_listener.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
          return;
        }
        auto peer = std::make_shared<RawPeer>(std::move(socket));
        peer->SetOnBytes(m_on_bytes);
        peer->Read();
        m_peers.push_back(std::move(peer));
        Accept();
      });
}

RawTarget::OnBytes Always(std::string answer) {
  return [answer = std::move(answer)](RawPeer& peer) {
    const std::size_t end = peer.received().find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::size_t length = peer.received().find("Content-Length: ");
    const std::size_t body =
        length < end ? std::stoul(peer.received().substr(length + 16)) : 0;
    if (peer.received().size() < end + 4 + body) {
      return;
    }
    peer.received().erase(0, end + 4 + body);
    peer.Send(answer);
  };
}

DispatchAttempt RelayNodeLogic::Dispatch(CallId call, const CallHead& head) {
  WorkHead work;
  work.request_id = head.request_id;
  work.entry = NodeId(1);
  work.workspace = head.workspace;
  work.service = head.service;
  work.method = head.method;
  work.target = head.target;
  work.fingerprint = head.fingerprint;
  work.time_left = std::chrono::seconds(5);
  return {call, AttemptNumber(++m_last_attempt), owner, owner_endpoint, work};
}

std::vector<NodeAction> RelayNodeLogic::OnRefused(
    const AttemptRefused& refused) {
  if (retries_refused) {
    return {Dispatch(refused.call, m_heads.at(refused.call))};
  }
  m_calls.erase(refused.call);
  return {AnswerCaller{refused.call, Outcome::kNotRun, refused.reason}};
}

std::vector<NodeAction> RelayNodeLogic::OnLost(const AttemptLost& lost) {
  const auto call = m_calls.find(lost.call);
  if (call == m_calls.end()) {
    return {};
  }
  const bool is_begun = call->second;
  m_calls.erase(call);
  if (is_begun) {
    return {AbortAnswer{lost.call}};
  }
  return {AnswerCaller{
      lost.call,
      lost.is_certainly_not_run ? Outcome::kNotRun : Outcome::kUnknown,
      lost.reason}};
}

std::vector<NodeAction> RelayNodeLogic::ExitIfDone() {
  if (m_is_shutting_down && m_calls.empty() && m_works.empty()) {
    return {ExitProcess{}};
  }
  return {};
}

std::vector<NodeAction> RelayNodeLogic::Handle(TimePoint, NodeEvent event) {
  events.push_back(event);
  if (std::holds_alternative<TimerFired>(event)) {
    wakeup = TimePoint::max();
  }
  if (const auto* call = std::get_if<CallArrived>(&event)) {
    m_calls[call->call] = false;
    m_heads[call->call] = call->head;
    return {Dispatch(call->call, call->head)};
  }
  if (const auto* gone = std::get_if<CallerDisconnected>(&event)) {
    m_calls.erase(gone->call);
    return {CancelAttempt{gone->call, AttemptNumber(m_last_attempt)}};
  }
  if (const auto* refused = std::get_if<AttemptRefused>(&event)) {
    return OnRefused(*refused);
  }
  if (const auto* begun = std::get_if<AttemptAnswerBegun>(&event)) {
    m_calls[begun->call] = true;
    return {RelayAnswer{begun->call, begun->attempt}};
  }
  if (const auto* ended = std::get_if<AttemptAnswerEnded>(&event)) {
    m_calls.erase(ended->call);
    return ExitIfDone();
  }
  if (const auto* lost = std::get_if<AttemptLost>(&event)) {
    return OnLost(*lost);
  }
  if (const auto* work = std::get_if<WorkArrived>(&event)) {
    if (refuse_with != Reason::kNone) {
      return {RefuseWork{work->work, refuse_with, {}}};
    }
    m_works[work->work] = false;
    if (holds_works) {
      return {};
    }
    return {HandToTarget{work->work, work->head.time_left}};
  }
  if (const auto* cancelled = std::get_if<WorkCancelled>(&event)) {
    m_works.erase(cancelled->work);
    return {CancelWork{cancelled->work}};
  }
  if (const auto* failed = std::get_if<TargetConnectFailed>(&event)) {
    m_works.erase(failed->work);
    return {RefuseWork{failed->work, Reason::kConnectFailed, {}}};
  }
  if (const auto* begun = std::get_if<TargetAnswerBegun>(&event)) {
    if (begun->is_shed || begun->is_wrong_target) {
      m_works.erase(begun->work);
      return {RefuseWork{begun->work, Reason::kShed, {}}};
    }
    return {RelayWork{begun->work, {3, 2, 12, std::chrono::milliseconds(4)}}};
  }
  if (const auto* ended = std::get_if<TargetAnswerEnded>(&event)) {
    m_works.erase(ended->work);
    return ExitIfDone();
  }
  if (const auto* failed = std::get_if<TargetExchangeFailed>(&event)) {
    m_works.erase(failed->work);
    return {FailWork{failed->work, Reason::kTargetLost, {}}};
  }
  if (std::holds_alternative<ShutdownRequested>(event)) {
    m_is_shutting_down = true;
    return ExitIfDone();
  }
  if (const auto* operators = std::get_if<OperatorRequested>(&event)) {
    return {AnswerOperator{operators->request, 200, "text/plain",
                           operators->body, RowVersion(7)}};
  }
  return {};
}

void UnavailableTable::Submit(TableRequest, Callback callback) {
  asio::post(m_context, [callback = std::move(callback)] {
    callback(Now(), {TableStatus::kUnavailable, {}});
  });
}

DriverSettings LoopbackSettings(std::uint64_t id) {
  const Endpoint any{"127.0.0.1", 0};
  DriverSettings settings;
  settings.id = NodeId(id);
  settings.caller = any;
  settings.stream = any;
  settings.gossip = any;
  settings.target = any;
  settings.operators = any;
  return settings;
}

TestNode::TestNode(asio::io_context& context, std::uint64_t id)
    : TestNode(context, LoopbackSettings(id)) {}

TestNode::TestNode(asio::io_context& context,
                   const DriverSettings& node_settings)
    : random(node_settings.id.value()),
      table(context),
      settings(node_settings),
      driver(context, settings, logic, table, random) {
  driver.Start();
}

void TestNode::SendTo(const TestNode& owner) {
  logic.owner = owner.settings.id;
  logic.owner_endpoint = owner.driver.stream_endpoint();
}

void TestNode::Announce(const Endpoint& target) {
  driver.Emit(
      TargetAnnounced{ServiceName("desk"), target, 12, 220, Incarnation(1)});
}

std::string Get(std::string_view target) {
  return "GET " + std::string(target) +
         " HTTP/1.1\r\nHost: desk\r\nBulrushmount-Workspace: studio\r\n\r\n";
}

}  // namespace bulrushmount::testing

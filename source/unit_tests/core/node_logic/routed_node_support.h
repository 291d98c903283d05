// A single node with a routing document that is entry and owner at once, driven
// by events.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_ROUTED_NODE_SUPPORT_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_ROUTED_NODE_SUPPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "core/common/random.h"
#include "core/contracts/operator_document_reader.h"
#include "core/node_logic/node_logic.h"

namespace bulrushmount {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

inline const ServiceName kService("desk");

inline RouteConfig ExampleRoutes() {
  Route read;
  read.name = KindName("read");
  read.host = "desk.example";
  read.path_prefix = "/read/";
  read.is_repeatable = true;
  read.timeout = 2s;
  read.latency_objective = 500ms;
  read.max_attempts = 2;
  read.shares = {{kService, 1}};
  Route book = read;
  book.name = KindName("book");
  book.path_prefix = "/book/";
  book.is_repeatable = false;
  RouteConfig config;
  config.routes = {read, book};
  config.services = {{kService, "/health", 100}};
  return config;
}

// Decodes a document whose text is its revision number.
class NumberDecoder : public RouteDocumentDecoder {
 public:
  std::variant<RouteDocument, RouteDocumentFault> Decode(
      std::string_view text) const override {
    if (text == "bad")
      return RouteDocumentFault{"no number"};
    return RouteDocument{Revision(std::stoull(std::string(text))), config};
  }

  RouteConfig config = ExampleRoutes();
};

// A node with a table that answers at once and a target that answers when the
// test requests it.
class RoutedNodeTest : public testing::Test {
 protected:
  RoutedNodeTest() : m_logic(Settings(), m_decoder, m_random, m_now) {}

  static NodeSettings Settings() {
    NodeSettings settings;
    settings.id = NodeId(1);
    settings.stream_endpoint = {"127.0.0.1", 7000};
    settings.gossip_endpoint = {"127.0.0.1", 7001};
    settings.has_route_document = true;
    settings.needs_crash_to_suspect = true;
    settings.do_entries_evaluate_errors = true;
    settings.refusals_cost_no_retry = true;
    settings.selective_attempts = 4;
    settings.max_attempts = 8;
    settings.leave_time = 3s;
    settings.longest_leave = 6s;
    return settings;
  }

  void Deliver(NodeEvent event) {
    for (NodeAction& action : m_logic.Handle(m_now, std::move(event)))
      Take(std::move(action));
  }

  void Take(NodeAction action) {
    if (const auto* const table = std::get_if<SubmitTableRequest>(&action)) {
      AnswerTable(*table);
      return;
    }
    m_actions.push_back(std::move(action));
  }

  void AnswerTable(const SubmitTableRequest& request) {
    if (std::holds_alternative<TableWatch>(request.body)) {
      m_watch = request.request;
      return;
    }
    TableReply reply;
    reply.status =
        m_is_table_unavailable ? TableStatus::kUnavailable : TableStatus::kOk;
    const auto* const scan = std::get_if<TableScan>(&request.body);
    if (scan && scan->prefix == kOperatorRowPrefix && !m_is_table_unavailable)
      reply.rows = {{kOperatorDocumentRow, m_document, RowVersion(9)}};
    Deliver(TableReplied{request.request, std::move(reply)});
  }

  // Writes the document as the operator and completes the open watch.
  void WriteDocument(const std::string& text) {
    m_document = text;
    ASSERT_TRUE(m_watch);
    TableReply reply;
    reply.status = TableStatus::kOk;
    reply.rows = {{kOperatorDocumentRow, text, RowVersion(++m_row_version)}};
    Deliver(
        TableReplied{*std::exchange(m_watch, std::nullopt), std::move(reply)});
  }

  void Advance(Duration time) {
    const TimePoint end = m_now + time;
    while (m_logic.NextWakeup() <= end) {
      m_now = std::max(m_now, m_logic.NextWakeup());
      Deliver(TimerFired{});
    }
    m_now = end;
  }

  // Removes and returns the oldest action of the type.
  template <typename Action>
  std::optional<Action> Next() {
    for (auto it = m_actions.begin(); it != m_actions.end(); ++it) {
      if (auto* const action = std::get_if<Action>(&*it)) {
        Action found = std::move(*action);
        m_actions.erase(it);
        return found;
      }
    }
    return std::nullopt;
  }

  static TargetHeartbeat Heartbeat(const std::string& instance,
                                   std::uint64_t sequence) {
    TargetHeartbeat heartbeat;
    heartbeat.instance = InstanceId(instance);
    heartbeat.service = kService;
    heartbeat.endpoint = {"127.0.0.1", 8080};
    heartbeat.slots = 9;
    heartbeat.sequence = sequence;
    return heartbeat;
  }

  void AnswerProbe(const std::string& instance, double slowdown) {
    const auto probe = Next<SendProbe>();
    ASSERT_TRUE(probe);
    EXPECT_EQ(probe->path, "/health");
    Deliver(ProbeAnswered{probe->probe, true, 1ms, InstanceId(instance),
                          TargetLoadSample{0, 0, 9, slowdown}});
  }

  // Makes the node ready, with an open target gate.
  void Start() {
    Advance(3s);
    ASSERT_TRUE(m_logic.IsReady());
    Deliver(Heartbeat("i-1", 1));
    AnswerProbe("i-1", 1);
    Advance(10ms);
  }

  // With the key of a workspace unless `key` is empty. Without a fingerprint,
  // the request differs from all others.
  CallId Call(const std::string& target,
              const std::string& key = "",
              const std::optional<Fingerprint>& fingerprint = {}) {
    CallHead head;
    if (!key.empty())
      head.key = KeyDigest::Of(key);
    head.request_id = RequestId("r");
    head.host = "desk.example";
    head.method = "GET";
    head.target = target;
    ++m_last_call;
    head.fingerprint = fingerprint.value_or(Fingerprint(m_last_call));
    Deliver(CallArrived{CallId(m_last_call), std::move(head)});
    return CallId(m_last_call);
  }

  // Delivers the next attempt of the node to itself.
  std::optional<DispatchAttempt> Arrive() {
    auto attempt = Next<DispatchAttempt>();
    if (attempt)
      Deliver(WorkArrived{WorkId(++m_last_work), attempt->head});
    return attempt;
  }

  // Delivers the refusal of the owner to the entry.
  void Refuse(const DispatchAttempt& attempt, Reason expected) {
    const auto refusal = Next<RefuseWork>();
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, expected);
    Deliver(AttemptRefused{attempt.call, attempt.attempt, refusal->reason,
                           refusal->load});
  }

  TimePoint m_now{std::chrono::hours(1)};
  SeededRandomSource m_random{3};
  NumberDecoder m_decoder;
  std::string m_document = "5";
  bool m_is_table_unavailable = false;
  std::optional<TableRequestId> m_watch;
  std::uint64_t m_row_version = 9;
  NodeLogic m_logic;
  std::vector<NodeAction> m_actions;
  std::uint64_t m_last_call = 0;
  std::uint64_t m_last_work = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_NODE_LOGIC_ROUTED_NODE_SUPPORT_H_

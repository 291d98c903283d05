// Implements `event_script.h`.

#include "unit_tests/core/node_logic/event_script.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

namespace bulrushmount::testing {

namespace {

constexpr Duration kContractDeadline = std::chrono::milliseconds(500);
constexpr Duration kSettlingTime = std::chrono::seconds(10);
// More timers at one time indicate an endless loop of the driver.
constexpr int kMaxTimersAtOnce = 100;
constexpr std::size_t kMaxDatagrams = 64;

constexpr char kContract[] = R"(workspace: paramo
services:
  - name: desk
    kinds:
      - {name: book, method: PUT, path: /, repeatable: false, weight: 1,
         deadline: 500ms, objective: {fraction: 0.99, within: 100ms}}
      - {name: browse, method: "*", path: /, repeatable: true, weight: 1,
         deadline: 500ms, objective: {fraction: 0.99, within: 100ms}}
limits: {units_per_second: 1000, burst_units: 1000, in_flight: 100}
share: 1
key_retention: 24h
)";

NodeSettings MakeSettings() {
  NodeSettings settings;
  settings.id = NodeId(1);
  settings.stream_endpoint = {"127.0.0.1", 7001};
  settings.gossip_endpoint = {"127.0.0.1", 7002};
  settings.zone = AvailabilityZone("zone");
  settings.region = Region("region");
  return settings;
}

TargetAnnounced Announcement(std::uint64_t incarnation) {
  return {ServiceName("desk"),
          {"127.0.0.1", 8000},
          4,
          220,
          Incarnation(incarnation)};
}

}  // namespace

EventScript::EventScript(std::string bytes)
    : m_bytes(std::move(bytes)), m_logic(MakeSettings(), m_random, m_now) {}

std::string EventScript::Run() {
  Prepare();
  while (m_at < m_bytes.size() && m_fault.empty())
    Step();
  SettleDown();
  return m_fault;
}

void EventScript::Prepare() {
  Deliver(Announcement(1));
  OperatorRequested write;
  write.request = OperatorRequestId(1);
  write.verb = OperatorVerb::kWrite;
  write.workspace = WorkspaceName("paramo");
  write.body = kContract;
  Deliver(write);
  AdvanceTime(kSettlingTime);
  if (!m_logic.IsReady())
    Fault("the node did not get ready");
  m_is_prepared = true;
}

void EventScript::SettleDown() {
  for (int id = 0; id < 8; ++id)
    Deliver(AnswerStalled{CallId(id)});
  AdvanceTime(kSettlingTime);
  if (!m_calls.empty())
    Fault("a call has no outcome");
}

void EventScript::Step() {
  const std::uint8_t kind = Byte();
  switch (kind % 4) {
    case 0:
      StepOfCall(kind / 4);
      break;
    case 1:
      StepOfWork(kind / 4);
      break;
    case 2:
      StepOfTarget(kind / 4);
      break;
    default:
      StepOfOthers(kind / 4);
      break;
  }
}

void EventScript::StepOfCall(std::uint8_t kind) {
  switch (kind % 8) {
    case 0:
    case 1:
      Arrive();
      break;
    case 2: {
      const CallId call = AnyCall();
      m_calls.erase(call);
      Deliver(CallerDisconnected{call});
      break;
    }
    case 3: {
      const CallId call = AnyCall();
      const AttemptNumber attempt = AnyAttempt();
      Deliver(AttemptRefused{call, attempt, AnyReason(), AnyLoad()});
      break;
    }
    case 4: {
      const CallId call = AnyCall();
      const AttemptNumber attempt = AnyAttempt();
      const int status = 100 + 2 * Byte();
      Deliver(AttemptAnswerBegun{call, attempt, status, AnyLoad()});
      break;
    }
    case 5: {
      const CallId call = AnyCall();
      const AttemptNumber attempt = AnyAttempt();
      const auto found = m_calls.find(call);
      // The caller has received the complete answer.
      const bool is_relayed = found != m_calls.end() && found->second.relayed &&
                              found->second.relayed->value() == attempt.value();
      if (is_relayed)
        m_calls.erase(found);
      Deliver(AttemptAnswerEnded{call, attempt, AnyLoad(),
                                 KeptAnswer{"text/plain", AnyText()}});
      break;
    }
    case 6: {
      const CallId call = AnyCall();
      const AttemptNumber attempt = AnyAttempt();
      const bool is_not_run = Byte() % 2 == 0;
      Deliver(AttemptLost{call, attempt, is_not_run, AnyReason()});
      break;
    }
    default:
      Deliver(AnswerStalled{AnyCall()});
      break;
  }
}

void EventScript::StepOfWork(std::uint8_t kind) {
  switch (kind % 6) {
    case 0:
    case 1:
      ArriveWork();
      break;
    case 2: {
      const WorkId work = AnyWork();
      m_works.erase(work);
      Deliver(WorkCancelled{work});
      break;
    }
    case 3: {
      const WorkId work = AnyWork();
      const int status = 100 + 2 * Byte();
      Deliver(TargetAnswerBegun{work, status, Byte() % 4 == 0});
      break;
    }
    case 4: {
      const WorkId work = AnyWork();
      const auto found = m_works.find(work);
      if (found != m_works.end() && found->second.is_relayed)
        m_works.erase(found);
      Deliver(TargetAnswerEnded{work});
      break;
    }
    default: {
      const WorkId work = AnyWork();
      if (Byte() % 2 == 0)
        Deliver(TargetConnectFailed{work});
      else
        Deliver(TargetExchangeFailed{work, Byte() % 2 == 0});
      break;
    }
  }
}

void EventScript::StepOfTarget(std::uint8_t kind) {
  switch (kind % 6) {
    case 0: {
      TargetAnnounced announced = Announcement(Byte() % 4);
      announced.slots = Byte() % 8;
      announced.connections = Byte() % 8;
      Deliver(announced);
      break;
    }
    case 1:
      Deliver(TargetWithdrawn{});
      break;
    case 2:
      Deliver(ProbeAnswered{ProbeId(Byte() % 4), Byte() % 2 == 0,
                            std::chrono::milliseconds(Byte())});
      break;
    case 3:
      Deliver(ProbeFailed{ProbeId(Byte() % 4)});
      break;
    default:
      Deliver(Announcement(Byte() % 4));
      break;
  }
}

void EventScript::StepOfOthers(std::uint8_t kind) {
  switch (kind % 8) {
    case 0:
    case 1:
      AdvanceTime(Duration(std::int64_t{1} << (Byte() % 33)));
      break;
    case 2:
      Freeze(std::chrono::milliseconds(100) * Byte());
      break;
    case 3:
    case 4:
      ReplyFromTable();
      break;
    case 5:
      ArriveDatagram();
      break;
    case 6:
      AskAsOperator();
      break;
    default:
      // Rare, so that most scripts run long enough.
      if (Byte() == 255)
        Deliver(ShutdownRequested{});
      else
        Deliver(TimerFired{});
      break;
  }
}

void EventScript::Arrive() {
  const CallId id = AnyCall();
  const std::uint8_t shape = Byte();
  CallHead head;
  head.request_id = RequestId(fmt::format("r{}", m_at));
  head.workspace = WorkspaceName(shape % 16 == 15 ? "nobody" : "paramo");
  head.service = ServiceName("desk");
  head.method = shape % 2 == 0 ? "GET" : "PUT";
  head.target = "/";
  head.fingerprint = Fingerprint(shape % 5);
  head.is_body_buffered = shape % 3 != 0;
  if (shape % 4 == 1)
    head.idempotency_key = IdempotencyKey(fmt::format("key-{}", shape % 3));
  if (shape % 7 == 0)
    head.deadline = std::chrono::milliseconds(Byte());
  const Duration granted =
      std::min(head.deadline.value_or(kContractDeadline), kContractDeadline);
  // A second call with an id in use must not affect the first.
  m_calls.emplace(id, OpenCall{m_now + granted, std::nullopt});
  Deliver(CallArrived{id, head});
}

void EventScript::ArriveWork() {
  const WorkId id = AnyWork();
  const std::uint8_t shape = Byte();
  WorkHead head;
  head.entry = NodeId(shape % 3 + 1);
  head.workspace = WorkspaceName(shape % 2 == 0 ? "paramo" : "other");
  head.service = ServiceName(shape % 16 == 15 ? "elsewhere" : "desk");
  head.kind = KindName("browse");
  head.method = "GET";
  head.target = "/";
  head.fingerprint = Fingerprint(shape % 5);
  head.time_left = std::chrono::milliseconds(10) * Byte();
  head.weight = 1 + shape % 3;
  head.is_repeatable = shape % 2 == 0;
  head.is_suspect = shape % 4 == 3;
  head.is_last_attempt = shape % 8 > 3;
  m_works.emplace(id, OpenWork());
  Deliver(WorkArrived{id, head});
}

void EventScript::ReplyFromTable() {
  const std::uint8_t how = Byte();
  if (m_requests.empty() || how % 16 == 15) {
    Deliver(TableReplied{TableRequestId(Byte()), {TableStatus::kOk, {}}});
    return;
  }
  const auto found =
      std::next(m_requests.begin(),
                static_cast<std::ptrdiff_t>(how / 16 % m_requests.size()));
  const auto [id, request] = *found;
  m_requests.erase(found);
  TableReply reply;
  switch (how % 8) {
    case 0:
      reply.status = TableStatus::kUnavailable;
      break;
    case 1:
      reply.status = TableStatus::kUnknown;
      break;
    case 2:
      // The request is applied and its reply is lost.
      m_table.Apply(request);
      reply.status = TableStatus::kUnknown;
      break;
    case 3:
      // Rows that were not written by this node.
      reply = m_table.Apply(request);
      for (Row& row : reply.rows)
        row.value = AnyText();
      break;
    default:
      reply = m_table.Apply(request);
      break;
  }
  Deliver(TableReplied{id, reply});
  if (how % 16 == 14)
    Deliver(TableReplied{id, reply});
}

void EventScript::ArriveDatagram() {
  DatagramArrived event;
  event.from = {"127.0.0.2", static_cast<std::uint16_t>(7000 + Byte() % 4)};
  const std::uint8_t which = Byte();
  if (!m_datagrams.empty() && which % 4 != 0) {
    event.bytes = m_datagrams[which / 4 % m_datagrams.size()];
    const std::size_t place =
        Byte() % std::max<std::size_t>(event.bytes.size(), 1);
    if (!event.bytes.empty())
      event.bytes[place] = static_cast<char>(Byte());
  } else {
    event.bytes = AnyText();
  }
  Deliver(event);
}

void EventScript::AskAsOperator() {
  OperatorRequested event;
  event.request = OperatorRequestId(Byte() % 4);
  event.verb = static_cast<OperatorVerb>(Byte() % 4);
  event.workspace = WorkspaceName(Byte() % 2 == 0 ? "other" : "");
  event.body = AnyText();
  event.if_version = RowVersion(Byte() % 4);
  Deliver(event);
}

void EventScript::AdvanceTime(Duration duration) {
  const TimePoint end = m_now + duration;
  while (m_fault.empty()) {
    const TimePoint next = m_logic.NextWakeup();
    if (next > end)
      break;
    m_now = std::max(m_now, next);
    RunTimers();
  }
  m_now = std::max(m_now, end);
  CheckDeadlines();
}

void EventScript::Freeze(Duration duration) {
  m_now += duration;
  RunTimers();
  CheckDeadlines();
}

void EventScript::RunTimers() {
  int count = 0;
  while (m_logic.NextWakeup() <= m_now && m_fault.empty()) {
    Deliver(TimerFired{});
    if (++count > kMaxTimersAtOnce)
      Fault("timers fire endlessly without time advancing");
  }
}

void EventScript::CheckDeadlines() {
  for (const auto& [id, call] : m_calls) {
    if (!call.relayed && call.deadline < m_now)
      Fault("a call has no outcome by its deadline");
  }
}

void EventScript::Deliver(NodeEvent event) {
  for (const NodeAction& action : m_logic.Handle(m_now, std::move(event)))
    std::visit([this](const auto& one) { On(one); }, action);
}

void EventScript::On(const RelayAnswer& action) {
  const auto found = m_calls.find(action.call);
  if (found == m_calls.end()) {
    Fault("an answer is relayed to a call that has ended");
    return;
  }
  if (found->second.relayed)
    Fault("two answers are relayed to a call");
  found->second.relayed = action.attempt;
}

void EventScript::On(const AnswerCaller& action) {
  EndCall(action.call, false, false);
}

void EventScript::On(const ReplayAnswer& action) {
  EndCall(action.call, false, false);
}

void EventScript::On(const AbortAnswer& action) {
  EndCall(action.call, true, true);
}

void EventScript::EndCall(CallId call,
                          bool may_be_relayed,
                          bool must_be_relayed) {
  const auto found = m_calls.find(call);
  if (found == m_calls.end()) {
    Fault("an outcome for a call that has ended or never existed");
    return;
  }
  const bool is_relayed = found->second.relayed.has_value();
  if (is_relayed && !may_be_relayed)
    Fault("a second answer after the head of the first");
  if (!is_relayed && must_be_relayed)
    Fault("an answer that never began is aborted");
  m_calls.erase(found);
}

void EventScript::On(const HandToTarget& action) {
  const auto found = m_works.find(action.work);
  if (found == m_works.end() || found->second.is_handed_over) {
    Fault("a work is handed over twice or after its end");
    return;
  }
  found->second.is_handed_over = true;
}

void EventScript::On(const RelayWork& action) {
  const auto found = m_works.find(action.work);
  if (found == m_works.end() || !found->second.is_handed_over) {
    Fault("an answer of a work that is not running");
    return;
  }
  found->second.is_relayed = true;
}

void EventScript::EndWork(WorkId work) {
  if (m_works.erase(work) == 0)
    Fault("a work ends twice");
}

void EventScript::On(const SendDatagram& action) {
  if (m_datagrams.size() < kMaxDatagrams)
    m_datagrams.push_back(action.bytes);
}

void EventScript::On(const SubmitTableRequest& action) {
  if (m_is_prepared) {
    m_requests.emplace(action.request, action.body);
    return;
  }
  Deliver(TableReplied{action.request, m_table.Apply(action.body)});
}

void EventScript::Fault(std::string_view text) {
  if (m_fault.empty())
    m_fault = fmt::format("{} (byte {})", text, m_at);
}

std::uint8_t EventScript::Byte() {
  return m_at < m_bytes.size() ? static_cast<std::uint8_t>(m_bytes[m_at++]) : 0;
}

Reason EventScript::AnyReason() {
  constexpr auto reason_count = static_cast<int>(Reason::kShutdownForced) + 1;
  return static_cast<Reason>(Byte() % reason_count);
}

LoadReport EventScript::AnyLoad() {
  LoadReport load;
  load.in_flight = Byte();
  load.queued = Byte();
  load.limit = Byte();
  load.service_time = std::chrono::milliseconds(Byte());
  return load;
}

std::string EventScript::AnyText() {
  const std::size_t wanted = Byte();
  const std::size_t size = std::min(wanted, m_bytes.size() - m_at);
  std::string text = m_bytes.substr(m_at, size);
  m_at += size;
  return text;
}

}  // namespace bulrushmount::testing

// Part of `entry_calls.h`.

#include "core/transport/callers/entry_calls.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>

#include "core/transport/body_copy.h"
#include "core/transport/peers/local_node_stream.h"

namespace bulrushmount {

namespace {

std::string ContentTypeOf(const AnswerHead& head) {
  for (const auto& header : head.headers) {
    if (boost::algorithm::iequals(header.name, "Content-Type"))
      return header.value;
  }
  return std::string();
}

}  // namespace

class EntryCalls::Attempt : public AttemptListener {
 public:
  Attempt(CallId call, AttemptNumber number, EventSink& events)
      : m_call(call), m_number(number), m_events(events) {}
  ~Attempt() override {
    if (m_request_pump) {
      m_request_pump->Stop();
    }
  }

  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  void Begin(std::shared_ptr<AttemptStream> stream,
             std::shared_ptr<BodySource> body) {
    m_stream = std::move(stream);
    // Failures are handled elsewhere: the caller's connection reports those of
    // the source, and the stream's listener those of the sink.
    m_request_pump = BodyPump::Start(std::move(body), m_stream->request_body(),
                                     [](PumpResult) {});
  }

  void OnRefused(Reason reason, const LoadReport& load) override {
    m_events.Emit(AttemptRefused{m_call, m_number, reason, load});
  }

  void OnAnswer(AnswerHead head,
                const LoadReport& load,
                std::shared_ptr<BodySource> body) override {
    answer = std::move(head);
    answer_load = load;
    answer_body = std::move(body);
    m_events.Emit(AttemptAnswerBegun{m_call, m_number, answer.status, load});
  }

  void OnFailed(Reason reason, const LoadReport&) override {
    m_events.Emit(AttemptLost{m_call, m_number, false, reason});
  }

  void OnLost(bool is_certainly_not_run, Reason reason) override {
    m_events.Emit(AttemptLost{m_call, m_number, is_certainly_not_run, reason});
  }

  void OnSilent() override { m_events.Emit(AttemptSilent{m_call, m_number}); }

  // Set by OnAnswer.
  AnswerHead answer;
  LoadReport answer_load;
  std::shared_ptr<BodySource> answer_body;

 private:
  CallId m_call;
  AttemptNumber m_number;
  EventSink& m_events;
  std::shared_ptr<AttemptStream> m_stream;
  std::shared_ptr<BodyPump> m_request_pump;
};

struct EntryCalls::Call {
  std::shared_ptr<CallerExchange> exchange;
  std::unordered_map<AttemptNumber, std::unique_ptr<Attempt>> attempts;
  // Once an answer is being relayed: its attempt and the pump.
  AttemptNumber relayed;
  std::shared_ptr<BodyPump> pump;
  // Set if a copy of the answer is kept for retries.
  std::shared_ptr<CopyingSource> copy;
  std::string content_type;
  // The state at the last call of FindStalled.
  std::uint64_t bytes_relayed = 0;
  TimePoint last_progress;
};

EntryCalls::EntryCalls(boost::asio::any_io_executor executor,
                       NodeId self,
                       const NodeLogicInterface& logic,
                       NodeStreamClient& client,
                       WorkAcceptor& own_works,
                       EventSink& events,
                       const CallerDialect& dialect)
    : m_executor(std::move(executor)),
      m_self(self),
      m_logic(logic),
      m_client(client),
      m_own_works(own_works),
      m_events(events),
      m_dialect(dialect) {}

EntryCalls::~EntryCalls() {
  while (!m_calls.empty()) {
    Drop(m_calls.begin()->first);
  }
}

EntryCalls::Call* EntryCalls::Find(CallId id) {
  const auto found = m_calls.find(id);
  return found == m_calls.end() ? nullptr : found->second.get();
}

EntryCalls::Attempt* EntryCalls::Find(CallId id, AttemptNumber number) {
  Call* const call = Find(id);
  if (!call) {
    return nullptr;
  }
  const auto found = call->attempts.find(number);
  return found == call->attempts.end() ? nullptr : found->second.get();
}

void EntryCalls::Drop(CallId id) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  // Removed from the map first, because ending an attempt may re-enter this
  // function.
  const std::unique_ptr<Call> call = std::move(found->second);
  m_calls.erase(found);
  m_ids.erase(call->exchange.get());
  if (call->pump) {
    call->pump->Stop();
  }
}

void EntryCalls::OnCall(std::shared_ptr<CallerExchange> exchange) {
  const CallId id(++m_last_id);
  m_ids.emplace(exchange.get(), id);
  auto call = std::make_unique<Call>();
  call->exchange = std::move(exchange);
  CallHead head = call->exchange->head();
  m_calls.emplace(id, std::move(call));
  m_events.Emit(CallArrived{id, std::move(head)});
}

void EntryCalls::OnCallerDisconnected(const CallerExchange& exchange) {
  const auto found = m_ids.find(&exchange);
  if (found == m_ids.end()) {
    return;
  }
  const CallId id = found->second;
  m_events.Emit(CallerDisconnected{id});
  Drop(id);
}

void EntryCalls::Do(const DispatchAttempt& action) {
  Call* const call = Find(action.call);
  if (!call) {
    return;
  }
  CallerExchange& exchange = *call->exchange;
  std::shared_ptr<BodySource> body = exchange.OpenBody();
  if (!body) {
    // A part of the body is no longer available, so the request cannot be sent
    // again.
    m_events.Emit(AttemptLost{action.call, action.attempt, true,
                              Reason::kNodeUnreachable, true});
    return;
  }
  WorkRequest request{action.head, exchange.headers(), exchange.shape()};
  if (action.removes_workspace_fields)
    m_dialect.RemoveWorkspaceFields(request.headers);
  auto attempt =
      std::make_unique<Attempt>(action.call, action.attempt, m_events);
  auto stream =
      action.owner == m_self
          ? OpenLocalStream(m_executor, request, m_own_works, attempt.get())
          : m_client.Open(action.endpoint, request, attempt.get());
  attempt->Begin(std::move(stream), std::move(body));
  call->attempts.insert_or_assign(action.attempt, std::move(attempt));
}

void EntryCalls::Do(const CancelAttempt& action) {
  Call* const call = Find(action.call);
  if (!call) {
    return;
  }
  if (call->pump && call->relayed == action.attempt) {
    // The answer that is being relayed can no longer be completed.
    Do(AbortAnswer{action.call});
    return;
  }
  // Removed from the map first, because ending it may re-enter this function.
  const auto attempt = call->attempts.extract(action.attempt);
}

void EntryCalls::Do(const RelayAnswer& action) {
  Call* const call = Find(action.call);
  Attempt* const attempt = Find(action.call, action.attempt);
  if (!attempt || !attempt->answer_body || call->pump) {
    return;
  }
  AnswerHead head = std::move(attempt->answer);
  std::shared_ptr<BodySource> body = attempt->answer_body;
  if (action.keep_bytes > 0) {
    call->content_type = ContentTypeOf(head);
    call->copy =
        std::make_shared<CopyingSource>(std::move(body), action.keep_bytes);
    body = call->copy;
  }
  m_dialect.AddAnswerFields(call->exchange->head().request_id, head);
  std::shared_ptr<BodySink> sink = call->exchange->BeginAnswer(std::move(head));
  if (!sink) {
    return;
  }
  call->last_progress = Now();
  const CallId id = action.call;
  const AttemptNumber number = action.attempt;
  auto pump = std::make_shared<BodyPump>(
      std::move(body), std::move(sink),
      [this, id, number](PumpResult result) { OnRelayed(id, number, result); });
  call->pump = pump;
  call->relayed = number;
  pump->Run();
}

void EntryCalls::OnRelayed(CallId id, AttemptNumber number, PumpResult result) {
  Attempt* const attempt = Find(id, number);
  if (!attempt) {
    return;
  }
  if (result == PumpResult::kSinkFailed) {
    // The connection reports that its caller has disconnected.
    return;
  }
  if (result == PumpResult::kSourceFailed) {
    m_events.Emit(AttemptLost{id, number, false, Reason::kNodeLost});
    // Independent of what the logic decided: an incomplete answer must not
    // appear complete to the caller.
    Do(AbortAnswer{id});
    return;
  }
  Call& call = *Find(id);
  AttemptAnswerEnded ended{id, number, attempt->answer_load, std::nullopt,
                           call.pump->bytes_relayed()};
  if (call.copy) {
    if (std::optional<std::string> kept = call.copy->TakeCopy())
      ended.kept = KeptAnswer{call.content_type, std::move(*kept)};
  }
  Drop(id);
  m_events.Emit(std::move(ended));
}

void EntryCalls::Do(const AnswerCaller& action) {
  Call* const call = Find(action.call);
  if (!call) {
    return;
  }
  if (call->pump) {
    // A second head inside an answer would be taken for a part of its body.
    Do(AbortAnswer{action.call});
    return;
  }
  const auto exchange = call->exchange;
  Drop(action.call);
  exchange->Answer(m_dialect.MakeLocalAnswer(LocalAnswer{
                       action.outcome, action.reason, action.retry_after,
                       exchange->head().request_id}),
                   MakeOutcomeBody(action.outcome, action.reason));
}

void EntryCalls::Do(const ReplayAnswer& action) {
  Call* const call = Find(action.call);
  if (!call || call->pump) {
    return;
  }
  const auto exchange = call->exchange;
  Drop(action.call);
  AnswerHead head;
  head.status = action.status;
  if (!action.content_type.empty()) {
    head.headers.push_back({"Content-Type", action.content_type});
  }
  m_dialect.AddAnswerFields(exchange->head().request_id, head);
  exchange->Answer(std::move(head), action.body);
}

void EntryCalls::Do(const AbortAnswer& action) {
  Call* const call = Find(action.call);
  if (!call) {
    return;
  }
  const auto exchange = call->exchange;
  Drop(action.call);
  exchange->Break();
}

void EntryCalls::FindStalled(TimePoint now, Duration limit) {
  std::vector<CallId> stalled;
  for (const auto& [id, call] : m_calls) {
    if (!call->pump) {
      continue;
    }
    if (call->pump->bytes_relayed() != call->bytes_relayed) {
      call->bytes_relayed = call->pump->bytes_relayed();
      call->last_progress = now;
    }
    if (now - call->last_progress >= limit) {
      stalled.push_back(id);
    }
  }
  for (const CallId id : stalled) {
    m_events.Emit(AnswerStalled{id});
    Do(AbortAnswer{id});
  }
}

}  // namespace bulrushmount

// Part of `caller_connection.h`: sends answers in the order of their requests.

#include <string>
#include <utility>

#include "core/common/logging.h"
#include "core/transport/callers/caller_connection.h"
#include "core/transport/callers/caller_exchange.h"

namespace bulrushmount::detail {

bool CallerConnection::IsFront(const Exchange& exchange) const {
  return m_exchanges.front().get() == &exchange;
}

// Without buffering, a target that aborts a short answer would force the
// connection to close in the middle of it, and the requests behind it, which
// healthy targets are processing, would lose their answers. A short answer
// usually arrives at once, so buffering adds no noticeable delay.
bool CallerConnection::MustBufferAnswer(const Exchange& exchange) const {
  const BodyShape& shape = exchange.m_answer_head.shape;
  return m_exchanges.size() > 1 && shape.framing != BodyFraming::kChunked &&
         shape.length <= kMaxHeldAnswerBytes;
}

std::shared_ptr<BodySink> CallerConnection::BeginAnswer(
    const ExchangePtr& exchange,
    AnswerHead head) {
  // The unread rest of this request would be parsed as the next request.
  m_closes_after_answers = m_closes_after_answers || exchange->HasUnreadBody();
  exchange->m_answer_head = std::move(head);
  exchange->m_answer_state = Exchange::AnswerState::kHeld;
  if (IsFront(*exchange) && !MustBufferAnswer(*exchange)) {
    StreamAnswer(*exchange);
  }
  return std::make_shared<AnswerSink>(shared_from_this(), exchange);
}

void CallerConnection::StreamAnswer(Exchange& exchange) {
  AnswerHead head = std::move(exchange.m_answer_head);
  const bool is_newest = m_exchanges.back().get() == &exchange;
  if (m_closes_after_answers && is_newest) {
    head.headers.push_back({"Connection", "close"});
  }
  exchange.m_answer_state = Exchange::AnswerState::kStreaming;
  m_writer->Begin(ToText(head), head.shape);
  std::string body = std::exchange(exchange.m_answer_body, {});
  if (body.empty()) {
    return;
  }
  BodySink::WriteCallback waiting =
      std::exchange(exchange.m_waiting_write, nullptr);
  m_writer->Write(std::move(body),
                  [self = shared_from_this(),
                   waiting = std::move(waiting)](bool is_written) {
                    if (!is_written) {
                      self->OnCallerDisconnected();
                    }
                    if (waiting) {
                      waiting(is_written);
                    }
                  });
}

void CallerConnection::WriteWholeAnswer(Exchange& exchange) {
  StreamAnswer(exchange);
  m_writer->Finish([self = shared_from_this()](bool is_written) {
    self->OnAnswered(is_written);
  });
}

void CallerConnection::AdvanceFront() {
  const ExchangePtr front = m_exchanges.front();
  switch (front->m_answer_state) {
    case Exchange::AnswerState::kNone:
      PrepareFront();
      SubmitIfDue();
      return;
    case Exchange::AnswerState::kHeld:
      if (!MustBufferAnswer(*front)) {
        StreamAnswer(*front);
      }
      return;
    case Exchange::AnswerState::kComplete:
      WriteWholeAnswer(*front);
      return;
    case Exchange::AnswerState::kStreaming:
      return;
  }
}

void CallerConnection::OnAnswered(bool is_written) {
  if (!is_written) {
    OnCallerDisconnected();
    return;
  }
  if (m_is_closed) {
    return;
  }
  m_exchanges.front()->m_is_current = false;
  m_exchanges.pop_front();
  if (m_exchanges.empty() && m_closes_after_answers) {
    CloseGracefully();
    return;
  }
  if (!m_exchanges.empty()) {
    m_exchanges.front()->m_ahead_slot.Release();
    AdvanceFront();
  }
  ProcessInput();
}

void CallerConnection::OnAnswerBroken(const ExchangePtr& exchange) {
  const bool is_partly_sent =
      exchange->m_answer_state == Exchange::AnswerState::kStreaming;
  if (is_partly_sent || m_exchanges.size() == 1) {
    Abandon(exchange.get());
    return;
  }
  // No byte of the answer has been sent, so an error answer replaces it, and
  // the exchanges before and after it keep their answers.
  LogLine(LogLevel::kInfo, "caller.answer_replaced")
      .Add("request_id", exchange->m_head.request_id);
  exchange->DropAnswer();
  const Reason reason = Reason::kTargetLost;
  exchange->Answer(m_dialect.MakeLocalAnswer(
                       LocalAnswer{Outcome::kUnknown, reason, std::nullopt,
                                   exchange->m_head.request_id}),
                   MakeOutcomeBody(Outcome::kUnknown, reason));
}

}  // namespace bulrushmount::detail

// Part of `caller_exchange.h`: replays the request body for each attempt and
// passes the answer to the caller.

#include "core/transport/callers/caller_exchange.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace bulrushmount::detail {

// --- Exchange ---------------------------------------------------------------

std::shared_ptr<BodySource> CallerConnection::Exchange::OpenBody() {
  // An ended attempt may still have the prefix in transit. When its sink
  // accepts that late, it would read on and take the next bytes of the body.
  if (const auto earlier = m_replay.lock()) {
    earlier->Revoke();
  }
  if (m_is_rest_consumed) {
    return nullptr;
  }
  auto replay = std::make_shared<BodyReplay>(shared_from_this());
  m_replay = replay;
  return replay;
}

void CallerConnection::Exchange::Answer(AnswerHead head, std::string body) {
  if (!m_is_current) {
    return;
  }
  if (m_head.method == "HEAD") {
    head.headers.push_back({"Content-Length", std::to_string(body.size())});
    body.clear();
  } else {
    head.shape = {BodyFraming::kLength, body.size()};
  }
  const auto sink =
      m_connection->BeginAnswer(shared_from_this(), std::move(head));
  if (!body.empty()) {
    sink->Write(std::move(body), [](bool) {});
  }
  sink->Finish([](bool) {});
}

std::shared_ptr<BodySink> CallerConnection::Exchange::BeginAnswer(
    AnswerHead head) {
  if (!m_is_current) {
    return nullptr;
  }
  return m_connection->BeginAnswer(shared_from_this(), std::move(head));
}

void CallerConnection::Exchange::Break() {
  if (m_is_current) {
    m_connection->OnAnswerBroken(shared_from_this());
  }
}

void CallerConnection::Exchange::DropAnswer() {
  m_answer_state = AnswerState::kNone;
  m_answer_head = AnswerHead();
  m_answer_body.clear();
  m_waiting_write = nullptr;
}

// --- BodyReplay -------------------------------------------------------------

void CallerConnection::BodyReplay::Read(ReadCallback callback) {
  if (!m_is_prefix_read) {
    m_is_prefix_read = true;
    if (!m_exchange->m_prefix.empty()) {
      callback({BodyStatus::kChunk, m_exchange->m_prefix});
      return;
    }
  }
  if (m_exchange->m_is_complete) {
    callback({BodyStatus::kEnd, {}});
    return;
  }
  if (!m_exchange->m_is_current || m_is_revoked) {
    callback({BodyStatus::kError, {}});
    return;
  }
  m_exchange->m_is_rest_consumed = true;
  m_callback = std::move(callback);
  m_exchange->m_reader->Read([self = shared_from_this()](BodyRead read) {
    self->OnRest(std::move(read));
  });
}

void CallerConnection::BodyReplay::OnRest(BodyRead read) {
  const auto connection = m_exchange->m_connection;
  const BodyStatus status = read.status;
  if (ReadCallback callback = std::exchange(m_callback, nullptr)) {
    callback(std::move(read));
  }
  if (!m_exchange->m_is_current) {
    return;
  }
  if (status == BodyStatus::kError) {
    connection->OnCallerDisconnected();
    return;
  }
  connection->ProcessInput();
}

// --- AnswerSink -------------------------------------------------------------

void CallerConnection::AnswerSink::Write(std::string chunk,
                                         WriteCallback callback) {
  if (!m_exchange->m_is_current) {
    Post(std::move(callback), false);
    return;
  }
  if (m_exchange->m_answer_state == Exchange::AnswerState::kHeld) {
    Hold(chunk, std::move(callback));
    return;
  }
  m_connection->m_writer->Write(
      std::move(chunk), [connection = m_connection,
                         callback = std::move(callback)](bool is_written) {
        if (!is_written) {
          connection->OnCallerDisconnected();
        }
        callback(is_written);
      });
}

void CallerConnection::AnswerSink::Hold(const std::string& chunk,
                                        WriteCallback callback) {
  m_exchange->m_answer_body += chunk;
  if (m_exchange->m_answer_body.size() <= kMaxHeldAnswerBytes) {
    Post(std::move(callback), true);
    return;
  }
  m_exchange->m_waiting_write = std::move(callback);
}

void CallerConnection::AnswerSink::Finish(WriteCallback callback) {
  if (!m_exchange->m_is_current) {
    Post(std::move(callback), false);
    return;
  }
  if (m_exchange->m_answer_state == Exchange::AnswerState::kHeld) {
    FinishHeld(std::move(callback));
    return;
  }
  m_connection->m_writer->Finish(
      [connection = m_connection,
       callback = std::move(callback)](bool is_written) {
        // The callback comes first, because OnAnswered may start the next
        // exchange.
        callback(is_written);
        connection->OnAnswered(is_written);
      });
}

// The answer is complete, so its call has ended; only the transfer to the
// caller remains.
void CallerConnection::AnswerSink::FinishHeld(WriteCallback callback) {
  const BodyShape& shape = m_exchange->m_answer_head.shape;
  const bool is_short = shape.framing != BodyFraming::kChunked &&
                        m_exchange->m_answer_body.size() != shape.length;
  if (is_short) {
    Post(std::move(callback), false);
    m_connection->OnAnswerBroken(m_exchange);
    return;
  }
  m_exchange->m_answer_state = Exchange::AnswerState::kComplete;
  Post(std::move(callback), true);
  m_connection->AdvanceFront();
}

void CallerConnection::AnswerSink::Abort() {
  if (m_exchange->m_is_current) {
    m_connection->OnAnswerBroken(m_exchange);
  }
}

void CallerConnection::AnswerSink::Post(WriteCallback callback,
                                        bool is_written) {
  boost::asio::post(
      m_connection->m_socket->get_executor(),
      [callback = std::move(callback), is_written] { callback(is_written); });
}

}  // namespace bulrushmount::detail

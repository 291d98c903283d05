// One exchange on a caller's connection, with the source of its request's body
// and the sink of its answer's.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "core/transport/callers/caller_connection.h"

namespace bulrushmount::detail {

// An answer that waits for its turn keeps this much; its source then waits for
// room. Most answers fit, and one that is started ahead then holds its target's
// slot no longer than in its turn. One chunk may come on top.
inline constexpr std::size_t kHeldAnswer = 16384;

class CallerConnection::Exchange
    : public CallerExchange,
      public std::enable_shared_from_this<Exchange> {
 public:
  explicit Exchange(std::shared_ptr<CallerConnection> connection)
      : m_connection(std::move(connection)) {}

  const CallHead& head() const override { return m_head; }
  const HeaderList& headers() const override { return m_headers; }
  const BodyShape& shape() const override { return m_shape; }
  std::shared_ptr<BodySource> OpenBody() override;
  void Answer(AnswerHead head, std::string body) override;
  std::shared_ptr<BodySink> BeginAnswer(AnswerHead head) override;
  void Break() override;

 private:
  friend class CallerConnection;

  enum class AnswerState : std::uint8_t {
    kNone,
    // Begun; all of it is kept here, and no byte is with the writer.
    kHeld,
    // As kHeld, and it is whole.
    kWhole,
    // Its head, and what came of its body, went to the writer.
    kStreaming,
  };

  // Bytes of the request are still with the caller or in the socket.
  bool HasUnreadBody() const { return m_reader && !m_reader->is_done(); }
  void DropAnswer();

  // The connection lets go of the exchange when it ends, which undoes the
  // cycle.
  std::shared_ptr<CallerConnection> m_connection;
  // Null for a request that is refused before its head is understood.
  std::shared_ptr<Http1Reader<true>> m_reader;
  CallHead m_head;
  HeaderList m_headers;
  BodyShape m_shape;
  // The start of the body: at least the buffered bytes or the whole of it,
  // and at most one read more.
  std::string m_prefix;
  // m_prefix is the whole body.
  bool m_is_complete = false;
  // m_prefix has all that is to be read before the call is handed in.
  bool m_is_prefix_read = false;
  // Bytes after m_prefix went to an attempt.
  bool m_is_rest_taken = false;
  bool m_expects_continue = false;
  bool m_is_handed_in = false;
  // The connection has it among its exchanges.
  bool m_is_current = true;
  // Held while the exchange counts as started ahead.
  ReadAheadBudget::Slot m_ahead_slot;

  AnswerState m_answer_state = AnswerState::kNone;
  // While the answer is held: its head and what came of its body.
  AnswerHead m_answer_head;
  std::string m_answer_body;
  // While the answer is held: the write that has filled the room, if one has.
  BodySink::WriteCallback m_waiting_write;
};

// Gives an attempt the body from its start.
class CallerConnection::BodyReplay
    : public BodySource,
      public std::enable_shared_from_this<BodyReplay> {
 public:
  explicit BodyReplay(std::shared_ptr<Exchange> exchange)
      : m_exchange(std::move(exchange)) {}

  void Read(ReadCallback callback) override;
  // The connection goes on: the call may still get an answer.
  void Abort() override { m_callback = nullptr; }

 private:
  void OnRest(BodyRead read);

  std::shared_ptr<Exchange> m_exchange;
  bool m_is_prefix_read = false;
  ReadCallback m_callback;
};

// The answer's body: to the writer, or kept in the exchange until its turn.
class CallerConnection::AnswerSink : public BodySink {
 public:
  AnswerSink(std::shared_ptr<CallerConnection> connection, ExchangePtr exchange)
      : m_connection(std::move(connection)), m_exchange(std::move(exchange)) {}

  void Write(std::string chunk, WriteCallback callback) override;
  void Finish(WriteCallback callback) override;
  void Abort() override;

 private:
  void Hold(const std::string& chunk, WriteCallback callback);
  void FinishHeld(WriteCallback callback);
  // As if the answer had gone to a writer that calls back later.
  void Post(WriteCallback callback, bool is_written);

  std::shared_ptr<CallerConnection> m_connection;
  ExchangePtr m_exchange;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_

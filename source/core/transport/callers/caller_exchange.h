// One request and its answer on a caller's connection, with the source of the
// request body and the sink of the answer body.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "core/transport/callers/caller_connection.h"

namespace bulrushmount::detail {

// How much of an answer is buffered while earlier answers are pending; after
// that its source is not read. Most answers fit, so a request that runs ahead
// of its turn occupies its target's slot no longer than otherwise. May be
// exceeded by one chunk.
inline constexpr std::size_t kMaxHeldAnswerBytes = 16384;

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
    // Started; buffered here, no byte passed to the writer.
    kHeld,
    // Like kHeld, and complete.
    kComplete,
    // Its head and the available part of its body went to the writer.
    kStreaming,
  };

  // Whether a part of the request body has not been read from the socket.
  bool HasUnreadBody() const { return m_reader && !m_reader->is_done(); }
  void DropAnswer();

  // A reference cycle, which the connection breaks by releasing the exchange
  // when it ends.
  std::shared_ptr<CallerConnection> m_connection;
  // Null for a request that is rejected before its head is parsed.
  std::shared_ptr<Http1Reader<true>> m_reader;
  CallHead m_head;
  HeaderList m_headers;
  BodyShape m_shape;
  // The start of the body: the whole body, or at least the configured number of
  // buffered bytes and at most one read more.
  std::string m_prefix;
  // m_prefix is the whole body.
  bool m_is_complete = false;
  // m_prefix holds everything that must be read before submission.
  bool m_is_prefix_read = false;
  // The body of the newest attempt, the only one that may read after m_prefix.
  std::weak_ptr<BodyReplay> m_replay;
  // An attempt has read bytes after m_prefix.
  bool m_is_rest_consumed = false;
  bool m_expects_continue = false;
  bool m_is_submitted = false;
  // The exchange is still in the connection's m_exchanges.
  bool m_is_current = true;
  // Held while the exchange runs ahead of its turn.
  ReadAheadBudget::Slot m_ahead_slot;

  AnswerState m_answer_state = AnswerState::kNone;
  // While the answer is held: its head and the part of its body received so
  // far.
  AnswerHead m_answer_head;
  std::string m_answer_body;
  // While the answer is held: the callback of the write that exceeded the
  // buffer limit, if any.
  BodySink::WriteCallback m_waiting_write;
};

// Reads a request body from its start, for one attempt. The part after the
// prefix is read from the connection and exists only once, so it belongs to the
// newest attempt.
class CallerConnection::BodyReplay
    : public BodySource,
      public std::enable_shared_from_this<BodyReplay> {
 public:
  explicit BodyReplay(std::shared_ptr<Exchange> exchange)
      : m_exchange(std::move(exchange)) {}

  void Read(ReadCallback callback) override;
  // Leaves the connection open, since the call may still get an answer.
  void Abort() override { m_callback = nullptr; }
  // Another attempt has taken over: the next read fails.
  void Revoke() { m_is_revoked = true; }

 private:
  void OnRest(BodyRead read);

  std::shared_ptr<Exchange> m_exchange;
  bool m_is_prefix_read = false;
  bool m_is_revoked = false;
  ReadCallback m_callback;
};

// Passes the answer body to the writer, or buffers it in the exchange while
// earlier answers are pending.
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
  // Calls back asynchronously, as the writer does.
  void Post(WriteCallback callback, bool is_written);

  std::shared_ptr<CallerConnection> m_connection;
  ExchangePtr m_exchange;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_EXCHANGE_H_

// One caller's HTTP/1.1 connection. Requests are read and answered in order
// (pipelining). Repeatable requests are submitted, up to a limit, while earlier
// ones are still unanswered.
//
// Load pattern: callers send several requests at once on a connection. If they
// were run one after another, each would wait for all before it although
// targets are free: with 90 ms a request and an objective of 300 ms, the fourth
// request is late even on an idle fleet. At a light load of such callers,
// sequential execution earned 0.83 of the credit for timely answers, concurrent
// execution 0.99.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_CONNECTION_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_CONNECTION_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/transport/callers/caller_server.h"
#include "core/transport/http1_reader.h"
#include "core/transport/http1_writer.h"

namespace bulrushmount::detail {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallAcceptor& acceptor,
                   RandomSource& random,
                   std::shared_ptr<const CallerLimits> limits,
                   const CallerDialect& dialect,
                   std::shared_ptr<ReadAheadBudget> read_ahead);

  void Start();

  // Answers that the node has too many connections, and closes.
  void StartRefused();

  // Reads no further request while one is unanswered, and closes after the
  // pending answers; an idle connection closes after its next answer. Requests
  // received after the last answered one are not run; the caller has to send
  // them again.
  void Drain();
  void Close();
  bool is_idle() const { return m_exchanges.empty() && m_writer->is_idle(); }

 private:
  class Exchange;
  class AnswerSink;
  class BodyReplay;
  using ExchangePtr = std::shared_ptr<Exchange>;

  // --- Reading requests ---
  // Processes the buffered requests as far as the limits allow, then waits for
  // more bytes.
  void ProcessInput();
  bool MayReadNextRequest() const;
  // Processes one buffered request head. Returns false if the head is
  // incomplete, true if it was processed or rejected.
  bool ProcessHead();
  // Waits for bytes or for the end of the input, which is the only indication
  // that a caller has disconnected while it waits for an answer.
  void AwaitInput();
  void OnReadable(const boost::system::error_code& error);
  void OnCallerEnded(const boost::system::error_code& error);
  void BeginExchange(std::string_view text);
  // Fills in the exchange from the parsed head. Returns kNone if the request
  // can be submitted.
  Reason ReadRequest(Exchange& exchange);
  void PrepareFront();
  void ReadPrefix(const ExchangePtr& exchange);
  void OnPrefix(const ExchangePtr& exchange, const BodyRead& read);
  // Submits the newest exchange if it is ready and either is the oldest one or
  // may run ahead of its turn.
  void SubmitIfDue();
  void SubmitCall(const ExchangePtr& exchange);

  // --- Answering ---
  bool IsFront(const Exchange& exchange) const;
  // Whether the answer is buffered completely before its first byte is sent,
  // although it is the next one to send.
  bool MustBufferAnswer(const Exchange& exchange) const;
  std::shared_ptr<BodySink> BeginAnswer(const ExchangePtr& exchange,
                                        AnswerHead head);
  void StreamAnswer(Exchange& exchange);
  void WriteWholeAnswer(Exchange& exchange);
  // Sends what is available of the oldest exchange's answer.
  void AdvanceFront();
  // Called when the oldest exchange's answer has been written to the socket.
  void OnAnswered(bool is_written);
  // Called when the answer cannot be completed.
  void OnAnswerBroken(const ExchangePtr& exchange);

  // --- Ending ---
  void Refuse(Reason reason);
  void OnCallerDisconnected();
  // Drops all exchanges and resets the connection. Reports a disconnected
  // caller for each submitted exchange except `broken`.
  void Abandon(const Exchange* broken);
  void CloseGracefully();
  void Linger();
  // Limits the time until the next request, unless one is in progress.
  void StartIdleTimeout();
  // Closes the connection after `time`, unless this or CancelTimeout is called
  // before.
  void StartTimeout(Duration time);
  void CancelTimeout();

  std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
  std::shared_ptr<boost::beast::flat_buffer> m_buffer;
  std::shared_ptr<Http1Writer> m_writer;
  CallAcceptor& m_acceptor;
  RandomSource& m_random;
  std::shared_ptr<const CallerLimits> m_limits;
  const CallerDialect& m_dialect;
  std::shared_ptr<ReadAheadBudget> m_read_ahead;
  boost::asio::steady_timer m_timer;

  // The offset at which the search for the end of the head continues.
  std::size_t m_head_search_offset = 0;
  // A byte of the next request, or of an empty line before it, has arrived.
  bool m_has_head_started = false;
  // The timeout for the caller's next request is running.
  bool m_is_idle_timeout_running = false;
  // Accepted or rejected requests whose answer is not complete, oldest first.
  // Only the newest may have an unread body or be waiting for submission.
  std::deque<ExchangePtr> m_exchanges;
  // A wait for input is pending.
  bool m_is_awaiting_input = false;
  // No further request is read while one is unanswered, and the connection
  // closes after the pending answers.
  bool m_closes_after_answers = false;
  // The caller has closed its sending side.
  bool m_has_caller_ended = false;
  // All answers are sent; further input is discarded until the caller closes.
  bool m_is_lingering = false;
  bool m_is_closed = false;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLERS_CALLER_CONNECTION_H_

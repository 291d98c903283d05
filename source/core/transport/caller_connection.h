// One caller's connection: exchanges on it follow one another, each read only
// when the last one has ended, so pipelined requests wait in the socket.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_CALLER_CONNECTION_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_CALLER_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/transport/caller_server.h"
#include "core/transport/http1_reader.h"
#include "core/transport/http1_writer.h"

namespace bulrushmount::detail {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallAcceptor& acceptor,
                   RandomSource& random,
                   std::shared_ptr<const CallerLimits> limits,
                   const CallerDialect& dialect);

  void Start();

  // Tells the caller that the node has too many connections, and closes.
  void StartRefused();

  // Closes when no exchange is in progress; else after the answer.
  void Drain();
  void Close();
  bool is_idle() const { return !m_exchange && m_writer->is_idle(); }

 private:
  class Exchange;
  class AnswerSink;
  class BodyReplay;

  // --- Reading a request ---
  void ReadHead();
  void OnHeadBytes(const boost::system::error_code& error, std::size_t size);
  // True when a whole head or a fault was found.
  bool TakeHead();
  void BeginExchange(std::string_view text);
  void SendContinue();
  void ReadPrefix();
  void OnPrefix(const BodyRead& read);
  void HandIn();

  // --- While it is answered ---
  // The only sign that a caller has gone while it waits is the end of what it
  // sends; without this its work would go on for nobody.
  void WatchCaller();
  void OnReadable(const boost::system::error_code& error);
  void OnCallerGone();

  // --- Ending ---
  void Refuse(Reason reason);
  std::shared_ptr<BodySink> BeginAnswer(AnswerHead head);
  void OnAnswered(bool is_written);
  void Break();
  void CloseSoftly();
  void Linger();
  // Closes the connection after `time`, unless this or Unlimit is called.
  void Limit(Duration time);
  void Unlimit();

  std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
  std::shared_ptr<boost::beast::flat_buffer> m_buffer;
  std::shared_ptr<Http1Writer> m_writer;
  CallAcceptor& m_acceptor;
  RandomSource& m_random;
  std::shared_ptr<const CallerLimits> m_limits;
  const CallerDialect& m_dialect;
  boost::asio::steady_timer m_timer;

  // Where the search for the end of the head goes on.
  std::size_t m_searched = 0;
  // A byte of the next request, or an empty line before it, is here.
  bool m_is_head_begun = false;
  // Set from a sound head to the end of the answer.
  std::shared_ptr<Exchange> m_exchange;
  // Of the exchange in progress.
  std::shared_ptr<Http1Reader<true>> m_reader;
  bool m_is_watching = false;
  // The head of the answer was handed to the writer.
  bool m_is_answer_begun = false;
  // No further exchange after this one.
  bool m_is_last = false;
  bool m_is_closed = false;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_CALLER_CONNECTION_H_

// Writes one HTTP/1.1 message at a time to a connection: the body sink of
// answers to callers and of requests to targets.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_WRITER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_WRITER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

// Closes with a TCP reset, which tells the peer at once that the message it
// received is incomplete.
void ResetSocket(boost::asio::ip::tcp::socket& socket);

class Http1Writer : public BodySink,
                    public std::enable_shared_from_this<Http1Writer> {
 public:
  explicit Http1Writer(std::shared_ptr<boost::asio::ip::tcp::socket> socket)
      : m_socket(std::move(socket)) {}

  // Starts a message. The head is sent together with the first bytes of the
  // body if these are written in the same iteration of the event loop.
  void Begin(std::string_view head, BodyShape shape);

  void Write(std::string chunk, WriteCallback callback) override;

  // Resets the connection if the body is shorter than its declared length;
  // Write does so if it is longer.
  void Finish(WriteCallback callback) override;

  void Abort() override;

  // Whether any byte has been passed to the socket since construction.
  bool has_sent() const { return m_has_sent; }

  // Whether the current message has a declared length and its whole body has
  // been passed to Write.
  bool is_length_reached() const {
    return m_shape.framing != BodyFraming::kChunked &&
           m_body_bytes == m_shape.length;
  }

  // Whether a write failed because the connection was reset or timed out before
  // the peer closed it. The kernel reports that error only once, so a later
  // read returns an ordinary end of input.
  bool is_connection_lost() const { return m_is_connection_lost; }

  // Whether the socket has accepted all bytes.
  bool is_idle() const { return !m_is_writing && m_pending.empty(); }

 private:
  struct WriteOperation;

  void Flush();
  void OnWritten(const boost::system::error_code& error,
                 const std::vector<WriteCallback>& done);
  void CallBack(std::vector<WriteCallback> callbacks, bool is_written);

  std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
  BodyShape m_shape;
  std::uint64_t m_body_bytes = 0;
  // Collects bytes while m_sending is being written. Bounded by the head and
  // one chunk, since a sink allows one outstanding write.
  std::string m_pending;
  std::string m_sending;
  std::vector<WriteCallback> m_pending_callbacks;
  bool m_is_writing = false;
  bool m_has_sent = false;
  bool m_has_failed = false;
  bool m_is_connection_lost = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_WRITER_H_

// Part of `http1_writer.h`.

#include "core/transport/http1_writer.h"

#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace bulrushmount {

namespace asio = boost::asio;

void ResetSocket(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// One write to the socket. Callbacks own the connection, which owns the writer,
// so callbacks stored in the writer would form a reference cycle that leaks if
// the event loop ends during the write. The callbacks of this write are
// therefore stored here, and the destructor drops those that wait for it.
struct Http1Writer::WriteOperation {
  explicit WriteOperation(std::shared_ptr<Http1Writer> of)
      : writer(std::move(of)) {}
  ~WriteOperation() {
    if (writer) {
      const std::vector<WriteCallback> dropped =
          std::exchange(writer->m_pending_callbacks, {});
    }
  }

  WriteOperation(const WriteOperation&) = delete;
  WriteOperation& operator=(const WriteOperation&) = delete;

  // Null after the write has completed.
  std::shared_ptr<Http1Writer> writer;
  std::vector<WriteCallback> callbacks;
};

void Http1Writer::Begin(std::string_view head, BodyShape shape) {
  m_shape = shape;
  m_body_bytes = 0;
  m_pending += head;
  asio::post(m_socket->get_executor(),
             [self = shared_from_this()] { self->Flush(); });
}

void Http1Writer::Write(std::string chunk, WriteCallback callback) {
  m_body_bytes += chunk.size();
  if (m_shape.framing == BodyFraming::kChunked) {
    fmt::format_to(std::back_inserter(m_pending), "{:x}\r\n", chunk.size());
    m_pending += chunk;
    m_pending += "\r\n";
  } else if (m_pending.empty()) {
    m_pending = std::move(chunk);
  } else {
    m_pending += chunk;
  }
  const bool is_too_long =
      m_shape.framing != BodyFraming::kChunked && m_body_bytes > m_shape.length;
  if (is_too_long) {
    Abort();
  }
  m_pending_callbacks.push_back(std::move(callback));
  Flush();
}

void Http1Writer::Finish(WriteCallback callback) {
  if (m_shape.framing == BodyFraming::kChunked) {
    m_pending += "0\r\n\r\n";
  } else if (m_body_bytes != m_shape.length) {
    Abort();
  }
  m_pending_callbacks.push_back(std::move(callback));
  Flush();
}

void Http1Writer::Abort() {
  m_has_failed = true;
  ResetSocket(*m_socket);
}

void Http1Writer::Flush() {
  if (m_is_writing) {
    return;
  }
  if (m_has_failed || m_pending.empty()) {
    m_pending.clear();
    CallBack(std::exchange(m_pending_callbacks, {}), !m_has_failed);
    return;
  }
  m_is_writing = true;
  m_has_sent = true;
  m_sending.clear();
  std::swap(m_sending, m_pending);
  const auto operation = std::make_shared<WriteOperation>(shared_from_this());
  std::swap(operation->callbacks, m_pending_callbacks);
  asio::async_write(
      *m_socket, asio::buffer(m_sending),
      [operation](const boost::system::error_code& error, std::size_t) {
        const auto writer = std::exchange(operation->writer, nullptr);
        writer->OnWritten(error, std::exchange(operation->callbacks, {}));
      });
}

void Http1Writer::OnWritten(const boost::system::error_code& error,
                            const std::vector<WriteCallback>& done) {
  m_is_writing = false;
  m_has_failed = m_has_failed || error;
  // EPIPE: the peer closed the connection before it reset it.
  m_is_connection_lost = error && error != asio::error::broken_pipe;
  for (const WriteCallback& callback : done) {
    callback(!m_has_failed);
  }
  if (!m_pending.empty() || !m_pending_callbacks.empty()) {
    Flush();
  }
}

void Http1Writer::CallBack(std::vector<WriteCallback> callbacks,
                           bool is_written) {
  if (callbacks.empty()) {
    return;
  }
  asio::post(m_socket->get_executor(),
             [callbacks = std::move(callbacks), is_written] {
               for (const WriteCallback& callback : callbacks) {
                 callback(is_written);
               }
             });
}

}  // namespace bulrushmount

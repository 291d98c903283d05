// Reads the body of one HTTP/1.1 message from a connection: the body source of
// callers' requests and of targets' answers.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_READER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_READER_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "core/transport/body_stream.h"

namespace bulrushmount {

template <bool IsRequest>
class Http1Reader
    : public BodySource,
      public std::enable_shared_from_this<Http1Reader<IsRequest>> {
 public:
  using Parser =
      boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;

  // `buffer` belongs to the connection, holds the bytes read past the previous
  // message, and lives as long as `socket`.
  Http1Reader(std::shared_ptr<boost::asio::ip::tcp::socket> socket,
              std::shared_ptr<boost::beast::flat_buffer> buffer)
      : m_socket(std::move(socket)), m_buffer(std::move(buffer)) {
    m_parser.body_limit(boost::none);
  }

  Parser& parser() { return m_parser; }

  // Whether the message has been read to its end.
  bool is_done() { return m_parser.is_done(); }

  // Fails if another read is in progress: the bytes of both would go to one
  // callback, and the read that stays behind would pass the bytes of the next
  // message to a parser that is done.
  void Read(ReadCallback callback) override {
    if (m_is_reading) {
      callback({BodyStatus::kError, {}});
      return;
    }
    if (m_parser.is_done()) {
      callback({BodyStatus::kEnd, {}});
      return;
    }
    m_callback = std::move(callback);
    ReadSome();
  }

  void Abort() override { m_callback = nullptr; }

 private:
  // Limited to the rest of the message: resize() zero-fills the buffer before
  // each read, and most bodies are far smaller than a full read.
  std::size_t NextReadSize() const {
    const auto left = m_parser.content_length_remaining();
    if (!left || *left >= kMaxReadBytes) {
      return kMaxReadBytes;
    }
    return std::max<std::size_t>(1, static_cast<std::size_t>(*left));
  }

  void ReadSome() {
    m_is_reading = true;
    m_chunk.resize(NextReadSize());
    m_parser.get().body().data = m_chunk.data();
    m_parser.get().body().size = m_chunk.size();
    boost::beast::http::async_read_some(
        *m_socket, *m_buffer, m_parser,
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t) {
          self->OnRead(error);
        });
  }

  void OnRead(boost::system::error_code error) {
    m_is_reading = false;
    if (error == boost::beast::http::error::need_buffer) {
      error = {};
    }
    if (!m_callback) {
      return;
    }
    m_chunk.resize(m_chunk.size() - m_parser.get().body().size);
    if (error) {
      Deliver({BodyStatus::kError, {}});
      return;
    }
    if (!m_chunk.empty()) {
      Deliver({BodyStatus::kChunk, std::move(m_chunk)});
      return;
    }
    if (m_parser.is_done()) {
      Deliver({BodyStatus::kEnd, {}});
      return;
    }
    ReadSome();
  }

  void Deliver(BodyRead read) {
    ReadCallback callback = std::exchange(m_callback, nullptr);
    callback(std::move(read));
  }

  std::shared_ptr<boost::asio::ip::tcp::socket> m_socket;
  std::shared_ptr<boost::beast::flat_buffer> m_buffer;
  Parser m_parser;
  // The bytes of the read in progress.
  std::string m_chunk;
  // Set while a read is in progress and not aborted.
  ReadCallback m_callback;
  // Also after an abort, until the socket has completed the read.
  bool m_is_reading = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_READER_H_

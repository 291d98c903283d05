// Part of `http2_stream.h`.

#include "core/transport/peers/http2_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/transport/peers/http2_session.h"

namespace bulrushmount {

void Http2Stream::Read(ReadCallback callback) {
  m_read = std::move(callback);
  const std::size_t done = std::exchange(m_unconsumed, 0);
  const std::shared_ptr<Http2Session> session = m_session.lock();
  const bool is_usable = session && !m_is_closed;
  if (is_usable && !std::exchange(m_is_window_open, true)) {
    session->OpenWindow(m_id);
  }
  if (done > 0 && is_usable) {
    session->Consume(m_id, done);
  }
  Deliver();
}

void Http2Stream::Write(std::string chunk, WriteCallback callback) {
  const std::shared_ptr<Http2Session> session = m_session.lock();
  if (m_is_closed || !session) {
    Post(std::move(callback), false);
    return;
  }
  m_output = std::move(chunk);
  m_output_sent = 0;
  m_written = std::move(callback);
  session->Resume(m_id);
}

void Http2Stream::Finish(WriteCallback callback) {
  const std::shared_ptr<Http2Session> session = m_session.lock();
  if (m_is_closed || !session) {
    Post(std::move(callback), false);
    return;
  }
  m_is_output_ended = true;
  m_written = std::move(callback);
  session->Resume(m_id);
}

void Http2Stream::Abort() {
  m_read = nullptr;
  const std::shared_ptr<Http2Session> session = m_session.lock();
  if (!m_is_closed && session) {
    session->Reset(m_id, NGHTTP2_CANCEL);
  }
}

bool Http2Stream::AddField(std::string_view name, std::string_view value) {
  m_field_bytes += name.size() + value.size();
  ++m_field_count;
  // Counted over the whole stream, because a peer may also send any number of
  // trailers.
  if (m_field_bytes > kMaxStreamHeadBytes || m_field_count > kMaxStreamFields) {
    m_fields = {};
    return false;
  }
  m_fields.push_back({std::string(name), std::string(value)});
  return true;
}

void Http2Stream::OnData(std::string_view data) {
  m_input.append(data);
  Deliver();
}

void Http2Stream::OnInputEnd() {
  m_is_input_ended = true;
  Deliver();
}

void Http2Stream::OnClose(std::uint32_t error_code) {
  m_is_closed = true;
  WriteCallback written = std::exchange(m_written, nullptr);
  Deliver();
  if (m_listener) {
    m_listener->OnClosed(error_code);
  }
  if (written) {
    Post(std::move(written), false);
  }
}

void Http2Stream::Deliver() {
  if (!m_read) {
    return;
  }
  // A reset discards data received before it, since the answer is incomplete
  // either way.
  if (m_is_closed && !m_is_input_ended) {
    std::exchange(m_read, nullptr)({BodyStatus::kError, {}});
    return;
  }
  if (!m_input.empty()) {
    m_unconsumed = m_input.size();
    std::exchange(m_read,
                  nullptr)({BodyStatus::kChunk, std::exchange(m_input, {})});
    return;
  }
  if (m_is_input_ended) {
    std::exchange(m_read, nullptr)({BodyStatus::kEnd, {}});
  }
}

void Http2Stream::Post(WriteCallback callback, bool is_written) {
  const std::shared_ptr<Http2Session> session = m_session.lock();
  if (!session) {
    return;
  }
  boost::asio::post(
      session->executor(),
      [callback = std::move(callback), is_written] { callback(is_written); });
}

nghttp2_data_provider Http2Stream::DataProvider(Http2Stream& stream) {
  nghttp2_data_provider provider{};
  provider.source.ptr = &stream;
  provider.read_callback = &Http2Stream::FillData;
  return provider;
}

ssize_t Http2Stream::FillData(nghttp2_session*,
                              std::int32_t,
                              std::uint8_t* to,
                              std::size_t length,
                              std::uint32_t* flags,
                              nghttp2_data_source* source,
                              void*) {
  auto* const stream = static_cast<Http2Stream*>(source->ptr);
  const std::size_t left = stream->m_output.size() - stream->m_output_sent;
  if (left == 0 && !stream->m_is_output_ended) {
    return NGHTTP2_ERR_DEFERRED;
  }
  const std::size_t size = std::min(left, length);
  std::memcpy(to, stream->m_output.data() + stream->m_output_sent, size);
  stream->m_output_sent += size;
  if (size < left) {
    return static_cast<ssize_t>(size);
  }
  stream->m_output.clear();
  stream->m_output_sent = 0;
  if (stream->m_is_output_ended) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  WriteCallback written = std::exchange(stream->m_written, nullptr);
  if (written) {
    stream->Post(std::move(written), true);
  }
  return static_cast<ssize_t>(size);
}

}  // namespace bulrushmount

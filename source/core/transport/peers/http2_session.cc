// Part of `http2_session.h`.

#include "core/transport/peers/http2_session.h"

#include <chrono>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace bulrushmount {

namespace {

namespace asio = boost::asio;

constexpr std::uint32_t kMaxStreams = 4096;

constexpr std::size_t kFrameHeadBytes = 9;

// All streams share the connection's flow-control window. It is so large that
// only the windows of the streams limit them, since otherwise one slow reader
// would block the other streams.
constexpr std::int32_t kConnectionWindow = 1 << 30;
constexpr std::int32_t kStreamWindow = 65535;

// Initial window of request bodies. Many requests are refused by the first
// owners that are tried. Their bodies are sent only to the owner that accepts
// the request, which opens the window at its first read; this costs the
// accepted request one round trip.
constexpr std::int32_t kRequestBodyWindow = 0;

// nghttp2's default limit of 64 KB applies to the worst-case encoded size,
// which would reject a head of many short fields that the peer accepts.
constexpr std::size_t kMaxSentHeadBytes = 524'288;

// Resets of streams a second, and at once. Each request whose caller leaves
// ends in one; beyond nghttp2's default limit of 33 a second the session would
// end with all requests on it.
constexpr std::uint64_t kMaxResets = 1'000'000;

// Approximate size of one write to the socket.
constexpr std::size_t kSendBatchBytes = 65536;

// A peer that is suspended, disconnected or powered off leaves its TCP
// connection open and can only be detected by missing input. A PING is sent
// after kPingTicks ticks without input. After kSilentTicks the streams are
// notified, so that their calls can still be served in time by other nodes.
// After kDeadTicks the session is closed. A PING normally takes a few
// milliseconds, and up to 100 ms if the peer has used up its CPU quota.
constexpr auto kTickInterval = std::chrono::milliseconds(150);
constexpr int kPingTicks = 2;
constexpr int kSilentTicks = 4;
constexpr int kDeadTicks = 27;

// A session without streams does not need to detect silence, so it wakes up
// less often.
constexpr auto kIdleTickInterval = std::chrono::milliseconds(500);

// A session without streams sends no PINGs, whose traffic would grow with the
// number of node pairs, and is closed after a while, since its peer may be
// dead. The client closes it first; the server does so only if the client's
// close never arrives.
constexpr int kClientIdleTicks = 60;
constexpr int kServerIdleTicks = 4 * kClientIdleTicks;

std::string_view View(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace

Http2Session::Http2Session(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket)), m_tick_timer(m_socket.get_executor()) {}

Http2Session::~Http2Session() {
  nghttp2_session_del(m_session);
}

nghttp2_session_callbacks* Http2Session::MakeCallbacks() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks,
                                                           &OnBeforeSend);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &OnFrameSent);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &OnDataChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  return callbacks;
}

void Http2Session::Open(Side side) {
  m_side = side;
  boost::system::error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  // Both ends are nodes, and heads are validated where they enter the fleet.
  // With its checks enabled, nghttp2 would reset a stream for a field that it
  // rejects, and the caller would get the outcome "unknown" for a reset.
  nghttp2_option_set_no_http_messaging(option, 1);
  nghttp2_option_set_max_send_header_block_length(option, kMaxSentHeadBytes);
  nghttp2_option_set_stream_reset_rate_limit(option, kMaxResets, kMaxResets);
  nghttp2_session_callbacks* const callbacks = MakeCallbacks();
  if (side == Side::kClient) {
    nghttp2_session_client_new2(&m_session, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&m_session, callbacks, this, option);
  }
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_option_del(option);
  const std::int32_t window =
      side == Side::kClient ? kStreamWindow : kRequestBodyWindow;
  std::vector<nghttp2_settings_entry> settings = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
       static_cast<std::uint32_t>(window)},
      {kPackedHeadsSetting, 1}};
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
  ScheduleSend();
  Receive();
  ScheduleTick();
}

void Http2Session::Close() {
  if (m_is_closed) {
    return;
  }
  m_is_closed = true;
  if (m_is_silent && m_side == Side::kClient) {
    DiscardUnsentOnClose();
  }
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_tick_timer.cancel();
  const auto streams = std::exchange(m_streams, {});
  for (const auto& [id, stream] : streams) {
    CountStream(*stream);
    stream->OnClose(NGHTTP2_INTERNAL_ERROR);
  }
  OnSessionClosed();
}

// Without this, the kernel keeps sending the socket's buffered bytes after the
// close, so that once the network recovers, a target receives requests for
// which no caller waits any more.
void Http2Session::DiscardUnsentOnClose() {
  boost::system::error_code ignored;
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

bool Http2Session::is_flushed() const {
  return m_is_closed ||
         (!m_is_sending && !m_is_send_scheduled &&
          (m_session == nullptr || !nghttp2_session_want_write(m_session)));
}

void Http2Session::Register(std::shared_ptr<Http2Stream> stream) {
  const std::int32_t id = stream->id();
  m_streams.insert_or_assign(id, std::move(stream));
}

HeaderList Http2Session::ShortestForm(HeadKind kind, HeaderList fields) const {
  return m_reads_packed_heads ? PackHead(kind, std::move(fields)) : fields;
}

void Http2Session::OnSettings(const nghttp2_settings& settings) {
  for (std::size_t index = 0; index < settings.niv; ++index) {
    const nghttp2_settings_entry& entry = settings.iv[index];
    if (entry.settings_id == kPackedHeadsSetting) {
      m_reads_packed_heads = entry.value == 1;
    }
  }
}

std::shared_ptr<Http2Stream> Http2Session::OnPeerStream(std::int32_t) {
  return nullptr;
}

std::shared_ptr<Http2Stream> Http2Session::Find(std::int32_t stream_id) {
  const auto found = m_streams.find(stream_id);
  return found == m_streams.end() ? nullptr : found->second;
}

void Http2Session::Consume(std::int32_t stream_id, std::size_t size) {
  if (!m_is_closed && m_session) {
    nghttp2_session_consume_stream(m_session, stream_id, size);
    ScheduleSend();
  }
}

void Http2Session::OpenWindow(std::int32_t stream_id) {
  // The acknowledgement of the settings shrinks the windows of open streams, so
  // a window that was opened before it would be closed again.
  if (!m_are_settings_acknowledged) {
    m_windows_to_open.push_back(stream_id);
    return;
  }
  if (!m_is_closed && m_session) {
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE,
                                          stream_id, kStreamWindow);
    ScheduleSend();
  }
}

void Http2Session::Resume(std::int32_t stream_id) {
  if (!m_is_closed && m_session) {
    nghttp2_session_resume_data(m_session, stream_id);
    ScheduleSend();
  }
}

void Http2Session::Reset(std::int32_t stream_id, std::uint32_t error_code) {
  if (!m_is_closed && m_session) {
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream_id,
                              error_code);
    ScheduleSend();
  }
}

void Http2Session::Receive() {
  m_socket.async_read_some(
      asio::buffer(m_received),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (error) {
          self->Close();
          return;
        }
        self->OnReceived(size);
      });
}

void Http2Session::OnReceived(std::size_t size) {
  if (m_is_closed) {
    return;
  }
  m_silent_ticks = 0;
  m_is_silent = false;
  const ssize_t taken =
      nghttp2_session_mem_recv(m_session, m_received.data(), size);
  if (taken < 0) {
    Close();
    return;
  }
  if (m_is_closed) {
    return;
  }
  ScheduleSend();
  Receive();
}

void Http2Session::ScheduleSend() {
  if (m_is_send_scheduled || m_is_sending || m_is_closed) {
    return;
  }
  m_is_send_scheduled = true;
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    self->m_is_send_scheduled = false;
    self->Send();
  });
}

void Http2Session::Send() {
  if (m_is_sending || m_is_closed) {
    return;
  }
  m_sending.clear();
  while (m_sending.size() < kSendBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(m_session, &data);
    if (size < 0) {
      Close();
      return;
    }
    if (size == 0) {
      break;
    }
    m_sending.append(View(data, static_cast<std::size_t>(size)));
  }
  if (m_sending.empty()) {
    const bool is_over = !nghttp2_session_want_read(m_session) &&
                         !nghttp2_session_want_write(m_session);
    if (is_over) {
      Close();
    }
    return;
  }
  m_is_sending = true;
  asio::async_write(m_socket, asio::buffer(m_sending),
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      self->m_is_sending = false;
                      if (error) {
                        self->Close();
                        return;
                      }
                      self->Send();
                    });
}

void Http2Session::ScheduleTick() {
  const bool is_waiting = m_side == Side::kClient && !m_streams.empty();
  m_tick_timer.expires_after(is_waiting ? kTickInterval : kIdleTickInterval);
  m_tick_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const std::shared_ptr<Http2Session> self = weak.lock();
        if (!error && self && !self->m_is_closed) {
          self->OnTick();
        }
      });
}

void Http2Session::OnTick() {
  if (m_streams.empty()) {
    m_silent_ticks = 0;
    const int limit =
        m_side == Side::kClient ? kClientIdleTicks : kServerIdleTicks;
    const bool is_unusable = m_is_silent && m_side == Side::kClient;
    if (is_unusable || ++m_idle_ticks >= limit) {
      Close();
      return;
    }
    ScheduleTick();
    return;
  }
  m_idle_ticks = 0;
  ++m_silent_ticks;
  if (m_silent_ticks >= kDeadTicks) {
    Close();
    return;
  }
  if (m_silent_ticks == kPingTicks) {
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    ScheduleSend();
  }
  if (m_silent_ticks >= kSilentTicks) {
    m_is_silent = true;
    ReportSilence();
  }
  ScheduleTick();
}

void Http2Session::ReportSilence() {
  // Iterates over a copy, because a listener may end its stream.
  const auto streams = m_streams;
  for (const auto& [id, stream] : streams) {
    if (Http2Stream::Listener* const listener = stream->listener()) {
      listener->OnSilent();
    }
  }
}

int Http2Session::OnBeginHeaders(nghttp2_session*,
                                 const nghttp2_frame* frame,
                                 void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  if (frame->headers.cat != NGHTTP2_HCAT_REQUEST) {
    return 0;
  }
  const std::int32_t id = frame->hd.stream_id;
  std::shared_ptr<Http2Stream> stream = self->OnPeerStream(id);
  if (!stream) {
    nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  stream->SetId(id);
  self->Register(std::move(stream));
  return 0;
}

int Http2Session::OnHeader(nghttp2_session*,
                           const nghttp2_frame* frame,
                           const std::uint8_t* name,
                           std::size_t name_size,
                           const std::uint8_t* value,
                           std::size_t value_size,
                           std::uint8_t,
                           void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  const auto stream = self->Find(frame->hd.stream_id);
  const bool is_taken = !stream || stream->AddField(View(name, name_size),
                                                    View(value, value_size));
  // On this error nghttp2 resets the stream, and the head is not delivered.
  return is_taken ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

void Http2Session::OnSettingsAcknowledged() {
  m_are_settings_acknowledged = true;
  for (const std::int32_t stream_id : std::exchange(m_windows_to_open, {})) {
    OpenWindow(stream_id);
  }
}

int Http2Session::OnFrame(nghttp2_session*,
                          const nghttp2_frame* frame,
                          void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    self->OnGoaway();
    return 0;
  }
  if (frame->hd.type == NGHTTP2_SETTINGS) {
    if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
      self->OnSettingsAcknowledged();
    } else {
      self->OnSettings(frame->settings);
    }
    return 0;
  }
  const bool is_head = frame->hd.type == NGHTTP2_HEADERS;
  if (!is_head && frame->hd.type != NGHTTP2_DATA) {
    return 0;
  }
  const auto stream = self->Find(frame->hd.stream_id);
  if (!stream) {
    return 0;
  }
  const bool is_first_head =
      is_head && frame->headers.cat != NGHTTP2_HCAT_HEADERS;
  if (is_first_head && stream->listener()) {
    stream->listener()->OnHead(stream->TakeFields());
  }
  if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    stream->OnInputEnd();
  }
  return 0;
}

int Http2Session::OnBeforeSend(nghttp2_session*,
                               const nghttp2_frame* frame,
                               void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  if (frame->hd.type != NGHTTP2_HEADERS) {
    return 0;
  }
  const auto stream = self->Find(frame->hd.stream_id);
  if (stream) {
    stream->SetHeadSent();
  }
  return 0;
}

int Http2Session::OnFrameSent(nghttp2_session*,
                              const nghttp2_frame* frame,
                              void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  if (self->m_traffic == nullptr) {
    return 0;
  }
  const std::size_t bytes = frame->hd.length + kFrameHeadBytes;
  const auto stream = self->Find(frame->hd.stream_id);
  if (stream) {
    // The cause is known when the stream ends.
    stream->AddSentBytes(bytes);
  } else {
    self->CountSent(bytes, TrafficCause::kOther);
  }
  return 0;
}

void Http2Session::CountSent(std::size_t bytes, TrafficCause cause) {
  if (m_traffic != nullptr && m_distance) {
    m_traffic->Add(cause, *m_distance, bytes);
  }
}

void Http2Session::CountStream(Http2Stream& stream) {
  const TrafficCause cause =
      m_side == Side::kClient ? TrafficCause::kRequest : TrafficCause::kAnswer;
  CountSent(stream.TakeSentBytes(),
            stream.is_refused() ? TrafficCause::kRefusedAttempt : cause);
}

int Http2Session::OnDataChunk(nghttp2_session*,
                              std::uint8_t,
                              std::int32_t stream_id,
                              const std::uint8_t* data,
                              std::size_t size,
                              void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  nghttp2_session_consume_connection(self->m_session, size);
  const auto stream = self->Find(stream_id);
  if (stream) {
    stream->OnData(View(data, size));
  }
  return 0;
}

int Http2Session::OnStreamClose(nghttp2_session*,
                                std::int32_t stream_id,
                                std::uint32_t error_code,
                                void* user_data) {
  auto* const self = static_cast<Http2Session*>(user_data);
  const auto stream = self->Find(stream_id);
  if (stream) {
    self->m_streams.erase(stream_id);
    self->CountStream(*stream);
    stream->OnClose(error_code);
  }
  return 0;
}

}  // namespace bulrushmount

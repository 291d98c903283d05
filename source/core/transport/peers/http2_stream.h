// One stream of an HTTP/2 session: the source of the body that the peer sends
// and the sink of the body sent to the peer.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <nghttp2/nghttp2.h>

#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

class Http2Session;

// Limits on the decoded heads of one stream, in bytes and fields. HPACK encodes
// a repeated field in one byte, so that a few kilobytes from a peer could
// expand to many megabytes.
inline constexpr std::size_t kMaxStreamHeadBytes = 131'072;
inline constexpr std::size_t kMaxStreamFields = 16'384;

class Http2Stream : public BodySource,
                    public BodySink,
                    public std::enable_shared_from_this<Http2Stream> {
 public:
  // When the peer may send the body.
  enum class InputStart : std::uint8_t {
    // At once, up to the session's initial window.
    kImmediate,
    // At the first read, which opens the window.
    kFirstRead,
  };

  explicit Http2Stream(std::weak_ptr<Http2Session> session,
                       InputStart input_start = InputStart::kImmediate)
      : m_session(std::move(session)),
        m_is_window_open(input_start == InputStart::kImmediate) {}

  // A chunk is at most as large as the flow-control window. The next read
  // acknowledges the chunk and reopens the window.
  void Read(ReadCallback callback) override;
  void Write(std::string chunk, WriteCallback callback) override;
  void Finish(WriteCallback callback) override;

  // Resets the stream.
  void Abort() override;

  // --- For the session --------------------------------------------------

  // Receives the peer's head and the end of the stream.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnHead(HeaderList fields) = 0;
    // The stream has ended; `error_code` is NGHTTP2_NO_ERROR after a clean end.
    virtual void OnClosed(std::uint32_t error_code) = 0;
    // The peer has sent nothing for so long that it may be dead. Repeated while
    // that lasts.
    virtual void OnSilent() {}
  };

  // `listener` must outlive the stream or be removed with nullptr.
  void SetListener(Listener* listener) { m_listener = listener; }
  Listener* listener() const { return m_listener; }

  void SetId(std::int32_t id) { m_id = id; }
  std::int32_t id() const { return m_id; }

  // Whether any part of the stream's head was passed to the socket.
  bool is_head_sent() const { return m_is_head_sent; }
  void SetHeadSent() { m_is_head_sent = true; }
  bool is_closed() const { return m_is_closed; }

  // Bytes of the frames sent on this stream.
  void AddSentBytes(std::size_t bytes) { m_sent_bytes += bytes; }
  std::size_t TakeSentBytes() { return std::exchange(m_sent_bytes, 0); }
  // The owner has refused the request.
  void SetRefused() { m_is_refused = true; }
  bool is_refused() const { return m_is_refused; }

  // False if the stream exceeds the limits for its heads.
  [[nodiscard]] bool AddField(std::string_view name, std::string_view value);
  HeaderList TakeFields() { return std::move(m_fields); }

  void OnData(std::string_view data);
  void OnInputEnd();
  void OnClose(std::uint32_t error_code);

  // Received bytes that have not been read; never more than the window.
  std::size_t buffered() const { return m_input.size(); }

  // A provider that reads from `stream` through `source.ptr`.
  static nghttp2_data_provider DataProvider(Http2Stream& stream);

 private:
  static ssize_t FillData(nghttp2_session* session,
                          std::int32_t id,
                          std::uint8_t* to,
                          std::size_t length,
                          std::uint32_t* flags,
                          nghttp2_data_source* source,
                          void* user_data);
  void Deliver();
  void Post(WriteCallback callback, bool is_written);

  std::weak_ptr<Http2Session> m_session;
  Listener* m_listener = nullptr;
  // 0 until the stream is submitted.
  std::int32_t m_id = 0;
  HeaderList m_fields;
  // Totals of all received fields, including those already taken.
  std::size_t m_field_bytes = 0;
  std::size_t m_field_count = 0;
  std::size_t m_sent_bytes = 0;
  bool m_is_refused = false;
  bool m_is_head_sent = false;
  bool m_is_closed = false;

  // --- From the peer ---
  // False until the first read of a stream with InputStart::kFirstRead.
  bool m_is_window_open = true;
  std::string m_input;
  // Bytes passed to the reader but not yet returned to the window.
  std::size_t m_unconsumed = 0;
  bool m_is_input_ended = false;
  ReadCallback m_read;

  // --- To the peer ---
  std::string m_output;
  std::size_t m_output_sent = 0;
  bool m_is_output_ended = false;
  WriteCallback m_written;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_STREAM_H_

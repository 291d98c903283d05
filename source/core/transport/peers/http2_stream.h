// One stream of an HTTP/2 session: the source of what the peer sends on it and
// the sink of what goes to the peer.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_STREAM_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

#include "core/transport/body_stream.h"
#include "core/transport/http1_head.h"

namespace bulrushmount {

class Http2Session;

// What the heads of one stream may hold. HPACK lets a peer repeat a long field
// in one byte, so that a few kilobytes from it become many megabytes here.
inline constexpr std::size_t kMaxStreamHead = 131'072;
inline constexpr std::size_t kMaxStreamFields = 16'384;

class Http2Stream : public BodySource,
                    public BodySink,
                    public std::enable_shared_from_this<Http2Stream> {
 public:
  explicit Http2Stream(std::weak_ptr<Http2Session> session)
      : m_session(std::move(session)) {}

  // A chunk is at most the flow-control window; the window opens again when
  // the next read says that the chunk is dealt with.
  void Read(ReadCallback callback) override;
  void Write(std::string chunk, WriteCallback callback) override;
  void Finish(WriteCallback callback) override;

  // Resets the stream.
  void Abort() override;

  // --- For the session --------------------------------------------------

  // Told of the head that came and of the end of the stream.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnHead(HeaderList fields) = 0;
    // The stream is gone; `error_code` is NGHTTP2_NO_ERROR after a clean end.
    virtual void OnClosed(std::uint32_t error_code) = 0;
    // The peer has not been heard for so long that it may be gone. Told again
    // while that lasts.
    virtual void OnSilent() {}
  };

  // `listener` must outlive the stream or be taken away with nullptr.
  void SetListener(Listener* listener) { m_listener = listener; }
  Listener* listener() const { return m_listener; }

  void SetId(std::int32_t id) { m_id = id; }
  std::int32_t id() const { return m_id; }

  // Whether any part of the stream's head was handed to the socket.
  bool is_head_sent() const { return m_is_head_sent; }
  void SetHeadSent() { m_is_head_sent = true; }
  bool is_closed() const { return m_is_closed; }

  // False if the stream has had more than a head may hold.
  [[nodiscard]] bool AddField(std::string_view name, std::string_view value);
  HeaderList TakeFields() { return std::move(m_fields); }

  void OnData(std::string_view data);
  void OnInputEnd();
  void OnClose(std::uint32_t error_code);

  // Bytes that came and were not yet read; never above the window.
  std::size_t buffered() const { return m_input.size(); }

  // Reads from `source.ptr`, which is an Http2Stream.
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
  // Of all fields that came, with those taken already.
  std::size_t m_field_bytes = 0;
  std::size_t m_field_count = 0;
  bool m_is_head_sent = false;
  bool m_is_closed = false;

  // --- From the peer ---
  std::string m_input;
  // Handed to the reader, and not yet given back to the window.
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

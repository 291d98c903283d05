// An HTTP/2 session over one TCP connection between two nodes: the part common
// to client and server. nghttp2 implements the protocol; this class transfers
// its bytes and detects peers that no longer respond.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_SESSION_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_SESSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <nghttp2/nghttp2.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/reporting/peer_traffic.h"
#include "core/transport/peers/header_indexing.h"
#include "core/transport/peers/header_packing.h"
#include "core/transport/peers/http2_stream.h"

namespace bulrushmount {

class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  explicit Http2Session(boost::asio::ip::tcp::socket socket);
  virtual ~Http2Session();

  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Closes the connection. Open streams end with an error.
  void Close();

  // Counts the bytes sent from now on. `traffic` must outlive the session. The
  // bytes of streams that belong to no request are counted as `kOther`.
  void CountTo(PeerTraffic* traffic) { m_traffic = traffic; }
  // Bytes are counted once the distance of the peer is known.
  void SetDistance(ZoneDistance distance) { m_distance = distance; }

  // Whether the socket has accepted all bytes.
  bool is_flushed() const;
  bool is_closed() const { return m_is_closed; }
  std::size_t stream_count() const { return m_streams.size(); }
  // Whether the peer stopped responding and has sent nothing since.
  bool is_silent() const { return m_is_silent; }
  boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

  // --- For the streams; no effect before the connection is established ----

  void Consume(std::int32_t stream_id, std::size_t size);
  // Lets the peer send the body of a stream that it opened.
  void OpenWindow(std::int32_t stream_id);
  void Resume(std::int32_t stream_id);
  void Reset(std::int32_t stream_id, std::uint32_t error_code);

  // Posts a task that sends the pending output of nghttp2.
  void ScheduleSend();

 protected:
  enum class Side : std::uint8_t { kClient, kServer };

  // Initializes nghttp2 and sends the settings. The socket must be connected.
  void Open(Side side);

  void Register(std::shared_ptr<Http2Stream> stream);

  // The head in the shortest form that the peer is known to read.
  HeaderList ShortestForm(HeadKind kind, HeaderList fields) const;
  HeaderIndexing& indexing() { return m_indexing; }

  nghttp2_session* session() { return m_session; }
  boost::asio::ip::tcp::socket& socket() { return m_socket; }

  // --- Notifications for the client or server class -----------------------

  // The peer opens a stream. Returning null refuses it.
  virtual std::shared_ptr<Http2Stream> OnPeerStream(std::int32_t stream_id);
  virtual void OnGoaway() {}
  virtual void OnSessionClosed() {}

 private:
  static nghttp2_session_callbacks* MakeCallbacks();
  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame*, void*);
  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame*,
                      const std::uint8_t* name,
                      std::size_t name_size,
                      const std::uint8_t* value,
                      std::size_t value_size,
                      std::uint8_t flags,
                      void*);
  static int OnFrame(nghttp2_session*, const nghttp2_frame*, void*);
  static int OnBeforeSend(nghttp2_session*, const nghttp2_frame*, void*);
  static int OnFrameSent(nghttp2_session*, const nghttp2_frame*, void*);
  static int OnDataChunk(nghttp2_session*,
                         std::uint8_t flags,
                         std::int32_t stream_id,
                         const std::uint8_t* data,
                         std::size_t size,
                         void*);
  static int OnStreamClose(nghttp2_session*,
                           std::int32_t stream_id,
                           std::uint32_t error_code,
                           void*);

  std::shared_ptr<Http2Stream> Find(std::int32_t stream_id);
  void OnSettingsAcknowledged();
  void Receive();
  void OnReceived(std::size_t size);
  void Send();
  void ScheduleTick();
  void OnTick();
  void ReportSilence();
  void DiscardUnsentOnClose();
  void CountSent(std::size_t bytes, TrafficCause cause);
  void CountStream(Http2Stream& stream);
  void OnSettings(const nghttp2_settings& settings);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_tick_timer;
  // Null until the connection is established.
  nghttp2_session* m_session = nullptr;
  std::unordered_map<std::int32_t, std::shared_ptr<Http2Stream>> m_streams;
  bool m_are_settings_acknowledged = false;
  // Streams whose windows are opened once the settings are acknowledged.
  std::vector<std::int32_t> m_windows_to_open;
  std::array<std::uint8_t, 65536> m_received;
  std::string m_sending;
  bool m_is_sending = false;
  bool m_is_send_scheduled = false;
  bool m_is_closed = false;
  // Ticks since the peer last sent a byte. Ticks are counted instead of
  // measuring time, so that after a suspension of this process the peer still
  // has the full number of ticks to respond.
  int m_silent_ticks = 0;
  // Not reset when the last stream ends, which does not show that the peer
  // responds.
  bool m_is_silent = false;
  // Ticks since the last stream ended.
  int m_idle_ticks = 0;
  Side m_side = Side::kClient;
  // Null: bytes are not counted.
  PeerTraffic* m_traffic = nullptr;
  std::optional<ZoneDistance> m_distance;
  // For the heads that this node sends.
  HeaderIndexing m_indexing;
  // Whether the peer has announced that it reads packed heads.
  bool m_reads_packed_heads = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HTTP2_SESSION_H_

// Part of `node_stream_client.h`.

#include "core/transport/peers/node_stream_client.h"

#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/transport/peers/http2_session.h"
#include "core/transport/peers/node_stream_codec.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// If the connection is not established by then, the request has certainly not
// been sent, and there is still time to try another node. Ten round trips
// between regions; a lost SYN is retransmitted only after a second, so another
// node is faster.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);

// Translates the events of an HTTP/2 stream to AttemptListener calls.
class ClientAttempt : public AttemptStream, public Http2Stream::Listener {
 public:
  ClientAttempt(std::shared_ptr<Http2Stream> stream, AttemptListener* listener)
      : m_stream(std::move(stream)), m_listener(listener) {
    m_stream->SetListener(this);
  }

  ~ClientAttempt() override { Cancel(); }

  ClientAttempt(const ClientAttempt&) = delete;
  ClientAttempt& operator=(const ClientAttempt&) = delete;

  std::shared_ptr<BodySink> request_body() override { return m_stream; }

  void Cancel() override {
    m_listener = nullptr;
    m_stream->SetListener(nullptr);
    m_stream->Abort();
  }

  void OnHead(HeaderList fields) override {
    AttemptListener* const listener = std::exchange(m_listener, nullptr);
    if (!listener) {
      return;
    }
    std::optional<OwnerReply> reply = DecodeReply(fields);
    if (!reply) {
      m_stream->Abort();
      listener->OnLost(false, Reason::kNodeLost);
    } else if (reply->verdict == OwnerVerdict::kRefused) {
      m_stream->SetRefused();
      listener->OnRefused(reply->reason, reply->load);
    } else if (reply->verdict == OwnerVerdict::kFailed) {
      listener->OnFailed(reply->reason, reply->load);
    } else {
      listener->OnAnswer(std::move(reply->answer), reply->load, m_stream);
    }
  }

  // The request certainly was not run if no byte of its head was passed to the
  // socket, or if the owner reports REFUSED_STREAM, which nghttp2 also reports
  // for streams above a GOAWAY's last stream id. In all other cases the owner
  // may already have sent the request to its target.
  void OnClosed(std::uint32_t error_code) override {
    AttemptListener* const listener = std::exchange(m_listener, nullptr);
    if (!listener) {
      return;
    }
    const bool is_not_run =
        !m_stream->is_head_sent() || error_code == NGHTTP2_REFUSED_STREAM;
    listener->OnLost(is_not_run,
                     is_not_run ? Reason::kNodeUnreachable : Reason::kNodeLost);
  }

  void OnSilent() override {
    if (m_listener && !std::exchange(m_has_reported_silence, true)) {
      m_listener->OnSilent();
    }
  }

 private:
  std::shared_ptr<Http2Stream> m_stream;
  // Null once notified or cancelled.
  AttemptListener* m_listener;
  bool m_has_reported_silence = false;
};

}  // namespace

class NodeClientSession : public Http2Session {
 public:
  explicit NodeClientSession(const asio::any_io_executor& executor)
      : Http2Session(tcp::socket(executor)), m_connect_timer(executor) {}

  void Connect(const Endpoint& endpoint) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.ip, error);
    const auto self =
        std::static_pointer_cast<NodeClientSession>(shared_from_this());
    m_connect_timer.expires_after(kConnectTimeout);
    m_connect_timer.async_wait([self](const boost::system::error_code& ec) {
      if (!ec) {
        self->OnConnectTimeout();
      }
    });
    socket().async_connect(
        tcp::endpoint(address, endpoint.port),
        [self](const boost::system::error_code& ec) { self->OnConnected(ec); });
  }

  // Whether new streams may be opened. After a network interruption an existing
  // connection stays silent until its next TCP retransmission, which may be
  // seconds after the network has recovered. A new connection works at once, or
  // fails soon without having sent anything.
  bool is_usable() const {
    return !is_closed() && !m_has_goaway && !is_silent();
  }

  void OpenStream(const std::shared_ptr<Http2Stream>& stream,
                  HeaderList fields,
                  bool has_body) {
    Waiting waiting{stream, std::move(fields), has_body};
    if (m_is_connected) {
      Submit(waiting);
    } else {
      m_waiting.push_back(std::move(waiting));
    }
  }

  void OnConnectTimeout() {
    if (!m_is_connected) {
      Close();
    }
  }

 private:
  struct Waiting {
    std::shared_ptr<Http2Stream> stream;
    HeaderList fields;
    bool has_body = false;
  };

  void OnConnected(const boost::system::error_code& error) {
    m_connect_timer.cancel();
    if (error || is_closed()) {
      Close();
      return;
    }
    m_is_connected = true;
    Open(Side::kClient);
    for (const Waiting& waiting : std::exchange(m_waiting, {})) {
      Submit(waiting);
    }
  }

  void Submit(const Waiting& waiting) {
    if (!waiting.stream->listener()) {
      // Cancelled while the connection was being established.
      waiting.stream->OnClose(NGHTTP2_CANCEL);
      return;
    }
    const HeaderList fields = ShortestForm(HeadKind::kRequest, waiting.fields);
    const std::vector<nghttp2_nv> pairs = ToNameValues(fields, indexing());
    nghttp2_data_provider provider = Http2Stream::DataProvider(*waiting.stream);
    const std::int32_t id =
        nghttp2_submit_request(session(), nullptr, pairs.data(), pairs.size(),
                               waiting.has_body ? &provider : nullptr, nullptr);
    if (id < 0) {
      // The stream ids are used up; the session ends after its last stream.
      m_has_goaway = true;
      PostClose(waiting.stream);
      return;
    }
    waiting.stream->SetId(id);
    Register(waiting.stream);
    ScheduleSend();
  }

  void PostClose(const std::shared_ptr<Http2Stream>& stream) {
    asio::post(executor(),
               [stream] { stream->OnClose(NGHTTP2_REFUSED_STREAM); });
  }

  void OnGoaway() override { m_has_goaway = true; }

  void OnSessionClosed() override {
    for (const Waiting& waiting : std::exchange(m_waiting, {})) {
      PostClose(waiting.stream);
    }
  }

  asio::steady_timer m_connect_timer;
  std::vector<Waiting> m_waiting;
  bool m_is_connected = false;
  bool m_has_goaway = false;
};

NodeStreamClient::NodeStreamClient(asio::any_io_executor executor)
    : m_executor(std::move(executor)) {}

NodeStreamClient::~NodeStreamClient() {
  Close();
}

std::shared_ptr<AttemptStream> NodeStreamClient::Open(
    const Endpoint& endpoint,
    const WorkRequest& request,
    AttemptListener* listener) {
  std::shared_ptr<NodeClientSession> session = m_sessions[endpoint];
  if (!session || !session->is_usable()) {
    session = std::make_shared<NodeClientSession>(m_executor);
    if (m_traffic != nullptr) {
      session->CountTo(m_traffic);
      session->SetDistance(m_traffic->DistanceOf(endpoint));
    }
    session->Connect(endpoint);
    m_sessions[endpoint] = session;
    DropUnusable();
  }
  auto stream = std::make_shared<Http2Stream>(session);
  auto attempt = std::make_shared<ClientAttempt>(stream, listener);
  session->OpenStream(stream, EncodeRequest(request),
                      request.shape.framing != BodyFraming::kNone);
  return attempt;
}

void NodeStreamClient::DropUnusable() {
  std::erase_if(m_sessions,
                [](const auto& entry) { return !entry.second->is_usable(); });
}

void NodeStreamClient::Close() {
  for (const auto& [endpoint, session] : std::exchange(m_sessions, {})) {
    session->Close();
  }
}

}  // namespace bulrushmount

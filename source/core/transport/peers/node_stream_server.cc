// Part of `node_stream_server.h`.

#include "core/transport/peers/node_stream_server.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/transport/peers/http2_session.h"
#include "core/transport/peers/node_stream_codec.h"
#include "core/transport/sockets.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

}  // namespace

class NodeServerSession;

// One request of a peer. Created with its stream, and passed to the acceptor
// when its head has arrived. Lives until both the stream and the acceptor have
// released it.
class ServerWork : public WorkStream,
                   public Http2Stream::Listener,
                   public std::enable_shared_from_this<ServerWork> {
 public:
  ServerWork(std::shared_ptr<Http2Stream> stream,
             std::weak_ptr<NodeServerSession> session,
             WorkAcceptor& acceptor)
      : m_stream(std::move(stream)),
        m_session(std::move(session)),
        m_acceptor(acceptor) {
    m_stream->SetListener(this);
  }

  ~ServerWork() override { m_stream->SetListener(nullptr); }

  ServerWork(const ServerWork&) = delete;
  ServerWork& operator=(const ServerWork&) = delete;

  const WorkRequest& request() const override { return m_request; }
  std::shared_ptr<BodySource> request_body() override { return m_stream; }
  void SetListener(WorkListener* listener) override { m_listener = listener; }

  void Refuse(Reason reason, const LoadReport& load) override {
    EndWith({OwnerVerdict::kRefused, reason, load, {}});
  }

  void Fail(Reason reason, const LoadReport& load) override {
    EndWith({OwnerVerdict::kFailed, reason, load, {}});
  }

  std::shared_ptr<BodySink> Answer(AnswerHead head,
                                   const LoadReport& load) override {
    Reply({OwnerVerdict::kAnswer, Reason::kNone, load, std::move(head)}, true);
    return m_stream;
  }

  void Reset() override { m_stream->Abort(); }

  void OnHead(HeaderList fields) override;
  void OnClosed(std::uint32_t error_code) override;

  // Passes the request to the acceptor, unless it was cancelled.
  void PassToAcceptor();

 private:
  void EndWith(const OwnerReply& reply) { Reply(reply, false); }
  void Reply(const OwnerReply& reply, bool has_body);

  std::shared_ptr<Http2Stream> m_stream;
  std::weak_ptr<NodeServerSession> m_session;
  WorkAcceptor& m_acceptor;
  WorkRequest m_request;
  WorkListener* m_listener = nullptr;
};

class NodeServerSession : public Http2Session {
 public:
  NodeServerSession(tcp::socket socket, WorkAcceptor& acceptor)
      : Http2Session(std::move(socket)), m_acceptor(acceptor) {}

  void Start(PeerTraffic* traffic) {
    m_traffic = traffic;
    CountTo(traffic);
    Open(Side::kServer);
  }

  // The peer is known from its first request: its address has another port.
  void SetPeer(NodeId entry) {
    if (m_traffic != nullptr) {
      SetDistance(m_traffic->DistanceOf(entry));
    }
  }

  void Drain() {
    if (is_closed()) {
      return;
    }
    m_is_draining = true;
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    ScheduleSend();
  }

  void Respond(Http2Stream& stream, const HeaderList& fields, bool has_body) {
    if (is_closed() || stream.is_closed()) {
      return;
    }
    const HeaderList sent = ShortestForm(HeadKind::kReply, fields);
    const std::vector<nghttp2_nv> pairs = ToNameValues(sent, indexing());
    nghttp2_data_provider provider = Http2Stream::DataProvider(stream);
    nghttp2_submit_response(session(), stream.id(), pairs.data(), pairs.size(),
                            has_body ? &provider : nullptr);
    ScheduleSend();
  }

  // Posted, so that all input that arrived together with the request is
  // processed first. Otherwise, when a request and its cancellation are delayed
  // and arrive together, a target would run a request for which no caller
  // waits.
  void PassToAcceptorLater(std::weak_ptr<ServerWork> work) {
    asio::post(executor(), [weak = std::move(work)] {
      if (const std::shared_ptr<ServerWork> kept = weak.lock()) {
        kept->PassToAcceptor();
      }
    });
  }

  void Forget(const ServerWork* work) {
    std::erase_if(m_works, [work](const std::shared_ptr<ServerWork>& other) {
      return other.get() == work;
    });
  }

 private:
  std::shared_ptr<Http2Stream> OnPeerStream(std::int32_t) override {
    if (m_is_draining) {
      return nullptr;
    }
    const auto self =
        std::static_pointer_cast<NodeServerSession>(shared_from_this());
    auto stream = std::make_shared<Http2Stream>(
        self, Http2Stream::InputStart::kFirstRead);
    m_works.push_back(std::make_shared<ServerWork>(stream, self, m_acceptor));
    return stream;
  }

  WorkAcceptor& m_acceptor;
  PeerTraffic* m_traffic = nullptr;
  // The requests whose streams are open.
  std::vector<std::shared_ptr<ServerWork>> m_works;
  bool m_is_draining = false;
};

void ServerWork::OnHead(HeaderList fields) {
  std::optional<WorkRequest> request = DecodeRequest(fields);
  const auto session = m_session.lock();
  if (!request) {
    // REFUSED_STREAM reports that the request was not run.
    if (session) {
      session->Reset(m_stream->id(), NGHTTP2_REFUSED_STREAM);
    }
    return;
  }
  m_request = std::move(*request);
  if (session) {
    session->SetPeer(m_request.work.entry);
    session->PassToAcceptorLater(weak_from_this());
  }
}

void ServerWork::PassToAcceptor() {
  if (!m_stream->is_closed()) {
    m_acceptor.OnWork(shared_from_this());
  }
}

void ServerWork::OnClosed(std::uint32_t error_code) {
  const auto self = shared_from_this();
  if (const auto session = m_session.lock()) {
    session->Forget(this);
  }
  WorkListener* const listener = std::exchange(m_listener, nullptr);
  if (listener && error_code != NGHTTP2_NO_ERROR) {
    listener->OnCancelled();
  }
}

void ServerWork::Reply(const OwnerReply& reply, bool has_body) {
  if (reply.verdict == OwnerVerdict::kRefused) {
    m_stream->SetRefused();
  }
  if (const auto session = m_session.lock()) {
    session->Respond(*m_stream, EncodeReply(reply), has_body);
  }
}

NodeStreamServer::NodeStreamServer(asio::io_context& context,
                                   WorkAcceptor& acceptor)
    : m_acceptor(acceptor), m_listener(context) {}

NodeStreamServer::~NodeStreamServer() {
  Close();
}

bool NodeStreamServer::Listen(const Endpoint& endpoint) {
  if (!OpenListener(m_listener, endpoint)) {
    return false;
  }
  Accept();
  return true;
}

Endpoint NodeStreamServer::endpoint() const {
  return LocalEndpoint(m_listener);
}

void NodeStreamServer::Accept() {
  AcceptOn(m_listener, [this](tcp::socket socket) {
    std::erase_if(m_sessions, [](const auto& weak) { return weak.expired(); });
    auto session =
        std::make_shared<NodeServerSession>(std::move(socket), m_acceptor);
    m_sessions.push_back(session);
    session->Start(m_traffic);
    if (m_is_draining) {
      session->Drain();
    }
  });
}

void NodeStreamServer::Drain() {
  m_is_draining = true;
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Drain();
    }
  }
}

bool NodeStreamServer::IsIdle() const {
  return std::all_of(
      m_sessions.begin(), m_sessions.end(), [](const auto& weak) {
        const auto session = weak.lock();
        return !session ||
               (session->stream_count() == 0 && session->is_flushed());
      });
}

void NodeStreamServer::Close() {
  boost::system::error_code ignored;
  m_listener.close(ignored);
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Close();
    }
  }
}

}  // namespace bulrushmount

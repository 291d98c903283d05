// Part of `part_collector.h`.

#include "core/transport/operators/part_collector.h"

#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/transport/peers/control_request_handler.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;

// The request to one node. Reports the node's part, or nullopt, exactly once
// unless it is destroyed first.
class PeerRequest : public AttemptListener {
 public:
  using OnResult = std::function<void(std::optional<std::string> json)>;

  PeerRequest(const asio::any_io_executor& executor,
              std::size_t max_bytes,
              OnResult on_result)
      : m_timer(executor),
        m_max_bytes(max_bytes),
        m_on_result(std::move(on_result)) {}
  ~PeerRequest() override {
    if (m_stream) {
      m_stream->Cancel();
    }
  }

  PeerRequest(const PeerRequest&) = delete;
  PeerRequest& operator=(const PeerRequest&) = delete;

  void Send(NodeStreamClient& client,
            const Endpoint& peer,
            const std::string& control,
            Duration limit) {
    m_timer.expires_after(limit);
    m_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Report(std::nullopt);
      }
    });
    m_stream = client.Open(peer, MakeControlRequest(control), this);
  }

  void OnRefused(Reason, const LoadReport&) override { Report(std::nullopt); }
  void OnFailed(Reason, const LoadReport&) override { Report(std::nullopt); }
  void OnLost(bool, Reason) override { Report(std::nullopt); }

  void OnAnswer(AnswerHead,
                const LoadReport&,
                std::shared_ptr<BodySource> body) override {
    m_body = std::move(body);
    Read();
  }

 private:
  void Read() {
    m_body->Read([this, alive = std::weak_ptr(m_alive)](const BodyRead& read) {
      if (!alive.expired()) {
        OnRead(read);
      }
    });
  }

  void OnRead(const BodyRead& read) {
    if (read.status == BodyStatus::kEnd) {
      Report(std::move(m_json));
      return;
    }
    m_json += read.data;
    if (read.status == BodyStatus::kError || m_json.size() > m_max_bytes) {
      Report(std::nullopt);
      return;
    }
    Read();
  }

  // Posted, because the callback destroys this object.
  void Report(std::optional<std::string> json) {
    if (!m_on_result) {
      return;
    }
    asio::post(m_timer.get_executor(),
               [on_result = std::exchange(m_on_result, nullptr),
                alive = std::weak_ptr(m_alive), json = std::move(json)] {
                 if (!alive.expired()) {
                   on_result(json);
                 }
               });
  }

  asio::steady_timer m_timer;
  std::size_t m_max_bytes;
  OnResult m_on_result;
  std::shared_ptr<AttemptStream> m_stream;
  std::shared_ptr<BodySource> m_body;
  std::string m_json;
  // Expires with this object, so that a callback that is already posted can
  // detect it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

// One collection: queries all peers once, a limited number at a time.
class PartCollector::Collection
    : public std::enable_shared_from_this<Collection> {
 public:
  Collection(PartCollector& collector,
             std::vector<Endpoint> peers,
             OnPart on_part,
             OnEnd on_end)
      : m_collector(collector),
        m_peers(std::move(peers)),
        m_on_part(std::move(on_part)),
        m_on_end(std::move(on_end)),
        m_timer(collector.m_executor) {}

  void Start() {
    m_timer.expires_after(m_collector.m_settings.total_timeout);
    m_timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self) {
            self->End();
          }
        });
    asio::post(m_collector.m_executor, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->SendRequests();
      }
    });
  }

 private:
  void SendRequests() {
    const PartCollectorSettings& settings = m_collector.m_settings;
    while (m_requests.size() < settings.max_concurrent_requests &&
           m_next < m_peers.size()) {
      const std::size_t index = m_next++;
      auto peer = std::make_unique<PeerRequest>(
          m_collector.m_executor, settings.max_part_bytes,
          [this, index](const std::optional<std::string>& json) {
            Take(index, json);
          });
      peer->Send(m_collector.m_client, m_peers[index], m_collector.m_control,
                 settings.part_timeout);
      m_requests.emplace(index, std::move(peer));
    }
    if (m_requests.empty()) {
      End();
    }
  }

  void Take(std::size_t index, const std::optional<std::string>& json) {
    m_on_part(json);
    m_requests.erase(index);
    SendRequests();
  }

  // Called only once, because it destroys this object.
  void End() {
    const std::size_t missing = m_requests.size() + m_peers.size() - m_next;
    m_requests.clear();
    m_timer.cancel();
    for (std::size_t index = 0; index < missing; ++index)
      m_on_part(std::nullopt);
    m_collector.Finish(m_on_end);
  }

  PartCollector& m_collector;
  std::vector<Endpoint> m_peers;
  OnPart m_on_part;
  OnEnd m_on_end;
  std::size_t m_next = 0;
  std::unordered_map<std::size_t, std::unique_ptr<PeerRequest>> m_requests;
  asio::steady_timer m_timer;
};

PartCollector::PartCollector(asio::any_io_executor executor,
                             NodeStreamClient& client,
                             std::string control,
                             const PartCollectorSettings& settings)
    : m_executor(std::move(executor)),
      m_client(client),
      m_control(std::move(control)),
      m_settings(settings) {}

PartCollector::~PartCollector() = default;

void PartCollector::Start(std::vector<Endpoint> peers,
                          OnPart on_part,
                          OnEnd on_end) {
  m_collection = std::make_shared<Collection>(
      *this, std::move(peers), std::move(on_part), std::move(on_end));
  m_collection->Start();
}

void PartCollector::Finish(const OnEnd& on_end) {
  // Kept alive until the callback has run, since it owns the callback.
  const std::shared_ptr<Collection> collection = std::move(m_collection);
  m_collection = nullptr;
  on_end();
}

}  // namespace bulrushmount

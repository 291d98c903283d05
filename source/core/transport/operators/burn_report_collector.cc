// Part of `burn_report_collector.h`.

#include "core/transport/operators/burn_report_collector.h"

#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "core/reporting/burn_report_format.h"
#include "core/transport/peers/control_request_handler.h"

namespace bulrushmount {

namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

std::optional<BurnReport> ParsePart(const std::string& json) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<BurnReport>> {
        BOOST_LEAF_AUTO(part, BurnReportFromJson(json));
        return std::optional<BurnReport>(std::move(part));
      },
      []() -> std::optional<BurnReport> { return std::nullopt; });
}

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

  void Send(NodeStreamClient& client, const Endpoint& peer, Duration limit) {
    m_timer.expires_after(limit);
    m_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Report(std::nullopt);
      }
    });
    m_stream = client.Open(peer, MakeControlRequest(kBurnControl), this);
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
class BurnReportCollector::Collection
    : public std::enable_shared_from_this<Collection> {
 public:
  Collection(BurnReportCollector& collector,
             BurnReport own,
             std::vector<Endpoint> peers)
      : m_collector(collector),
        m_report(std::move(own)),
        m_peers(std::move(peers)),
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
    const BurnReportCollectorSettings& settings = m_collector.m_settings;
    while (m_requests.size() < settings.max_concurrent_requests &&
           m_next < m_peers.size()) {
      const std::size_t index = m_next++;
      auto peer = std::make_unique<PeerRequest>(
          m_collector.m_executor, settings.max_part_bytes,
          [this, index](const std::optional<std::string>& json) {
            Take(index, json);
          });
      peer->Send(m_collector.m_client, m_peers[index], settings.part_timeout);
      m_requests.emplace(index, std::move(peer));
    }
    if (m_requests.empty()) {
      End();
    }
  }

  void Take(std::size_t index, const std::optional<std::string>& json) {
    std::optional<BurnReport> part;
    if (json) {
      part = ParsePart(*json);
    }
    if (part) {
      Merge(m_report, *part);
    } else {
      ++m_report.nodes_missing;
    }
    m_requests.erase(index);
    SendRequests();
  }

  // Called only once, because it destroys this object.
  void End() {
    const std::size_t unsent = m_peers.size() - m_next;
    m_report.nodes_missing +=
        static_cast<std::uint32_t>(m_requests.size() + unsent);
    m_requests.clear();
    m_timer.cancel();
    m_collector.Finish(m_report);
  }

  BurnReportCollector& m_collector;
  BurnReport m_report;
  std::vector<Endpoint> m_peers;
  std::size_t m_next = 0;
  std::unordered_map<std::size_t, std::unique_ptr<PeerRequest>> m_requests;
  asio::steady_timer m_timer;
};

BurnReportCollector::BurnReportCollector(
    asio::any_io_executor executor,
    NodeStreamClient& client,
    const BurnReportCollectorSettings& settings)
    : m_executor(std::move(executor)), m_client(client), m_settings(settings) {}

BurnReportCollector::~BurnReportCollector() = default;

void BurnReportCollector::Collect(BurnReport own,
                                  std::vector<Endpoint> peers,
                                  Done done) {
  m_waiting.push_back(std::move(done));
  if (m_collection) {
    return;
  }
  m_collection =
      std::make_shared<Collection>(*this, std::move(own), std::move(peers));
  m_collection->Start();
}

void BurnReportCollector::Finish(const BurnReport& report) {
  // Kept alive until all callbacks have run, since it owns the report.
  const std::shared_ptr<Collection> collection = std::move(m_collection);
  m_collection = nullptr;
  for (const Done& done : std::exchange(m_waiting, {})) {
    done(report);
  }
}

}  // namespace bulrushmount

// Part of `burn_gatherer.h`.

#include "core/transport/operators/burn_gatherer.h"

#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "core/reporting/burn_report_format.h"
#include "core/transport/peers/control_works.h"

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

// One node that is asked. Tells its part, or an empty one, exactly once unless
// it is destroyed first.
class AskedPeer : public AttemptListener {
 public:
  using Told = std::function<void(std::optional<std::string> json)>;

  AskedPeer(const asio::any_io_executor& executor,
            std::size_t max_bytes,
            Told told)
      : m_timer(executor),
        m_max_bytes(max_bytes),
        m_reported(std::move(told)) {}
  ~AskedPeer() override {
    if (m_stream) {
      m_stream->Cancel();
    }
  }

  AskedPeer(const AskedPeer&) = delete;
  AskedPeer& operator=(const AskedPeer&) = delete;

  void Ask(NodeStreamClient& client, const Endpoint& peer, Duration limit) {
    m_timer.expires_after(limit);
    m_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Notify(std::nullopt);
      }
    });
    m_stream = client.Open(peer, MakeControlRequest(kBurnControl), this);
  }

  void OnRefused(Reason, const LoadReport&) override { Notify(std::nullopt); }
  void OnFailed(Reason, const LoadReport&) override { Notify(std::nullopt); }
  void OnLost(bool, Reason) override { Notify(std::nullopt); }

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
      Notify(std::move(m_json));
      return;
    }
    m_json += read.data;
    if (read.status == BodyStatus::kError || m_json.size() > m_max_bytes) {
      Notify(std::nullopt);
      return;
    }
    Read();
  }

  // Posted, since what is told destroys this object.
  void Notify(std::optional<std::string> json) {
    if (!m_reported) {
      return;
    }
    asio::post(m_timer.get_executor(),
               [told = std::exchange(m_reported, nullptr),
                alive = std::weak_ptr(m_alive), json = std::move(json)] {
                 if (!alive.expired()) {
                   told(json);
                 }
               });
  }

  asio::steady_timer m_timer;
  std::size_t m_max_bytes;
  Told m_reported;
  std::shared_ptr<AttemptStream> m_stream;
  std::shared_ptr<BodySource> m_body;
  std::string m_json;
  // Gone with this object; a callback that is already posted sees it.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace

// Asks all peers once, a bounded number at a time.
class BurnGatherer::Round : public std::enable_shared_from_this<Round> {
 public:
  Round(BurnGatherer& gatherer, BurnReport own, std::vector<Endpoint> peers)
      : m_gatherer(gatherer),
        m_report(std::move(own)),
        m_peers(std::move(peers)),
        m_timer(gatherer.m_executor) {}

  void Start() {
    m_timer.expires_after(m_gatherer.m_settings.whole_limit);
    m_timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self) {
            self->End();
          }
        });
    asio::post(m_gatherer.m_executor, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->AskMore();
      }
    });
  }

 private:
  void AskMore() {
    const BurnGatherSettings& settings = m_gatherer.m_settings;
    while (m_asked.size() < settings.max_asked && m_next < m_peers.size()) {
      const std::size_t index = m_next++;
      auto peer = std::make_unique<AskedPeer>(
          m_gatherer.m_executor, settings.max_part_bytes,
          [this, index](const std::optional<std::string>& json) {
            Take(index, json);
          });
      peer->Ask(m_gatherer.m_client, m_peers[index], settings.part_limit);
      m_asked.emplace(index, std::move(peer));
    }
    if (m_asked.empty()) {
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
    m_asked.erase(index);
    AskMore();
  }

  // May be reached only once: the round is destroyed by it.
  void End() {
    const std::size_t unasked = m_peers.size() - m_next;
    m_report.nodes_missing +=
        static_cast<std::uint32_t>(m_asked.size() + unasked);
    m_asked.clear();
    m_timer.cancel();
    m_gatherer.Finish(m_report);
  }

  BurnGatherer& m_gatherer;
  BurnReport m_report;
  std::vector<Endpoint> m_peers;
  std::size_t m_next = 0;
  std::unordered_map<std::size_t, std::unique_ptr<AskedPeer>> m_asked;
  asio::steady_timer m_timer;
};

BurnGatherer::BurnGatherer(asio::any_io_executor executor,
                           NodeStreamClient& client,
                           const BurnGatherSettings& settings)
    : m_executor(std::move(executor)), m_client(client), m_settings(settings) {}

BurnGatherer::~BurnGatherer() = default;

void BurnGatherer::Gather(BurnReport own,
                          std::vector<Endpoint> peers,
                          Done done) {
  m_waiting.push_back(std::move(done));
  if (m_round) {
    return;
  }
  m_round = std::make_shared<Round>(*this, std::move(own), std::move(peers));
  m_round->Start();
}

void BurnGatherer::Finish(const BurnReport& report) {
  // Lives on until all are told: the report is the round's.
  const std::shared_ptr<Round> round = std::move(m_round);
  m_round = nullptr;
  for (const Done& done : std::exchange(m_waiting, {})) {
    done(report);
  }
}

}  // namespace bulrushmount

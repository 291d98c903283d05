// An exchange is one request on one connection with its own time-out.

#include "stand_ins/load_client.h"

#include <cstdlib>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "stand_ins/request_digest.h"

namespace bulrushmount {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{1} << 30;
constexpr std::string_view kSizePath = "/size/";

// Returns a body that is unique among the requests of one load, so that an
// answer that belongs to another request has a different digest.
std::string MakeBody(std::uint64_t seed, const LoadCall& call) {
  std::string body = fmt::format("{}-{}.", seed, call.number);
  body.resize(call.kind.body_size, '.');
  return body;
}

CallerOutcome OutcomeFromToken(std::string_view token) {
  for (const CallerOutcome outcome :
       {CallerOutcome::kAnswered, CallerOutcome::kNotRun,
        CallerOutcome::kUnknown}) {
    if (token == ToText(outcome)) {
      return outcome;
    }
  }
  return CallerOutcome::kNone;
}

}  // namespace

bool IsAnswerTo(std::uint64_t digest,
                std::string_view path,
                std::string_view body) {
  if (path.starts_with(kSizePath)) {
    const std::string size(path.substr(kSizePath.size()));
    return body.size() == std::strtoull(size.c_str(), nullptr, 10) &&
           body == StreamBytes(digest, 0, body.size());
  }
  const std::string line = fmt::format("digest {}\n", DigestText(digest));
  if (body.empty() || body.size() % line.size() != 0) {
    return false;
  }
  for (std::size_t at = 0; at < body.size(); at += line.size()) {
    if (body.substr(at, line.size()) != line) {
      return false;
    }
  }
  return true;
}

namespace detail {

class LoadExchange : public std::enable_shared_from_this<LoadExchange> {
 public:
  LoadExchange(LoadClient& client, const LoadCall& call)
      : m_client(client),
        m_entry(call.number % client.m_options.entries.size()),
        m_path(call.kind.path),
        m_timer(client.m_io) {
    const LoadOptions& options = client.m_options;
    // A unique query parameter makes the digests of requests without a body
    // differ.
    m_path += call.kind.path.find('?') == std::string::npos ? '?' : '&';
    m_path += fmt::format("n={}-{}", options.seed, call.number);
    m_result.number = call.number;
    m_result.kind = call.kind.name;
    m_intended = call.intended;
    MakeRequest(call);
  }

  std::size_t entry() const { return m_entry; }
  bool is_done() const { return m_is_done; }
  bool is_running() const { return m_is_running; }

  void StartTimer() {
    m_timer.expires_at(m_intended + m_client.m_options.timeout);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->Finish(CallerOutcome::kNone, "no-outcome", nullptr);
      }
    });
  }

  void Run(std::unique_ptr<Socket> socket) {
    m_is_running = true;
    m_socket = std::move(socket);
    if (m_socket) {
      Write();
      return;
    }
    const Endpoint& server = m_client.m_options.entries[m_entry];
    m_socket = std::make_unique<Socket>(m_client.m_io);
    m_socket->async_connect({asio::ip::make_address(server.ip), server.port},
                            [self = shared_from_this()](error_code error) {
                              if (error) {
                                self->Finish(CallerOutcome::kNotRun,
                                             "caller-connect-failed", nullptr);
                                return;
                              }
                              error_code ignored;
                              self->m_socket->set_option(
                                  asio::ip::tcp::no_delay(true), ignored);
                              self->Write();
                            });
  }

 private:
  void MakeRequest(const LoadCall& call) {
    const LoadOptions& options = m_client.m_options;
    m_request.version(11);
    m_request.method_string(call.kind.method);
    m_request.target(m_path);
    m_request.set(http::field::host, options.service);
    if (call.kind.has_key) {
      m_result.idempotency_key =
          fmt::format("key-{}-{}", options.seed, call.number);
      m_request.set("Idempotency-Key", m_result.idempotency_key);
    }
    if (call.kind.body_size > 0) {
      m_request.body() = MakeBody(options.seed, call);
    }
    if (options.is_direct) {
      m_request.set("Bulrushmount-Request-Id",
                    fmt::format("{}-{}", options.seed, call.number));
    } else {
      m_request.set("Bulrushmount-Workspace", options.workspace);
    }
    if (options.deadline_ms) {
      m_request.set("Bulrushmount-Deadline-Ms",
                    fmt::format("{}", *options.deadline_ms));
    }
    m_request.prepare_payload();
    m_digest = RequestDigest(call.kind.method, m_path, m_request.body());
  }

  void Write() {
    if (m_is_done) {
      return;
    }
    http::async_write(
        *m_socket, m_request,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) {
            // Reads on after a failed write: the entry may answer and close
            // before it has received the whole request.
            self->m_write_failed = true;
          }
          self->Read();
        });
  }

  void Read() {
    if (m_is_done) {
      return;
    }
    m_parser.body_limit(kMaxAnswerBytes);
    http::async_read(
        *m_socket, m_buffer, m_parser,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) {
            self->FinishIncomplete();
          } else {
            self->FinishComplete();
          }
        });
  }

  void FinishIncomplete() {
    const bool has_head = m_parser.is_header_done();
    m_result.status = has_head ? m_parser.get().result_int() : 0;
    Finish(CallerOutcome::kUnknown,
           has_head ? "caller-broken-answer" : "caller-connection-lost",
           nullptr);
  }

  void FinishComplete() {
    const auto& answer = m_parser.get();
    m_result.status = answer.result_int();
    CallerOutcome outcome = CallerOutcome::kAnswered;
    std::string reason(answer["Bulrushmount-Reason"]);
    if (!m_client.m_options.is_direct) {
      outcome = OutcomeFromToken(std::string(answer["Bulrushmount-Outcome"]));
    } else if (answer["Bulrushmount-Shed"] == "1") {
      outcome = CallerOutcome::kNotRun;
      reason = "shed";
    }
    if (outcome == CallerOutcome::kNone) {
      reason = "caller-outcome-missing";
    }
    if (outcome == CallerOutcome::kAnswered) {
      VerifyDigest();
    }
    const bool is_reusable =
        answer.keep_alive() && m_buffer.size() == 0 && !m_write_failed;
    Finish(outcome, reason, is_reusable ? std::move(m_socket) : nullptr);
  }

  void VerifyDigest() {
    const auto& answer = m_parser.get();
    const bool is_header_valid =
        std::string(answer["X-Digest"]) == DigestText(m_digest);
    m_result.is_digest_mismatch =
        !is_header_valid || !IsAnswerTo(m_digest, m_path, answer.body());
  }

  void Finish(CallerOutcome outcome,
              const std::string& reason,
              std::unique_ptr<Socket> reusable) {
    if (m_is_done) {
      return;
    }
    m_is_done = true;
    m_timer.cancel();
    if (m_socket) {
      error_code ignored;
      m_socket->close(ignored);
    }
    m_result.outcome = outcome;
    m_result.reason = reason;
    m_result.latency = Now() - m_intended;
    m_client.Finish(*this, m_result, std::move(reusable));
  }

  LoadClient& m_client;
  std::size_t m_entry;
  std::string m_path;
  TimePoint m_intended;
  asio::steady_timer m_timer;
  CallResult m_result;
  std::uint64_t m_digest = 0;
  http::request<http::string_body> m_request;
  std::unique_ptr<Socket> m_socket;
  boost::beast::flat_buffer m_buffer;
  http::response_parser<http::string_body> m_parser;
  bool m_is_running = false;
  bool m_write_failed = false;
  // Once set, completion handlers have no effect.
  bool m_is_done = false;
};

}  // namespace detail

void LoadClient::Send(const LoadCall& call) {
  auto exchange = std::make_shared<detail::LoadExchange>(*this, call);
  exchange->StartTimer();
  m_waiting.push_back(std::move(exchange));
  StartWaiting();
}

void LoadClient::Finish(const detail::LoadExchange& exchange,
                        const CallResult& result,
                        std::unique_ptr<Socket> reusable) {
  if (reusable) {
    m_idle[exchange.entry()].Add(std::move(reusable));
  }
  if (exchange.is_running()) {
    --m_running;
  }
  m_callback(result);
  StartWaiting();
}

void LoadClient::StartWaiting() {
  while (!m_waiting.empty() && m_running < m_options.max_connections) {
    const ExchangePointer next = std::move(m_waiting.front());
    m_waiting.pop_front();
    // The exchange timed out while it was queued.
    if (next->is_done()) {
      continue;
    }
    ++m_running;
    next->Run(m_idle[next->entry()].Take());
  }
}

}  // namespace bulrushmount

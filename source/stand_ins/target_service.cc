// Each request waits for a slot, takes its service time and is answered as its
// path specifies.

#include "stand_ins/target_service.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>

#include "stand_ins/request_digest.h"

namespace bulrushmount {
namespace {

namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::string_view kPoison = "POISON";
constexpr std::uint64_t kPieceSize = std::uint64_t{64} * 1024;
// Sigma of the log-normal service time, at which 1 request in 100 takes about
// five times the median.
constexpr double kLogNormalSigma = 0.7;
// Makes the mean of the distribution 1.
constexpr double kLogNormalMu = -kLogNormalSigma * kLogNormalSigma / 2;

// Returns the number at `index` in a path "/word/number/number", 0 if there is
// none.
std::uint64_t NumberInPath(std::string_view path, int index) {
  path = path.substr(0, path.find('?'));
  for (int skipped = 0; skipped < index + 2; ++skipped) {
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos) {
      return 0;
    }
    path.remove_prefix(slash + 1);
  }
  std::uint64_t number = 0;
  std::from_chars(path.data(), path.data() + path.size(), number);
  return number;
}

unsigned StatusInPath(std::string_view path) {
  const std::uint64_t number = NumberInPath(path, 0);
  const bool is_final_status = number >= 200 && number <= 599;
  return is_final_status ? static_cast<unsigned>(number) : 500U;
}

bool IsPath(std::string_view path, std::string_view word) {
  if (!path.starts_with(word)) {
    return false;
  }
  const std::string_view rest = path.substr(word.size());
  return rest.empty() || rest[0] == '/' || rest[0] == '?';
}

void ReadBool(const json::object& object, const char* field, bool& value) {
  const json::value* const found = object.if_contains(field);
  if (found != nullptr && found->is_bool()) {
    value = found->get_bool();
  }
}

void ReadDouble(const json::object& object, const char* field, double& value) {
  const json::value* const found = object.if_contains(field);
  if (found != nullptr && found->is_number()) {
    value = found->to_number<double>();
  }
}

bool ReadControl(std::string_view body, TargetControl& control) {
  json::error_code error;
  const json::value value = json::parse(json::string_view(body), error);
  if (error || !value.is_object()) {
    return false;
  }
  const json::object& object = value.get_object();
  ReadDouble(object, "slow_factor", control.slow_factor);
  ReadDouble(object, "shed_fraction", control.shed_fraction);
  ReadBool(object, "fail_fast", control.is_failing_fast);
  ReadBool(object, "lie_health", control.is_health_forced_ok);
  ReadBool(object, "lie_load", control.is_load_forced_zero);
  ReadBool(object, "drain", control.is_draining);
  ReadDouble(object, "rate_limit", control.rate_limit);
  ReadBool(object, "leave_in_answers", control.is_leaving_in_answers);
  return true;
}

}  // namespace

TargetService::TargetService(boost::asio::io_context& io, TargetOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_ledger(m_options.incarnation, m_options.ledger_file),
      m_random(m_options.seed),
      m_server(io, m_options.listen, [this](const ExchangePointer& exchange) {
        Handle(exchange);
      }) {}

void TargetService::Handle(const ExchangePointer& exchange) {
  if (HandleManagementPath(exchange)) {
    return;
  }
  m_last_activity = Now();
  const ServerRequest& request = exchange->request();
  auto work = std::make_shared<Work>();
  work->exchange = exchange;
  work->path = exchange->path();
  work->number = ++m_last_number;
  work->digest = RequestDigest(std::string(request.method_string()), work->path,
                               request.body());
  if (ShouldShed(work->path)) {
    Shed(work);
    return;
  }
  exchange->OnClosed([this, work] { Cancel(work); });
  m_waiting.push_back(work);
  StartWaiting();
}

bool TargetService::HandleManagementPath(const ExchangePointer& exchange) {
  const std::string_view path = exchange->path();
  if (path == "/health" || path == "/load") {
    HandleProbe(exchange);
  } else if (path == "/ledger") {
    exchange->Respond(
        {200, {{"Content-Type", "application/jsonl"}}, m_ledger.lines()});
  } else if (path == "/control") {
    HandleControl(exchange);
  } else {
    return false;
  }
  return true;
}

void TargetService::HandleProbe(const ExchangePointer& exchange) {
  Work probe;
  probe.exchange = exchange;
  probe.path = exchange->path();
  Record("probe", probe, true);
  if (probe.path == "/load") {
    exchange->Respond(LoadResponse());
    return;
  }
  const bool is_available =
      !m_control.is_draining && !m_control.is_failing_fast;
  const bool reports_healthy = is_available || m_control.is_health_forced_ok;
  exchange->Respond(
      {reports_healthy ? 200U : 503U, {}, reports_healthy ? "ok\n" : "no\n"});
}

ServerResponse TargetService::LoadResponse() const {
  const std::uint32_t reported_in_flight =
      m_control.is_load_forced_zero ? 0 : in_flight();
  return {200,
          {{"Content-Type", "application/json"}},
          fmt::format(R"({{"in_flight":{},"slots":{}}})", reported_in_flight,
                      m_options.slots)};
}

void TargetService::HandleControl(const ExchangePointer& exchange) {
  const bool is_put = exchange->request().method() == http::verb::put;
  const bool is_read =
      is_put && ReadControl(exchange->request().body(), m_control);
  exchange->Respond({is_read ? 204U : 400U, {}, {}});
}

bool TargetService::ShouldShed(std::string_view path) {
  if (IsPath(path, "/shed")) {
    return true;
  }
  std::uniform_real_distribution<double> fraction(0.0, 1.0);
  return m_control.shed_fraction > 0.0 &&
         fraction(m_random) < m_control.shed_fraction;
}

void TargetService::Shed(const WorkPointer& work) {
  Record("shed", *work, true);
  ServerResponse response{503, {{"Bulrushmount-Shed", "1"}}, "shed\n"};
  AddNotice(response);
  work->exchange->Respond(std::move(response));
}

void TargetService::StartWaiting() {
  while (m_running < m_options.slots && !m_waiting.empty()) {
    const WorkPointer work = std::move(m_waiting.front());
    m_waiting.pop_front();
    ++m_running;
    Run(work);
  }
}

// Has no effect on a running request: it continues to its end, and its answer
// cannot be delivered.
void TargetService::Cancel(const WorkPointer& work) {
  const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), work);
  const bool is_waiting = waiting != m_waiting.end();
  if (!is_waiting && !work->is_silent) {
    return;
  }
  Record("cancelled", *work, false);
  work->exchange->Abort();
  if (is_waiting) {
    m_waiting.erase(waiting);
    return;
  }
  work->is_silent = false;
  --m_running;
  StartWaiting();
}

void TargetService::Run(const WorkPointer& work) {
  Record("started", *work, false);
  const std::string& body = work->exchange->request().body();
  const bool is_poison = body.find(kPoison) != std::string::npos;
  if (is_poison || IsPath(work->path, "/crash")) {
    std::abort();
  }
  if (IsPath(work->path, "/silent")) {
    // Occupies its slot until its connection closes.
    work->is_silent = true;
    return;
  }
  if (m_control.is_failing_fast) {
    work->exchange->Respond(DigestResponse(*work, 500));
    Finish(work, true);
    return;
  }
  RunAfter(DrawServiceTime(*work), [this, work] { Answer(work); });
}

void TargetService::Answer(const WorkPointer& work) {
  ServerExchange& exchange = *work->exchange;
  if (IsPath(work->path, "/size")) {
    const std::uint64_t size = NumberInPath(work->path, 0);
    exchange.Begin(DigestResponse(*work, 200), size);
    AnswerStream(work, 0, size);
    return;
  }
  if (IsPath(work->path, "/trickle")) {
    const Duration pause =
        std::chrono::milliseconds(NumberInPath(work->path, 1));
    exchange.Begin(DigestResponse(*work, 200), std::nullopt);
    AnswerTrickle(work, NumberInPath(work->path, 0), pause);
    return;
  }
  const bool is_error = IsPath(work->path, "/error");
  const unsigned status = is_error ? StatusInPath(work->path) : 200U;
  exchange.Respond(DigestResponse(*work, status));
  Finish(work, true);
}

void TargetService::AnswerStream(const WorkPointer& work,
                                 std::uint64_t sent,
                                 std::uint64_t size) {
  if (sent == size) {
    work->exchange->End();
    Finish(work, true);
    return;
  }
  const std::uint64_t length = std::min(kPieceSize, size - sent);
  work->exchange->Write(StreamBytes(work->digest, sent, length),
                        [this, work, sent, length, size](bool is_written) {
                          if (!is_written) {
                            work->exchange->Abort();
                            Finish(work, false);
                            return;
                          }
                          AnswerStream(work, sent + length, size);
                        });
}

void TargetService::AnswerTrickle(const WorkPointer& work,
                                  std::uint64_t pieces_left,
                                  Duration pause) {
  const std::string line = fmt::format("digest {}\n", DigestText(work->digest));
  if (pieces_left == 0) {
    work->exchange->End();
    Finish(work, true);
    return;
  }
  work->exchange->Write(line, [this, work, pieces_left, pause](bool ok) {
    if (!ok) {
      work->exchange->Abort();
      Finish(work, false);
      return;
    }
    RunAfter(pause, [this, work, pieces_left, pause] {
      AnswerTrickle(work, pieces_left - 1, pause);
    });
  });
}

void TargetService::Finish(const WorkPointer& work, bool is_written) {
  Record("finished", *work, is_written);
  m_last_activity = Now();
  --m_running;
  StartWaiting();
}

ServerResponse TargetService::DigestResponse(const Work& work,
                                             unsigned status) const {
  const std::string digest = DigestText(work.digest);
  ServerResponse response{
      status,
      {{"X-Digest", digest},
       {"X-Incarnation", fmt::format("{}", m_options.incarnation)}},
      fmt::format("digest {}\n", digest)};
  AddNotice(response);
  return response;
}

void TargetService::AddNotice(ServerResponse& response) const {
  if (m_control.rate_limit >= 0) {
    response.headers.push_back(
        {"Bulrushmount-Rate-Limit", fmt::format("{}", m_control.rate_limit)});
  }
  if (m_control.is_leaving_in_answers)
    response.headers.push_back({"Bulrushmount-Leaving", "1"});
}

void TargetService::Record(std::string_view event,
                           const Work& work,
                           bool is_written) {
  const ServerRequest& request = work.exchange->request();
  LedgerEntry entry;
  entry.event = event;
  entry.number = work.number;
  entry.request_id = work.exchange->Header("Bulrushmount-Request-Id");
  entry.method = std::string(request.method_string());
  entry.path = work.path;
  entry.idempotency_key = work.exchange->Header("Idempotency-Key");
  entry.body_hash = XXH64(request.body().data(), request.body().size(), 0);
  entry.is_written = is_written;
  m_ledger.Append(entry);
}

Duration TargetService::DrawServiceTime(const Work& work) {
  if (IsPath(work.path, "/sleep")) {
    return std::chrono::milliseconds(NumberInPath(work.path, 0));
  }
  double factor = m_control.slow_factor;
  if (m_options.shape == ServiceTimeShape::kExponential) {
    factor *= std::exponential_distribution<double>(1.0)(m_random);
  } else if (m_options.shape == ServiceTimeShape::kLogNormal) {
    factor *= std::lognormal_distribution<double>(kLogNormalMu,
                                                  kLogNormalSigma)(m_random);
  }
  return FromSeconds(ToSeconds(m_options.service_time) * factor);
}

void TargetService::RunAfter(Duration delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
  timer->expires_after(delay);
  timer->async_wait([timer, action = std::move(action)](
                        const boost::system::error_code& error) {
    if (!error) {
      action();
    }
  });
}

}  // namespace bulrushmount

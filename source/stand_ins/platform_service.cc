// Dispatches requests by path and applies the injected faults: some before the
// request takes effect, the others to its answer.

#include "stand_ins/platform_service.h"

#include <string>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "core/store/table_codec.h"

namespace bulrushmount {
namespace {

namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::string_view kTablePrefix = "/v1/table/";
constexpr std::string_view kObjectPrefix = "/v1/objects/";

ServerResponse JsonResponse(unsigned status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

void ReadBool(const json::object& object, const char* field, bool& value) {
  const json::value* const found = object.if_contains(field);
  if (found != nullptr && found->is_bool()) {
    value = found->get_bool();
  }
}

void ReadCount(const json::object& object,
               const char* field,
               std::uint64_t& value) {
  const json::value* const found = object.if_contains(field);
  json::error_code error;
  if (found == nullptr) {
    return;
  }
  const auto number = found->to_number<std::uint64_t>(error);
  if (!error) {
    value = number;
  }
}

bool ReadFaults(std::string_view body, PlatformFaults& faults) {
  json::error_code error;
  const json::value value = json::parse(json::string_view(body), error);
  if (error || !value.is_object()) {
    return false;
  }
  const json::object& object = value.get_object();
  std::uint64_t delay_ms = 0;
  ReadCount(object, "delay_ms", delay_ms);
  if (object.contains("delay_ms")) {
    faults.delay = std::chrono::milliseconds(delay_ms);
  }
  ReadBool(object, "down", faults.is_down);
  ReadBool(object, "silent", faults.is_silent);
  ReadCount(object, "lose_answers", faults.lose_answers);
  ReadCount(object, "lose_write_answers", faults.lose_write_answers);
  ReadCount(object, "conflict_next", faults.conflict_next);
  return true;
}

}  // namespace

PlatformService::PlatformService(boost::asio::io_context& io,
                                 const Endpoint& listen)
    : m_io(io), m_server(io, listen, [this](const ExchangePointer& exchange) {
        Handle(exchange);
      }) {}

void PlatformService::Handle(const ExchangePointer& exchange) {
  const std::string_view path = exchange->path();
  if (path.starts_with("/control/")) {
    HandleControl(exchange);
  } else if (path.starts_with(kTablePrefix)) {
    HandleTable(exchange);
  } else if (path.starts_with(kObjectPrefix)) {
    HandleObject(exchange);
  } else {
    exchange->Respond({404, {}, "no such path\n"});
  }
}

void PlatformService::HandleControl(const ExchangePointer& exchange) {
  const bool is_put = exchange->request().method() == http::verb::put;
  if (is_put && exchange->path() == "/control/faults") {
    const bool is_read = ReadFaults(exchange->request().body(), m_faults);
    exchange->Respond({is_read ? 204U : 400U, {}, {}});
  } else if (!is_put && exchange->path() == "/control/counters") {
    exchange->Respond(
        JsonResponse(200, fmt::format(R"({{"reads":{},"writes":{}}})",
                                      m_counters.reads, m_counters.writes)));
  } else {
    exchange->Respond({404, {}, "no such control\n"});
  }
}

void PlatformService::HandleTable(const ExchangePointer& exchange) {
  const bool is_write = exchange->path() == kTableTransactPath;
  ++(is_write ? m_counters.writes : m_counters.reads);
  if (ApplyFaultBeforeEffect(exchange)) {
    return;
  }
  if (is_write && ConsumeConflict()) {
    Answer(exchange,
           JsonResponse(200,
                        EncodeTableReply({TableStatus::kConditionFailed, {}})));
    return;
  }
  ServerResponse response = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ServerResponse> {
        BOOST_LEAF_AUTO(
            request,
            DecodeTableRequest(exchange->path(), exchange->request().body()));
        return JsonResponse(200, EncodeTableReply(m_table.Apply(request)));
      },
      [] {
        return JsonResponse(400,
                            EncodeTableReply({TableStatus::kUnavailable, {}}));
      });
  if (is_write && ConsumeLostWriteAnswer()) {
    exchange->Abort();
    return;
  }
  Answer(exchange, std::move(response));
}

void PlatformService::HandleObject(const ExchangePointer& exchange) {
  const std::string key(exchange->path().substr(kObjectPrefix.size()));
  const bool is_put = exchange->request().method() == http::verb::put;
  ++(is_put ? m_counters.writes : m_counters.reads);
  if (ApplyFaultBeforeEffect(exchange)) {
    return;
  }
  if (!is_put) {
    const std::string* const bytes = m_objects.Find(key);
    Answer(exchange, bytes == nullptr ? ServerResponse{404, {}, {}}
                                      : ServerResponse{200, {}, *bytes});
    return;
  }
  const bool only_if_absent = exchange->Header("If-None-Match") == "*";
  const std::string& body = exchange->request().body();
  const bool is_written =
      only_if_absent ? m_objects.PutIfAbsent(key, body) : true;
  if (!only_if_absent) {
    m_objects.Put(key, body);
  }
  Answer(exchange, {is_written ? 204U : 412U, {}, {}});
}

bool PlatformService::ApplyFaultBeforeEffect(const ExchangePointer& exchange) {
  if (m_faults.is_silent) {
    return true;
  }
  if (m_faults.is_down) {
    exchange->Respond(
        JsonResponse(503, EncodeTableReply({TableStatus::kUnavailable, {}})));
    return true;
  }
  return false;
}

void PlatformService::Answer(const ExchangePointer& exchange,
                             ServerResponse response) {
  if (m_faults.lose_answers > 0) {
    --m_faults.lose_answers;
    exchange->Abort();
    return;
  }
  if (m_faults.delay == Duration::zero()) {
    exchange->Respond(std::move(response));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io);
  timer->expires_after(m_faults.delay);
  timer->async_wait(
      [timer, exchange, response = std::move(response)](
          const boost::system::error_code&) { exchange->Respond(response); });
}

bool PlatformService::ConsumeConflict() {
  if (m_faults.conflict_next == 0) {
    return false;
  }
  --m_faults.conflict_next;
  return true;
}

bool PlatformService::ConsumeLostWriteAnswer() {
  if (m_faults.lose_write_answers == 0) {
    return false;
  }
  --m_faults.lose_write_answers;
  return true;
}

}  // namespace bulrushmount

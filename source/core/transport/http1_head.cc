// Part of `http1_head.h`.

#include "core/transport/http1_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <iterator>
#include <optional>

#include <fmt/format.h>
#include <xxhash.h>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace bulrushmount {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kReservedPrefix = "bulrushmount-";

// Seven days; longer deadlines are capped because they could overflow when
// converted to nanoseconds.
constexpr std::int64_t kMaxDeadlineMs = 7LL * 24 * 3600 * 1000;

constexpr std::array<std::string_view, 11> kDroppedFields = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
    "transfer-encoding",
    "content-length",
    "expect",
    "proxy-authenticate",
    "proxy-authorization"};

bool EqualsIgnoreCase(std::string_view left, std::string_view right) {
  return beast::iequals(left, right);
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool IsDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// Counts the header fields that decide how a message is framed and routed.
struct FramingFields {
  int hosts = 0;
  int lengths = 0;
  int encodings = 0;
};

bool IsValidField(std::string_view line, FramingFields& seen) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  // A leading blank marks an obsolete folded line. A blank before the colon is
  // part of the name to some HTTP implementations and ignored by others.
  const std::string_view name = line.substr(0, colon);
  if (name.find_first_of(" \t") != std::string_view::npos) {
    return false;
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualsIgnoreCase(name, "Host")) {
    ++seen.hosts;
    return !value.empty();
  }
  if (EqualsIgnoreCase(name, "Content-Length")) {
    ++seen.lengths;
    return IsDigits(value);
  }
  if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    ++seen.encodings;
    return EqualsIgnoreCase(value, "chunked");
  }
  return true;
}

bool IsValidRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last || first == 0) {
    return false;
  }
  const std::string_view target = line.substr(first + 1, last - first - 1);
  if (target.empty() || target.find_first_of(" \t") != std::string_view::npos) {
    return false;
  }
  // HTTP/1.0 has no chunked encoding: the caller could not distinguish the end
  // of an answer without a length from an interrupted answer.
  if (line.substr(last + 1) != "HTTP/1.1") {
    return false;
  }
  return target.front() == '/' || target == "*";
}

bool HasBareControl(std::string_view text) {
  for (std::size_t index = 0; index < text.size(); ++index) {
    const char c = text[index];
    if (c == '\0') {
      return true;
    }
    if (c == '\n' && (index == 0 || text[index - 1] != '\r')) {
      return true;
    }
    if (c == '\r' && (index + 1 == text.size() || text[index + 1] != '\n')) {
      return true;
    }
  }
  return false;
}

bool IsDropped(std::string_view name) {
  if (name.size() >= kReservedPrefix.size() &&
      EqualsIgnoreCase(name.substr(0, kReservedPrefix.size()),
                       kReservedPrefix)) {
    return true;
  }
  return std::any_of(kDroppedFields.begin(), kDroppedFields.end(),
                     [name](std::string_view dropped) {
                       return EqualsIgnoreCase(name, dropped);
                     });
}

std::optional<std::int64_t> ParsePositive(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number <= 0) {
    return std::nullopt;
  }
  return number;
}

// The host without its port. IPv6 literals are not handled: they name no
// service.
std::string_view ServiceOf(std::string_view host) {
  return host.substr(0, host.find(':'));
}

void Append(std::string& text, std::string_view name, std::string_view value) {
  text.append(name).append(": ").append(value).append(kLineEnd);
}

void AppendFields(std::string& text,
                  const HeaderList& headers,
                  const BodyShape& shape) {
  for (const HeaderField& field : headers) {
    Append(text, field.name, field.value);
  }
  if (shape.framing == BodyFraming::kLength) {
    Append(text, "Content-Length", std::to_string(shape.length));
  }
  if (shape.framing == BodyFraming::kChunked) {
    Append(text, "Transfer-Encoding", "chunked");
  }
  text.append(kLineEnd);
}

}  // namespace

Reason CheckRequestHead(std::string_view text, std::size_t max_size) {
  if (text.size() > max_size) {
    return Reason::kHeadTooLarge;
  }
  if (HasBareControl(text)) {
    return Reason::kMalformedRequest;
  }
  std::size_t end = text.find(kLineEnd);
  if (!IsValidRequestLine(text.substr(0, end))) {
    return Reason::kMalformedRequest;
  }
  FramingFields seen;
  for (std::size_t begin = end + 2;; begin = end + 2) {
    end = text.find(kLineEnd, begin);
    if (end == std::string_view::npos || end == begin) {
      break;
    }
    if (!IsValidField(text.substr(begin, end - begin), seen)) {
      return Reason::kMalformedRequest;
    }
  }
  if (seen.hosts != 1 || seen.lengths + seen.encodings > 1) {
    return Reason::kMalformedRequest;
  }
  return Reason::kNone;
}

HeaderList EndToEndFields(const http::fields& fields) {
  http::token_list named{fields[http::field::connection]};
  HeaderList kept;
  for (const auto& field : fields) {
    const std::string_view name(field.name_string());
    if (!IsDropped(name) && !named.exists(name)) {
      kept.push_back({std::string(name), std::string(field.value())});
    }
  }
  return kept;
}

Reason ReadCallHead(const http::fields& fields, CallHead& head) {
  head.host = std::string(fields["Host"]);
  head.service = ServiceName(std::string(ServiceOf(head.host)));
  head.workspace = WorkspaceName(std::string(fields["Bulrushmount-Workspace"]));
  head.request_id = RequestId(std::string(fields["Bulrushmount-Request-Id"]));
  if (fields.count("Idempotency-Key") > 1 ||
      fields.count("Bulrushmount-Workspace") > 1 ||
      fields.count("Bulrushmount-Deadline-Ms") > 1) {
    return Reason::kMalformedRequest;
  }
  if (const auto key = fields.find("Idempotency-Key"); key != fields.end()) {
    head.idempotency_key = IdempotencyKey(std::string(key->value()));
    if (head.idempotency_key->value().empty()) {
      return Reason::kMalformedRequest;
    }
  }
  const auto deadline = fields.find("Bulrushmount-Deadline-Ms");
  if (deadline == fields.end()) {
    return Reason::kNone;
  }
  const std::optional<std::int64_t> parsed = ParsePositive(deadline->value());
  if (!parsed) {
    return Reason::kMalformedRequest;
  }
  head.deadline = std::chrono::milliseconds(std::min(*parsed, kMaxDeadlineMs));
  return Reason::kNone;
}

Fingerprint FingerprintOf(const CallHead& head, std::string_view body_start) {
  // A zero byte separates the three parts, since it cannot occur in them.
  const std::string prefix = fmt::format("{}{}{}{}{}{}", head.workspace, '\0',
                                         head.method, '\0', head.target, '\0');
  const std::uint64_t seed = XXH64(prefix.data(), prefix.size(), 0);
  return Fingerprint(XXH64(body_start.data(), body_start.size(), seed));
}

std::string ToText(const RequestHead& head) {
  std::string text =
      fmt::format("{} {} HTTP/1.1\r\n", head.method, head.target);
  AppendFields(text, head.headers, head.shape);
  return text;
}

std::string ToText(const AnswerHead& head) {
  std::string text = fmt::format(
      "HTTP/1.1 {} {}\r\n", head.status,
      std::string_view(http::obsolete_reason(
          http::int_to_status(static_cast<unsigned>(head.status)))));
  AppendFields(text, head.headers, head.shape);
  return text;
}

}  // namespace bulrushmount

// Part of `node_stream_codec.h`.

#include "core/transport/peers/node_stream_codec.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string_view>

#include <fmt/format.h>

#include "core/common/decimal.h"
#include "core/transport/peers/header_packing.h"

namespace bulrushmount {

namespace {

constexpr std::string_view kPrefix = "bulrushmount-";
constexpr std::string_view kRequestId = "bulrushmount-request-id";
constexpr std::string_view kEntry = "bulrushmount-entry";
constexpr std::string_view kWorkspace = "bulrushmount-workspace";
constexpr std::string_view kKind = "bulrushmount-kind";
constexpr std::string_view kFingerprint = "bulrushmount-fingerprint";
constexpr std::string_view kTimeLeft = "bulrushmount-time-left-us";
constexpr std::string_view kWeight = "bulrushmount-weight";
constexpr std::string_view kShare = "bulrushmount-share";
constexpr std::string_view kRepeatable = "bulrushmount-repeatable";
constexpr std::string_view kSuspect = "bulrushmount-suspect";
constexpr std::string_view kLastAttempt = "bulrushmount-last-attempt";
constexpr std::string_view kPriority = "bulrushmount-priority";
constexpr std::string_view kObjectiveLeft = "bulrushmount-objective-left-us";
constexpr std::string_view kMaxSlowdown = "bulrushmount-max-slowdown";
constexpr std::string_view kMaxHold = "bulrushmount-max-hold-us";
constexpr std::string_view kTargetProcess = "bulrushmount-target-process";
constexpr std::string_view kTargetRateLimit = "bulrushmount-target-rate-limit";
constexpr std::string_view kBody = "bulrushmount-body";
constexpr std::string_view kControl = "bulrushmount-control";
constexpr std::string_view kVerdict = "bulrushmount-verdict";
constexpr std::string_view kReason = "bulrushmount-reason";
constexpr std::string_view kLoad = "bulrushmount-load";

constexpr std::string_view kNoBody = "none";
constexpr std::string_view kChunkedBody = "chunked";
constexpr std::string_view kAnswered = "answer";
constexpr std::string_view kRefused = "refused";
constexpr std::string_view kFailed = "failed";

// The most fields that EncodeRequest adds to the forwarded headers.
constexpr std::size_t kReservedFieldCount = 22;

// A year; longer durations are rejected, because they could overflow when added
// to a time point in nanoseconds.
constexpr std::int64_t kMaxMicroseconds = 365LL * 24 * 3600 * 1'000'000;

// The limit that contracts have for weights and shares.
constexpr double kMaxFactor = 1e9;

constexpr double kHundred = 100.0;

// In a load report, for a target without a rate limit.
constexpr std::string_view kNoRateLimit = "-";

constexpr int kMinStatus = 200;
constexpr int kMaxStatus = 599;

template <typename Number>
bool Parse(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end;
}

// Parses a weight or share. The admission queue is ordered by their quotients,
// and a NaN or an infinite value would corrupt that order.
bool ParseFactor(std::string_view text, double& factor) {
  return Parse(text, factor) && factor > 0 && factor <= kMaxFactor;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return lower;
}

void Add(HeaderList& fields, std::string_view name, std::string value) {
  fields.push_back({std::string(name), std::move(value)});
}

// Adds a field unless its value is the one that decoders assume without it.
void AddUnless(std::string_view default_value,
               HeaderList& fields,
               std::string_view name,
               std::string value) {
  if (value != default_value) {
    Add(fields, name, std::move(value));
  }
}

// Omits fields whose names are reserved for nodes. Otherwise the owner would
// take a field from a caller for one set by the entry.
void AddHeaders(HeaderList& fields, const HeaderList& headers) {
  for (const HeaderField& header : headers) {
    std::string name = Lower(header.name);
    if (!name.starts_with(kPrefix)) {
      Add(fields, name, header.value);
    }
  }
}

std::string EncodeShape(const BodyShape& shape) {
  switch (shape.framing) {
    case BodyFraming::kNone:
      return std::string(kNoBody);
    case BodyFraming::kChunked:
      return std::string(kChunkedBody);
    case BodyFraming::kLength:
      return std::to_string(shape.length);
  }
  return std::string(kNoBody);
}

bool DecodeShape(std::string_view text, BodyShape& shape) {
  if (text == kNoBody) {
    shape = {};
    return true;
  }
  if (text == kChunkedBody) {
    shape = {.framing = BodyFraming::kChunked};
    return true;
  }
  shape.framing = BodyFraming::kLength;
  return Parse(text, shape.length);
}

std::string EncodeRateLimit(const std::optional<double>& rate_limit) {
  return rate_limit ? fmt::format("{}", *rate_limit)
                    : std::string(kNoRateLimit);
}

std::string EncodeLoad(const LoadReport& load) {
  const auto service_time =
      std::chrono::duration_cast<std::chrono::microseconds>(load.service_time);
  std::string text =
      fmt::format("{} {} {} {} {}", load.in_flight, load.queued, load.limit,
                  service_time.count(), std::lround(load.slowdown * kHundred));
  if (load.process != TargetProcess()) {
    text += fmt::format(" {} {} {}", load.process,
                        EncodeRateLimit(load.notice.rate_limit),
                        load.notice.is_leaving ? 1 : 0);
  }
  return text;
}

// Removes and returns the text before the next space.
std::string_view TakeWord(std::string_view& text) {
  const std::size_t space = text.find(' ');
  const std::string_view word = text.substr(0, space);
  text.remove_prefix(space == std::string_view::npos ? text.size() : space + 1);
  return word;
}

// Decodes the end of a load report, which owners without a known target omit.
bool DecodeNotice(std::string_view text, LoadReport& load) {
  if (text.empty()) {
    return true;
  }
  std::uint64_t process = 0;
  if (!Parse(TakeWord(text), process)) {
    return false;
  }
  load.process = TargetProcess(process);
  const std::string_view rate_limit = TakeWord(text);
  if (rate_limit != kNoRateLimit) {
    load.notice.rate_limit = ParseNonNegative(rate_limit);
    if (!load.notice.rate_limit) {
      return false;
    }
  }
  load.notice.is_leaving = TakeWord(text) == "1";
  return true;
}

bool DecodeLoad(std::string_view text, LoadReport& load) {
  std::uint32_t* const counts[] = {&load.in_flight, &load.queued, &load.limit};
  for (std::uint32_t* const count : counts) {
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos ||
        !Parse(text.substr(0, space), *count)) {
      return false;
    }
    text.remove_prefix(space + 1);
  }
  std::int64_t microseconds = 0;
  const std::size_t space = text.find(' ');
  if (!Parse(text.substr(0, space), microseconds) || microseconds < 0 ||
      microseconds > kMaxMicroseconds) {
    return false;
  }
  load.service_time = std::chrono::microseconds(microseconds);
  // Earlier releases do not send the slowdown, and later ones may add numbers.
  if (space == std::string_view::npos) {
    return true;
  }
  text.remove_prefix(space + 1);
  std::uint32_t hundredths = 0;
  if (!Parse(TakeWord(text), hundredths)) {
    return false;
  }
  load.slowdown = hundredths / kHundred;
  return DecodeNotice(text, load);
}

std::string_view EncodeVerdict(OwnerVerdict verdict) {
  switch (verdict) {
    case OwnerVerdict::kAnswer:
      return kAnswered;
    case OwnerVerdict::kRefused:
      return kRefused;
    case OwnerVerdict::kFailed:
      return kFailed;
  }
  return kFailed;
}

bool DecodeVerdict(std::string_view text, OwnerVerdict& verdict) {
  for (const OwnerVerdict known :
       {OwnerVerdict::kAnswer, OwnerVerdict::kRefused, OwnerVerdict::kFailed}) {
    if (EncodeVerdict(known) == text) {
      verdict = known;
      return true;
    }
  }
  return false;
}

// An unknown number comes from a newer release. Its meaning is unknown, but the
// verdict that it belongs to is kept.
Reason DecodeReason(std::string_view text) {
  std::uint8_t number = 0;
  if (!Parse(text, number) || number > static_cast<std::uint8_t>(kLastReason)) {
    return Reason::kNone;
  }
  return static_cast<Reason>(number);
}

bool DecodeTimeLeft(std::string_view text, Duration& time_left) {
  std::int64_t microseconds = 0;
  if (!Parse(text, microseconds) || microseconds > kMaxMicroseconds ||
      microseconds < -kMaxMicroseconds) {
    return false;
  }
  time_left = std::chrono::microseconds(microseconds);
  return true;
}

// Decodes one of the fields that carry a work's head; ignores unknown ones.
// False if the value is invalid.
bool DecodeWorkField(const HeaderField& field, WorkRequest& request) {
  WorkHead& work = request.work;
  const std::string_view name = field.name;
  std::uint64_t number = 0;
  if (name == ":method") {
    work.method = field.value;
  } else if (name == ":path") {
    work.target = field.value;
  } else if (name == ":authority") {
    work.service = ServiceName(field.value);
  } else if (name == kRequestId) {
    work.request_id = RequestId(field.value);
  } else if (name == kWorkspace) {
    work.workspace = WorkspaceName(field.value);
  } else if (name == kKind) {
    work.kind = KindName(field.value);
  } else if (name == kRepeatable) {
    work.is_repeatable = field.value == "1";
  } else if (name == kSuspect) {
    work.is_suspect = field.value == "1";
  } else if (name == kLastAttempt) {
    work.is_last_attempt = field.value == "1";
  } else if (name == kPriority) {
    return Parse(field.value, work.priority);
  } else if (name == kObjectiveLeft) {
    return DecodeTimeLeft(field.value, work.objective_left.emplace());
  } else if (name == kMaxHold) {
    return DecodeTimeLeft(field.value, work.max_hold);
  } else if (name == kMaxSlowdown) {
    return Parse(field.value, work.max_slowdown) && work.max_slowdown >= 0 &&
           work.max_slowdown <= kMaxFactor;
  } else if (name == kTargetRateLimit) {
    work.target_rate_limit = ParseNonNegative(field.value);
    return work.target_rate_limit.has_value();
  } else if (name == kTargetProcess) {
    const bool is_read = Parse(field.value, number);
    work.target_process = TargetProcess(number);
    return is_read;
  } else if (name == kEntry) {
    const bool is_read = Parse(field.value, number);
    work.entry = NodeId(number);
    return is_read;
  } else if (name == kFingerprint) {
    const bool is_read = Parse(field.value, number);
    work.fingerprint = Fingerprint(number);
    return is_read;
  } else if (name == kTimeLeft) {
    return DecodeTimeLeft(field.value, work.time_left);
  } else if (name == kWeight) {
    return ParseFactor(field.value, work.weight);
  } else if (name == kShare) {
    return ParseFactor(field.value, work.share);
  } else if (name == kBody) {
    return DecodeShape(field.value, request.shape);
  } else if (name == kControl) {
    request.control = field.value;
  }
  return true;
}

bool IsControl(char c) {
  return (c >= '\0' && c < ' ' && c != '\t') || c == '\x7f';
}

bool IsNameCharacter(char c) {
  return c > ' ' && c < '\x7f' && c != ':' && (c < 'A' || c > 'Z');
}

// HTTP/2 can carry any bytes but HTTP/1.1 cannot: a line break in a value would
// start a new field or request (header injection). Uppercase letters are
// rejected because the name could match another field after lowercasing.
bool IsValidHeaderField(const HeaderField& field) {
  std::string_view name = field.name;
  const bool is_pseudo = name.starts_with(':');
  if (is_pseudo) {
    name.remove_prefix(1);
  }
  const auto is_wrong = [is_pseudo](char c) {
    return IsControl(c) || (is_pseudo && (c == ' ' || c == '\t'));
  };
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), IsNameCharacter) &&
         std::none_of(field.value.begin(), field.value.end(), is_wrong);
}

bool IsReservedName(std::string_view name) {
  return name.starts_with(':') || name.starts_with(kPrefix);
}

// nghttp2's C interface takes non-const pointers.
std::uint8_t* Bytes(const std::string& text) {
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
}

}  // namespace

HeaderList EncodeRequest(const WorkRequest& request) {
  const WorkHead& work = request.work;
  const auto time_left =
      std::chrono::duration_cast<std::chrono::microseconds>(work.time_left);
  HeaderList fields;
  fields.reserve(kReservedFieldCount + request.headers.size());
  Add(fields, ":method", work.method);
  Add(fields, ":scheme", "http");
  Add(fields, ":authority", work.service.value());
  Add(fields, ":path", work.target);
  Add(fields, kRequestId, work.request_id.value());
  Add(fields, kEntry, std::to_string(work.entry.value()));
  AddUnless("", fields, kWorkspace, work.workspace.value());
  AddUnless("", fields, kKind, work.kind.value());
  Add(fields, kFingerprint, std::to_string(work.fingerprint.value()));
  Add(fields, kTimeLeft, std::to_string(time_left.count()));
  AddUnless("1", fields, kWeight, fmt::format("{}", work.weight));
  AddUnless("1", fields, kShare, fmt::format("{}", work.share));
  AddUnless("0", fields, kRepeatable, work.is_repeatable ? "1" : "0");
  AddUnless("0", fields, kSuspect, work.is_suspect ? "1" : "0");
  AddUnless("0", fields, kLastAttempt, work.is_last_attempt ? "1" : "0");
  if (work.priority != 0) {
    Add(fields, kPriority, std::to_string(work.priority));
  }
  if (work.objective_left) {
    const auto objective_left =
        std::chrono::duration_cast<std::chrono::microseconds>(
            *work.objective_left);
    Add(fields, kObjectiveLeft, std::to_string(objective_left.count()));
  }
  if (work.max_slowdown > 0) {
    Add(fields, kMaxSlowdown, fmt::format("{}", work.max_slowdown));
  }
  if (work.max_hold > Duration::zero()) {
    const auto max_hold =
        std::chrono::duration_cast<std::chrono::microseconds>(work.max_hold);
    Add(fields, kMaxHold, std::to_string(max_hold.count()));
  }
  if (work.target_rate_limit) {
    Add(fields, kTargetProcess, std::to_string(work.target_process.value()));
    Add(fields, kTargetRateLimit, EncodeRateLimit(work.target_rate_limit));
  }
  AddUnless(kNoBody, fields, kBody, EncodeShape(request.shape));
  if (!request.control.empty()) {
    Add(fields, kControl, request.control);
  }
  AddHeaders(fields, request.headers);
  return fields;
}

HeaderList EncodeReply(const OwnerReply& reply) {
  HeaderList fields;
  const bool is_answer = reply.verdict == OwnerVerdict::kAnswer;
  Add(fields, ":status", std::to_string(is_answer ? reply.answer.status : 503));
  Add(fields, kVerdict, std::string(EncodeVerdict(reply.verdict)));
  Add(fields, kLoad, EncodeLoad(reply.load));
  if (!is_answer) {
    Add(fields, kReason, std::to_string(static_cast<int>(reply.reason)));
    return fields;
  }
  AddUnless(kNoBody, fields, kBody, EncodeShape(reply.answer.shape));
  AddHeaders(fields, reply.answer.headers);
  return fields;
}

std::vector<nghttp2_nv> ToNameValues(const HeaderList& fields,
                                     HeaderIndexing& indexing) {
  std::vector<nghttp2_nv> pairs;
  pairs.reserve(fields.size());
  for (const HeaderField& field : fields) {
    nghttp2_nv pair{};
    pair.name = Bytes(field.name);
    pair.namelen = field.name.size();
    pair.value = Bytes(field.value);
    pair.valuelen = field.value.size();
    if (!indexing.ShouldIndex(field)) {
      pair.flags = NGHTTP2_NV_FLAG_NO_INDEX;
    }
    pairs.push_back(pair);
  }
  return pairs;
}

std::optional<WorkRequest> DecodeRequest(const HeaderList& fields) {
  WorkRequest request;
  const std::optional<HeaderList> plain =
      UnpackHead(HeadKind::kRequest, fields);
  if (!plain ||
      !std::all_of(plain->begin(), plain->end(), IsValidHeaderField)) {
    return std::nullopt;
  }
  for (const HeaderField& field : *plain) {
    if (!IsReservedName(field.name)) {
      request.headers.push_back(field);
      continue;
    }
    if (!DecodeWorkField(field, request)) {
      return std::nullopt;
    }
  }
  if (request.work.method.empty() || request.work.target.empty()) {
    return std::nullopt;
  }
  return request;
}

std::optional<OwnerReply> DecodeReply(const HeaderList& fields) {
  OwnerReply reply;
  bool has_verdict = false;
  const std::optional<HeaderList> plain = UnpackHead(HeadKind::kReply, fields);
  if (!plain) {
    return std::nullopt;
  }
  bool is_valid = std::all_of(plain->begin(), plain->end(), IsValidHeaderField);
  for (const HeaderField& field : *plain) {
    if (field.name == ":status") {
      is_valid = is_valid && Parse(field.value, reply.answer.status);
    } else if (field.name == kVerdict) {
      has_verdict = DecodeVerdict(field.value, reply.verdict);
    } else if (field.name == kLoad) {
      is_valid = is_valid && DecodeLoad(field.value, reply.load);
    } else if (field.name == kReason) {
      reply.reason = DecodeReason(field.value);
    } else if (field.name == kBody) {
      is_valid = is_valid && DecodeShape(field.value, reply.answer.shape);
    } else if (!IsReservedName(field.name)) {
      reply.answer.headers.push_back(field);
    }
  }
  const bool is_status =
      reply.answer.status >= kMinStatus && reply.answer.status <= kMaxStatus;
  if (!has_verdict || !is_valid || !is_status) {
    return std::nullopt;
  }
  return reply;
}

}  // namespace bulrushmount

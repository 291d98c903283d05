// Part of `caller_dialect.h`.

#include "core/transport/callers/caller_dialect.h"

#include <chrono>

#include <fmt/format.h>

namespace bulrushmount {

namespace http = boost::beast::http;

Reason NativeCallerDialect::ReadCallHead(const http::fields& fields,
                                         CallHead& head) const {
  return bulrushmount::ReadCallHead(fields, head);
}

HeaderList NativeCallerDialect::ForwardedFields(
    const http::fields& fields) const {
  return EndToEndFields(fields);
}

AnswerHead NativeCallerDialect::MakeLocalAnswer(
    const LocalAnswer& answer) const {
  const ReasonTraits& traits = TraitsOf(answer.reason);
  AnswerHead head;
  head.status = traits.status;
  head.headers = {
      {"Content-Type", "text/plain"},
      {"Bulrushmount-Outcome", std::string(ToToken(answer.outcome))},
      {"Bulrushmount-Reason", std::string(traits.token)}};
  const std::optional<Duration> retry_after =
      answer.retry_after ? answer.retry_after : traits.retry_after;
  if (retry_after) {
    // HTTP allows whole seconds only; rounded up so that callers do not retry
    // too early.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retry_after);
    head.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  if (!answer.request_id.value().empty()) {
    head.headers.push_back(
        {"Bulrushmount-Request-Id", answer.request_id.value()});
  }
  return head;
}

void NativeCallerDialect::AddAnswerFields(const RequestId& request_id,
                                          AnswerHead& head) const {
  head.headers.push_back(
      {"Bulrushmount-Outcome", std::string(ToToken(Outcome::kAnswered))});
  head.headers.push_back({"Bulrushmount-Request-Id", request_id.value()});
}

const CallerDialect& DefaultCallerDialect() {
  static const NativeCallerDialect dialect;
  return dialect;
}

AnswerHead MakeOutcomeHead(Outcome outcome,
                           Reason reason,
                           const RequestId& request_id) {
  return DefaultCallerDialect().MakeLocalAnswer(
      LocalAnswer{outcome, reason, std::nullopt, request_id});
}

std::string MakeOutcomeBody(Outcome outcome, Reason reason) {
  return fmt::format("{}: {}\n", ToToken(outcome), TraitsOf(reason).token);
}

}  // namespace bulrushmount

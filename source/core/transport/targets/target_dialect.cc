// Part of `target_dialect.h`.

#include "core/transport/targets/target_dialect.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/common/decimal.h"

namespace bulrushmount {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::string_view kRateLimitField = "Bulrushmount-Rate-Limit";
constexpr std::string_view kLeavingField = "Bulrushmount-Leaving";

}  // namespace

void ReadNotice(const boost::beast::http::fields& fields,
                std::string_view rate_limit_field,
                std::string_view leaving_field,
                TargetVerdict& verdict) {
  verdict.notice.is_leaving = fields[leaving_field] == "1";
  const auto named = fields.find(rate_limit_field);
  if (named == fields.end())
    return;
  verdict.notice.rate_limit = ParseNonNegative(named->value());
  verdict.is_rate_limit_stated = verdict.notice.rate_limit.has_value();
}

void NativeTargetDialect::AddRequestFields(const WorkHead& work,
                                           const InstanceId&,
                                           Duration time_left,
                                           RequestHead& head) const {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  head.headers.push_back({"Bulrushmount-Workspace", work.workspace.value()});
  head.headers.push_back({"Bulrushmount-Request-Id", work.request_id.value()});
  head.headers.push_back(
      {"Bulrushmount-Deadline-Ms",
       std::to_string(std::max<std::int64_t>(1, milliseconds))});
}

TargetVerdict NativeTargetDialect::ReadAnswer(
    const RequestId&,
    int status,
    const boost::beast::http::fields& fields) const {
  TargetVerdict verdict;
  verdict.is_shed =
      status == kUnavailable && fields["Bulrushmount-Shed"] == "1";
  ReadNotice(fields, kRateLimitField, kLeavingField, verdict);
  return verdict;
}

HealthVerdict NativeTargetDialect::ReadHealth(
    int status,
    const boost::beast::http::fields&) const {
  HealthVerdict verdict;
  verdict.is_healthy = status == kOk;
  return verdict;
}

const TargetDialect& DefaultTargetDialect() {
  static const NativeTargetDialect dialect;
  return dialect;
}

}  // namespace bulrushmount

// Part of `target_dialect.h`.

#include "core/transport/targets/target_dialect.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace bulrushmount {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

}  // namespace

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

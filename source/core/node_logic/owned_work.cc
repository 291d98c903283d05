// Implements `owned_work.h`.

#include "core/node_logic/owned_work.h"

#include <cmath>

#include "core/common/hex.h"
#include "core/common/logging.h"

namespace bulrushmount::detail {

namespace {

// Rounded to two decimals for the log.
double Milliseconds(Duration duration) {
  return std::round(ToMilliseconds(duration) * 100) / 100;
}

}  // namespace

void LogEndedWork(TimePoint now,
                  const OwnedWork& work,
                  std::string_view result,
                  const LoadReport& load,
                  const TargetSpeed& speed) {
  LogLine line(LogLevel::kInfo, "work.ended");
  line.Add("request_id", work.head.request_id)
      .Add("entry", ToHex(work.head.entry))
      .Add("kind", work.head.kind)
      .Add("priority", work.head.priority)
      .Add("result", result)
      .Add("status", work.status)
      .Add("handed_over", work.is_handed_over)
      .Add("wait_ms", Milliseconds(work.WaitedAt(now)));
  if (work.is_handed_over) {
    line.Add("run_ms", Milliseconds(now - work.started_at))
        .Add("running_at_start", work.running_at_start)
        .Add("slowdown_at_start", work.slowdown_at_start)
        .Add("slowdown_age_ms", Milliseconds(work.slowdown_age));
  }
  line.Add("slowdown", speed.slowdown())
      .Add("reported_ms_ago", Milliseconds(speed.AgeAt(now)))
      .Add("running", load.in_flight)
      .Add("queued", load.queued)
      .Add("limit", load.limit)
      .Add("left_ms", Milliseconds(work.deadline - now));
  if (load.notice.rate_limit)
    line.Add("rate_limit", *load.notice.rate_limit);
  if (load.notice.is_leaving)
    line.Add("leaving", true);
}

}  // namespace bulrushmount::detail

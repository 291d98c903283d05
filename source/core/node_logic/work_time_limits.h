// The time limits of the requests that the target of an owner runs. The entry
// ends an overdue request and cancels it at its owner; the limits here bound
// the time for which it occupies the target and a connection if that
// cancellation is lost.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_WORK_TIME_LIMITS_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_WORK_TIME_LIMITS_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/common/deadline_set.h"
#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/node_logic/node_settings.h"
#include "core/node_logic/owned_work.h"

namespace bulrushmount::detail {

class WorkTimeLimits {
 public:
  explicit WorkTimeLimits(const NodeSettings& settings)
      : m_max_answer_time(settings.has_route_document
                              ? std::nullopt
                              : std::optional(settings.max_answer_time)) {}

  // The work is handed to the target.
  void OnStarted(WorkId id, OwnedWork& work) {
    work.overdue_at = work.deadline + kCancellationTime;
    m_limits.Add(work.overdue_at, id);
  }

  // The first byte of the answer has arrived. With a routing document the
  // deadline of the request remains its limit.
  void OnAnswerBegun(WorkId id, OwnedWork& work) {
    if (!m_max_answer_time)
      return;
    m_limits.Remove(work.overdue_at, id);
    work.overdue_at =
        std::max(work.overdue_at, work.started_at + *m_max_answer_time);
    m_limits.Add(work.overdue_at, id);
  }

  void OnEnded(WorkId id, const OwnedWork& work) {
    m_limits.Remove(work.overdue_at, id);
  }

  std::optional<WorkId> TakeOverdue(TimePoint now) {
    return m_limits.TakeExpired(now);
  }

  TimePoint NextWakeup() const { return m_limits.Next(); }

 private:
  // Time for the cancellation by the entry to arrive.
  static constexpr Duration kCancellationTime = std::chrono::milliseconds(100);

  // Empty if the deadline of a request limits its complete answer.
  std::optional<Duration> m_max_answer_time;
  // Works that are handed over, each by its `overdue_at`.
  DeadlineSet<WorkId> m_limits;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_WORK_TIME_LIMITS_H_

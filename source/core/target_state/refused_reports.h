// Limits the log lines about refused target reports, since a faulty sender
// repeats the same fault several times a second.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_REPORTS_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_REPORTS_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class RefusedReports {
 public:
  // Within kResetAfter, each fault of a sender is logged once, and at most this
  // many lines are logged. The metric counts all refused reports.
  static constexpr std::size_t kMaxLogged = 64;
  static constexpr Duration kResetAfter = std::chrono::minutes(10);

  bool ShouldLog(TimePoint now,
                 const InstanceId& sender,
                 std::string_view fault) {
    if (now - m_reset_at > kResetAfter) {
      m_logged.clear();
      m_reset_at = now;
    }
    if (m_logged.size() >= kMaxLogged)
      return false;
    return m_logged.emplace(sender.value(), fault).second;
  }

 private:
  // Sender and fault of each logged line; at most kMaxLogged.
  std::set<std::pair<std::string, std::string>> m_logged;
  TimePoint m_reset_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_REPORTS_H_

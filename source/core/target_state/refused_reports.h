// Limits log lines about refused target reports. A faulty sender repeats the
// same fault several times a second.

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
  // Each fault of a sender is logged once; at most this many lines within
  // kForgetAfter. The metric counts all of them.
  static constexpr std::size_t kMaxReported = 64;
  static constexpr Duration kForgetAfter = std::chrono::minutes(10);

  bool ShouldLog(TimePoint now,
                 const InstanceId& sender,
                 std::string_view fault) {
    if (now - m_since > kForgetAfter) {
      m_reported.clear();
      m_since = now;
    }
    if (m_reported.size() >= kMaxReported)
      return false;
    return m_reported.emplace(sender.value(), fault).second;
  }

 private:
  // At most kMaxReported.
  std::set<std::pair<std::string, std::string>> m_reported;
  TimePoint m_since;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_REPORTS_H_

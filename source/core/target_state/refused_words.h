// Words about targets that were not taken: which of them are worth a line of
// the log. Whoever speaks wrongly does so again and again, some times a second.

#ifndef BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_WORDS_H_
#define BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_WORDS_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class RefusedWords {
 public:
  // Of one speaker each fault once; at most this many lines in any
  // kForgetAfter. The metric counts what is not told.
  static constexpr std::size_t kMostTold = 64;
  // An operator who comes back to the log finds what still goes wrong.
  static constexpr Duration kForgetAfter = std::chrono::minutes(10);

  bool IsWorthALine(TimePoint now,
                    const InstanceId& speaker,
                    std::string_view fault) {
    if (now - m_since > kForgetAfter) {
      m_told.clear();
      m_since = now;
    }
    if (m_told.size() >= kMostTold)
      return false;
    return m_told.emplace(speaker.value(), fault).second;
  }

 private:
  // At most kMostTold.
  std::set<std::pair<std::string, std::string>> m_told;
  TimePoint m_since;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TARGET_STATE_REFUSED_WORDS_H_

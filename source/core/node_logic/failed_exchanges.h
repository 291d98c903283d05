// Collects failed exchanges with a target that may have crashed. Where a lost
// answer alone does not indicate a crash, their requests become crash suspects
// only when a refused connection or a replacement process confirms it.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

#include <deque>
#include <vector>

#include "core/common/time.h"
#include "core/quarantine/quarantine.h"

namespace bulrushmount::detail {

class FailedExchanges {
 public:
  void Add(TimePoint now, const AdmittedWork& work);
  // Removes all and returns those that may have caused the crash.
  std::vector<AdmittedWork> TakeRecent(TimePoint now);

 private:
  struct FailedWork {
    TimePoint at;
    AdmittedWork work;
  };

  void RemoveExpired(TimePoint now);

  // Oldest first; bounded.
  std::deque<FailedWork> m_works;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

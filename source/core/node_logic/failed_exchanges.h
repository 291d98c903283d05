// Collects exchanges that broke off at a target that may have crashed. Where a
// lost answer alone is no sign of a crash, they become crash suspects only when
// a refused connection or a successor confirms it.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

#include <deque>
#include <vector>

#include "core/common/time.h"
#include "core/quarantine/quarantine.h"

namespace bulrushmount::detail {

class FailedExchanges {
 public:
  void Note(TimePoint now, const AdmittedWork& work);
  // Removes all; returns those that may have caused the crash.
  std::vector<AdmittedWork> TakeRecent(TimePoint now);

 private:
  struct FailedWork {
    TimePoint at;
    AdmittedWork work;
  };

  void Forget(TimePoint now);

  // Newest last; bounded.
  std::deque<FailedWork> m_works;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

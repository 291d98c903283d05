// Collects failed exchanges with a target that may have crashed. Where a lost
// answer alone does not indicate a crash, their requests become crash suspects
// only when a refused connection or a replacement process confirms it. Their
// entries get the reason of the failure once the process has been checked.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/quarantine/quarantine.h"

namespace bulrushmount::detail {

class FailedExchanges {
 public:
  void Add(TimePoint now, WorkId id, const AdmittedWork& work);
  // The entry no longer waits for the work.
  void OnCancelled(WorkId id);
  // Removes and returns the works whose entries wait and that failed at
  // `failed_until` or before.
  std::vector<WorkId> TakeWaiting(TimePoint failed_until);
  std::size_t waiting() const { return m_waiting.size(); }
  // Removes all and returns those that may have caused the crash.
  std::vector<AdmittedWork> TakeRecent(TimePoint now);

 private:
  struct FailedWork {
    TimePoint at;
    AdmittedWork work;
  };

  struct WaitingWork {
    TimePoint at;
    WorkId id;
  };

  void RemoveExpired(TimePoint now);

  // Oldest first; bounded.
  std::deque<FailedWork> m_works;
  // Works whose entries wait for the reason; oldest first.
  std::vector<WaitingWork> m_waiting;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_FAILED_EXCHANGES_H_

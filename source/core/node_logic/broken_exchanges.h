// Exchanges with a target that broke off while nobody knew whether it had gone
// down. Where one lost answer is no sign of a crash, they accuse nobody until a
// refused connection or a successor shows that there was one.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_BROKEN_EXCHANGES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_BROKEN_EXCHANGES_H_

#include <deque>
#include <vector>

#include "core/common/time.h"
#include "core/quarantine/quarantine.h"

namespace bulrushmount::detail {

class BrokenExchanges {
 public:
  void Note(TimePoint now, const AdmittedWork& work);
  // Those that may have been the crash; forgets all.
  std::vector<AdmittedWork> TakeRecent(TimePoint now);

 private:
  struct BrokenWork {
    TimePoint at;
    AdmittedWork work;
  };

  void Forget(TimePoint now);

  // Newest last; bounded.
  std::deque<BrokenWork> m_works;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_BROKEN_EXCHANGES_H_

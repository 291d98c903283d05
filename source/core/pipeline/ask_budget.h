// How many owners an entry may ask for one call, by how often owners of the
// service have refused of late.
//
// Load pattern: a target in four is disturbed, and a call that is refused there
// finds an undisturbed one at the next owner or the one after it. But once all
// targets are full, all owners refuse: six questions for each call then take
// the processor time of nodes that need it for answers, without a better start
// for anybody.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_ASK_BUDGET_H_
#define BULRUSHMOUNT_CORE_PIPELINE_ASK_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>

#include "core/common/decaying_sum.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class AskBudget {
 public:
  void SetFleetSize(std::size_t nodes) {
    m_nodes = std::max<std::size_t>(nodes, 1);
  }

  void OnCall(TimePoint now, const ServiceName& service) {
    m_services[service].calls.Add(now, 1);
  }
  void OnRefused(TimePoint now, const ServiceName& service) {
    m_services[service].refusals.Add(now, 1);
  }

  // Whether a call may turn to another owner once this one has refused.
  // `owners` of the service.
  bool MayAskMore(TimePoint now,
                  const ServiceName& service,
                  std::size_t owners) {
    const Recent& recent = m_services[service];
    return recent.refusals.At(now) <=
           FreeRefusals(owners) + kRefusalsForACall * recent.calls.At(now);
  }

 private:
  // Time constant of "recent": as in AdaptiveThrottle.
  static constexpr Duration kMemory = std::chrono::milliseconds(500);
  // Where a third of the targets is disturbed, half a refusal for each call
  // finds an undisturbed one; twice that leaves room for chance.
  static constexpr double kRefusalsForACall = 1.0;
  // What each owner may refuse beyond that, a second, for the fleet together: a
  // fortieth of the requests that a node with a tenth of a core can decide on.
  static constexpr double kFreeRefusalsOfAnOwner = 25;

  struct Recent {
    DecayingSum calls{kMemory};
    DecayingSum refusals{kMemory};
  };

  // This entry's part, within kMemory.
  double FreeRefusals(std::size_t owners) const {
    return kFreeRefusalsOfAnOwner * ToSeconds(kMemory) *
           static_cast<double>(owners) / static_cast<double>(m_nodes);
  }

  std::size_t m_nodes = 1;
  std::map<ServiceName, Recent> m_services;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ASK_BUDGET_H_

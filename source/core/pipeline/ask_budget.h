// Limits how many owners an entry tries for one call, based on how often the
// owners of the service have refused recently.
//
// Load pattern: while one target in four is slow, a call refused there finds an
// unaffected target at the next owner or the one after it. Once all targets are
// full, all owners refuse: six attempts per call then use processor time that
// the nodes need for answers, and no call starts sooner.

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
  // `has_room`, here and below: the target could have run another call
  // concurrently.
  void OnAnswered(TimePoint now, const ServiceName& service, bool has_room) {
    Recent& recent = m_services[service];
    recent.answers.Add(now, 1);
    if (has_room)
      recent.answers_with_room.Add(now, 1);
  }
  void OnRefused(TimePoint now, const ServiceName& service, bool has_room) {
    Recent& recent = m_services[service];
    const bool are_all_full = !has_room && AreAllFull(now, recent);
    recent.refusals.Add(now, are_all_full ? kRefusalWeightWhenFull : 1);
  }

  // Whether a call may try another owner after a refusal. `owners` is the
  // number of owners of the service.
  bool MayTryAnotherOwner(TimePoint now,
                          const ServiceName& service,
                          std::size_t owners) {
    const Recent& recent = m_services[service];
    return recent.refusals.At(now) <=
           FreeRefusals(owners) + kRefusalsPerCall * recent.calls.At(now);
  }

 private:
  // Time constant of the decaying sums, as in AdaptiveThrottle.
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);
  // If a third of the targets is slow, half a refusal per call is enough to
  // find an unaffected one. Twice that allows for random variation.
  static constexpr double kRefusalsPerCall = 1.0;
  // While all targets are full, one call in three may still be tried at a
  // second owner, which shows when there is room again.
  static constexpr double kRefusalWeightWhenFull = 3.0;
  // All targets are taken to be full below this share of answers from targets
  // with room.
  static constexpr double kMinShareWithRoom = 0.1;
  // Additional refusals per second that each owner may cause, for all entries
  // together: a fortieth of the requests that a node with a tenth of a core can
  // handle.
  static constexpr double kFreeRefusalsPerOwnerPerSecond = 25;

  struct Recent {
    DecayingSum calls{kTimeConstant};
    DecayingSum refusals{kTimeConstant};
    DecayingSum answers{kTimeConstant};
    DecayingSum answers_with_room{kTimeConstant};
  };

  // False without recent answers.
  static bool AreAllFull(TimePoint now, const Recent& recent) {
    const double answers = recent.answers.At(now);
    return answers >= 1 &&
           recent.answers_with_room.At(now) < kMinShareWithRoom * answers;
  }

  // This entry's share of the additional refusals within kTimeConstant.
  double FreeRefusals(std::size_t owners) const {
    return kFreeRefusalsPerOwnerPerSecond * ToSeconds(kTimeConstant) *
           static_cast<double>(owners) / static_cast<double>(m_nodes);
  }

  std::size_t m_nodes = 1;
  std::map<ServiceName, Recent> m_services;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_ASK_BUDGET_H_

// Remembers which requests were answered recently. A request that crashes its
// target is never answered, so one that many callers send is known to be
// harmless when it is in progress at a crash.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_FINISHED_REQUESTS_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_FINISHED_REQUESTS_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class FinishedRequests {
 public:
  void Add(TimePoint now, Fingerprint fingerprint) {
    m_slots[SlotOf(fingerprint)] = {fingerprint, now + kMemory};
  }

  bool Contains(TimePoint now, Fingerprint fingerprint) const {
    const Slot& slot = m_slots[SlotOf(fingerprint)];
    return slot.fingerprint == fingerprint && now < slot.until;
  }

 private:
  // Longer than the news of a crash takes to reach all nodes.
  static constexpr Duration kMemory = std::chrono::seconds(10);
  static constexpr std::size_t kSlots = 512;

  struct Slot {
    Fingerprint fingerprint;
    TimePoint until;
  };

  static std::size_t SlotOf(Fingerprint fingerprint) {
    return fingerprint.value() % kSlots;
  }

  // The last request of each slot.
  std::array<Slot, kSlots> m_slots;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_FINISHED_REQUESTS_H_

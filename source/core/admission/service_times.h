// How long the target takes for a request, learnt kind by kind: a weight says
// what a request costs its workspace, not how long it runs.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_
#define BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class ServiceTimes {
 public:
  // `initial` is for a request of weight 1 while nothing has been learnt.
  explicit ServiceTimes(Duration initial);

  // From handing over to the first byte of the answer.
  void OnFirstByte(const KindName& kind, double weight, Duration elapsed);
  // From handing over to the end: how long the slot was taken.
  void OnSlotFreed(const KindName& kind, double weight, Duration elapsed);
  // The work was cut short after `elapsed`: it would have taken longer. Counts
  // only if that is longer than expected. Without it, a target that slows
  // beyond all deadlines would keep its old figures.
  void OnCutShort(const KindName& kind, double weight, Duration elapsed);

  Duration FirstByte(const KindName& kind, double weight) const;
  // Within which six in seven first bytes come, where times spread about as
  // much above their mean as below.
  Duration LikelyFirstByte(const KindName& kind, double weight) const;
  Duration SlotTime(const KindName& kind, double weight) const;

  // A request has been answered.
  bool is_known() const { return m_per_unit.first_bytes > 0; }

  // Recent means for a request of weight 1, over all kinds.
  Duration first_byte_per_unit() const;
  Duration slot_time_per_unit() const;

 private:
  // Exponentially weighted means, in seconds.
  struct Means {
    double first_byte = 0;
    double slot_time = 0;
    // How far first bytes are from their mean.
    double first_byte_deviation = 0;
    // How many of each have been learnt.
    std::uint32_t first_bytes = 0;
    std::uint32_t slot_times = 0;
  };

  // Null if there are too many kinds.
  Means* Learn(const KindName& kind, double weight);

  // A kind starts from these, times its weight.
  Means m_per_unit;
  std::unordered_map<KindName, Means> m_kinds;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_

// Estimates of the target's service time for each request kind. They are
// measured per kind because a request's weight is its cost to the workspace,
// not its run time.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_
#define BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class ServiceTimes {
 public:
  // `initial` is the estimate for a request of weight 1 until there are
  // samples.
  explicit ServiceTimes(Duration initial);

  // `elapsed`: from handing the request to the target until the first byte of
  // the answer.
  void OnFirstByte(const KindName& kind, double weight, Duration elapsed);
  // `elapsed`: how long the request held its slot.
  void OnSlotFreed(const KindName& kind, double weight, Duration elapsed);
  // The request was aborted after `elapsed`, so it would have taken longer;
  // counts only if that exceeds the estimate. Without this, a target that slows
  // down beyond all deadlines would keep its old estimates.
  void OnAborted(const KindName& kind, double weight, Duration elapsed);

  Duration FirstByte(const KindName& kind, double weight) const;
  // Time within which about six of seven first bytes arrive, if service times
  // are spread symmetrically around their mean.
  Duration LikelyFirstByte(const KindName& kind, double weight) const;
  Duration SlotTime(const KindName& kind, double weight) const;

  // Whether any request has been answered.
  bool has_samples() const { return m_per_unit.first_bytes > 0; }

  // Recent means over all kinds for a request of weight 1.
  Duration first_byte_per_unit() const;
  Duration slot_time_per_unit() const;

 private:
  // Exponentially weighted means, in seconds.
  struct Means {
    double first_byte = 0;
    double slot_time = 0;
    // Mean absolute deviation of the time to the first byte.
    double first_byte_deviation = 0;
    // Number of samples in each mean.
    std::uint32_t first_bytes = 0;
    std::uint32_t slot_times = 0;
  };

  // Returns the means of the kind and creates them if needed; null if there are
  // already kMaxKinds others.
  Means* MeansOf(const KindName& kind, double weight);

  // Over all kinds. The means of a new kind start at these times its weight.
  Means m_per_unit;
  std::unordered_map<KindName, Means> m_kinds;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_SERVICE_TIMES_H_

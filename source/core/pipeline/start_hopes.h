// How slow a start an entry accepts, service by service.
//
// Load pattern: after all targets were restarted, or at a load that crowds all
// of them, none offers a fast start, and each call would ask four owners in
// vain before it takes the least slow offer. What calls had to take a moment
// ago is accepted at once.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_
#define BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_

#include <algorithm>
#include <unordered_map>

#include "core/admission/start_estimate.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class StartHopes {
 public:
  // No owner offered better than this, and the call took it.
  void OnTaken(TimePoint now, const ServiceName& service, double slowdown) {
    m_taken[service] = {slowdown, now};
  }

  double Acceptable(TimePoint now, const ServiceName& service) const {
    const auto found = m_taken.find(service);
    if (found == m_taken.end() || now - found->second.at >= kMemory)
      return kAcceptableSlowdown;
    return std::max(kAcceptableSlowdown, found->second.slowdown);
  }

 private:
  // Shorter than a disturbance lasts, so that hope returns with the next quiet
  // moment.
  static constexpr Duration kMemory = std::chrono::milliseconds(100);

  struct Taken {
    double slowdown = 1.0;
    TimePoint at;
  };

  std::unordered_map<ServiceName, Taken> m_taken;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_

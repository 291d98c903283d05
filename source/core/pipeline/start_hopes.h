// How slow a start an entry accepts, service by service.
//
// Load pattern: after all targets were restarted, or at a load that crowds all
// of them, none offers a fast start, and each call would ask four owners in
// vain before it takes the least slow offer. What calls had to take a moment
// ago is accepted at once, and so is what is hardly worse than the best that
// the owners told of late.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_
#define BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_

#include <algorithm>
#include <cstddef>
#include <limits>
#include <unordered_map>

#include "core/admission/start_estimate.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class StartHopes {
 public:
  // No owner offered better than this, and the call took it.
  void OnTaken(TimePoint now, const ServiceName& service, double slowdown) {
    m_services[service].taken = {slowdown, now};
  }

  // An owner told what a start at its target would take.
  void OnTold(TimePoint now,
              const ServiceName& service,
              NodeId owner,
              double slowdown) {
    Service& known = m_services[service];
    if (known.told.size() >= kMaxOwners && !known.told.contains(owner))
      known.told.clear();
    known.told[owner] = {slowdown, now};
  }

  // `enough`: owners whose words are needed before the best of them is taken
  // for the best there is.
  double Acceptable(TimePoint now,
                    const ServiceName& service,
                    std::size_t enough) const {
    const auto found = m_services.find(service);
    if (found == m_services.end())
      return kAcceptableSlowdown;
    double acceptable = kAcceptableSlowdown;
    const Word& taken = found->second.taken;
    if (now - taken.at < kTakenMemory)
      acceptable = std::max(acceptable, taken.slowdown);
    return std::max(acceptable, HardlyWorse(now, found->second, enough));
  }

 private:
  // Shorter than a disturbance lasts, so that hope returns with the next quiet
  // moment.
  static constexpr Duration kTakenMemory = std::chrono::milliseconds(100);
  // About as long as a disturbance lasts: until then a word holds more often
  // than not.
  static constexpr Duration kToldMemory = std::chrono::milliseconds(300);
  // A tenth more costs less than another round trip does.
  static constexpr double kHardlyWorse = 1.1;
  // More owners than a service has; beyond it the words begin anew.
  static constexpr std::size_t kMaxOwners = 4096;

  struct Word {
    double slowdown = 0;
    TimePoint at{};
  };

  struct Service {
    Word taken;
    std::unordered_map<NodeId, Word> told;
  };

  // 0 while too few owners have told.
  static double HardlyWorse(TimePoint now,
                            const Service& service,
                            std::size_t enough) {
    std::size_t fresh = 0;
    double best = std::numeric_limits<double>::infinity();
    for (const auto& [owner, word] : service.told) {
      if (now - word.at >= kToldMemory)
        continue;
      ++fresh;
      best = std::min(best, word.slowdown);
    }
    return fresh > 0 && fresh >= enough ? kHardlyWorse * best : 0.0;
  }

  std::unordered_map<ServiceName, Service> m_services;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_START_HOPES_H_

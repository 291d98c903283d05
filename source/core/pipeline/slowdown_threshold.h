// Tracks, per service, the largest slowdown at which an entry still accepts an
// owner's offer.
//
// Load pattern: after a synchronized restart, or at a load that fills all
// targets, no owner offers a fast start, and each call would try several owners
// before it takes the offer with the smallest slowdown. So a slowdown that
// calls accepted recently is accepted at once, and so is one close to the
// smallest reported.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_SLOWDOWN_THRESHOLD_H_
#define BULRUSHMOUNT_CORE_PIPELINE_SLOWDOWN_THRESHOLD_H_

#include <algorithm>
#include <cstddef>
#include <limits>
#include <unordered_map>

#include "core/admission/start_estimate.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class SlowdownThreshold {
 public:
  // The call accepted this offer as the best one available.
  void OnTaken(TimePoint now, const ServiceName& service, double slowdown) {
    m_services[service].taken = {slowdown, now};
  }

  // An owner reported the slowdown of a start at its target.
  void OnReported(TimePoint now,
                  const ServiceName& service,
                  NodeId owner,
                  double slowdown) {
    Service& known = m_services[service];
    if (known.reports.size() >= kMaxOwners && !known.reports.contains(owner))
      known.reports.clear();
    known.reports[owner] = {slowdown, now};
  }

  // `enough`: number of reporting owners from which the smallest reported
  // slowdown is representative.
  double Acceptable(TimePoint now,
                    const ServiceName& service,
                    std::size_t enough) const {
    const auto found = m_services.find(service);
    if (found == m_services.end())
      return kAcceptableSlowdown;
    double acceptable = kAcceptableSlowdown;
    const Report& taken = found->second.taken;
    if (now - taken.at < kAcceptedOfferTtl)
      acceptable = std::max(acceptable, taken.slowdown);
    return std::max(acceptable, NearBestSlowdown(now, found->second, enough));
  }

 private:
  // Expires before interference typically ends, so the threshold recovers.
  static constexpr Duration kAcceptedOfferTtl = std::chrono::milliseconds(100);
  // About as long as interference lasts.
  static constexpr Duration kReportTtl = std::chrono::milliseconds(300);
  // A start that is slower by a tenth costs less than another round trip.
  static constexpr double kNearBestFactor = 1.1;
  // Bounds memory; larger than the number of owners of any service.
  static constexpr std::size_t kMaxOwners = 4096;

  struct Report {
    double slowdown = 0;
    TimePoint at{};
  };

  struct Service {
    Report taken;
    std::unordered_map<NodeId, Report> reports;
  };

  // The largest slowdown that is close to the smallest reported; 0 while too
  // few reports are fresh.
  static double NearBestSlowdown(TimePoint now,
                                 const Service& service,
                                 std::size_t enough) {
    std::size_t fresh = 0;
    double best = std::numeric_limits<double>::infinity();
    for (const auto& [owner, report] : service.reports) {
      if (now - report.at >= kReportTtl)
        continue;
      ++fresh;
      best = std::min(best, report.slowdown);
    }
    return fresh > 0 && fresh >= enough ? kNearBestFactor * best : 0.0;
  }

  std::unordered_map<ServiceName, Service> m_services;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_SLOWDOWN_THRESHOLD_H_

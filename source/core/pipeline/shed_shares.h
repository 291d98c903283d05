// Tracks which share of the requests that reach a service's targets is shed.
//
// Load pattern: for some seconds the targets of a service reject half of their
// requests at random, although their owners keep them below their limits. The
// retry budget covers few of these, so most callers have to retry themselves.
// The next attempt is as likely to succeed after 20 ms as after 300 ms, but
// only the early one meets the latency objective. Targets that shed nearly
// everything are given more time.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_SHED_SHARES_H_
#define BULRUSHMOUNT_CORE_PIPELINE_SHED_SHARES_H_

#include <chrono>
#include <unordered_map>

#include "core/common/decaying_sum.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

class ShedShares {
 public:
  void OnAnswered(TimePoint now, const ServiceName& service) {
    m_services[service].answered.Add(now, 1);
  }
  void OnShed(TimePoint now, const ServiceName& service) {
    m_services[service].shed.Add(now, 1);
  }

  // Whether an immediate retry of a shed request is likely to succeed: at least
  // one in ten recent requests was answered.
  bool IsImmediateRetryWorthwhile(TimePoint now,
                                  const ServiceName& service) const {
    const auto found = m_services.find(service);
    if (found == m_services.end())
      return false;
    const double answered = found->second.answered.At(now);
    const double shed = found->second.shed.At(now);
    return answered >= kMinAnsweredShare * (answered + shed);
  }

 private:
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(500);
  static constexpr double kMinAnsweredShare = 0.1;

  struct Recent {
    DecayingSum answered{kTimeConstant};
    DecayingSum shed{kTimeConstant};
  };

  std::unordered_map<ServiceName, Recent> m_services;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_SHED_SHARES_H_

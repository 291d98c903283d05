// An exponentially decaying sum of amounts.

#ifndef BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_
#define BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_

#include <cmath>

#include "core/common/time.h"

namespace bulrushmount {

class DecayingSum {
 public:
  // After `time_constant` the weight of an amount is 1/e.
  explicit DecayingSum(Duration time_constant)
      : m_time_constant(time_constant) {}

  void Add(TimePoint now, double amount) {
    m_sum = At(now) + amount;
    m_as_of = now;
  }

  // `now` must not be earlier than the last `Add`.
  double At(TimePoint now) const {
    return m_sum *
           std::exp(-ToSeconds(now - m_as_of) / ToSeconds(m_time_constant));
  }

 private:
  Duration m_time_constant;
  double m_sum = 0;
  TimePoint m_as_of{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_

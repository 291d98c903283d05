// A sum of recent amounts, each of which weighs less as time passes.

#ifndef BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_
#define BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_

#include <cmath>

#include "core/common/time.h"

namespace bulrushmount {

class DecayingSum {
 public:
  // After `memory` an amount weighs 1/e.
  explicit DecayingSum(Duration memory) : m_memory(memory) {}

  void Add(TimePoint now, double amount) {
    m_sum = At(now) + amount;
    m_as_of = now;
  }

  // `now` is not before the last `Add`.
  double At(TimePoint now) const {
    return m_sum * std::exp(-ToSeconds(now - m_as_of) / ToSeconds(m_memory));
  }

 private:
  Duration m_memory;
  double m_sum = 0;
  TimePoint m_as_of{};
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_DECAYING_SUM_H_

// A circuit breaker for the table: after consecutive failures calls are refused
// immediately instead of waiting for a timeout.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_STORE_CIRCUIT_BREAKER_H_
#define BULRUSHMOUNT_CORE_CLAIMS_STORE_CIRCUIT_BREAKER_H_

#include "core/common/time.h"

namespace bulrushmount::detail {

class StoreCircuitBreaker {
 public:
  StoreCircuitBreaker(int failures_to_open, Duration trial_interval)
      : m_failures_to_open(failures_to_open),
        m_trial_interval(trial_interval) {}

  // Returns whether a request may be sent now. While the breaker is open, one
  // request is let through per trial interval.
  bool Allow(TimePoint now) {
    if (!is_open())
      return true;
    if (now < m_next_trial)
      return false;
    m_next_trial = now + m_trial_interval;
    return true;
  }

  void OnSuccess() { m_failures = 0; }

  void OnFailure(TimePoint now) {
    const bool was_open = is_open();
    ++m_failures;
    if (is_open() && !was_open)
      m_next_trial = now + m_trial_interval;
  }

  bool is_open() const { return m_failures >= m_failures_to_open; }

 private:
  int m_failures_to_open;
  Duration m_trial_interval;
  // Consecutive failures.
  int m_failures = 0;
  // Valid while the breaker is open.
  TimePoint m_next_trial;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_STORE_CIRCUIT_BREAKER_H_

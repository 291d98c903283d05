// Reference implementation of the measuring budget: a single process sees every
// probe of the fleet and counts those in the window.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_NAIVE_BUDGET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_NAIVE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "core/common/time.h"

namespace bulrushmount {

// One probe that was sent.
struct ProbeRecord {
  TimePoint sent_at;
  // Answered, or timed out with its connection closed.
  TimePoint ended_at;
  std::size_t node = 0;
};

class NaiveBudget {
 public:
  NaiveBudget(std::size_t probes, Duration window, std::size_t in_flight)
      : m_probes(probes), m_window(window), m_in_flight(in_flight) {}

  // Whether a probe at this time is within the budget after the recorded ones.
  bool Allows(TimePoint sent_at) const {
    const auto in_window = std::count_if(
        m_records.begin(), m_records.end(),
        [&](const auto& r) { return r.sent_at > sent_at - m_window; });
    const auto in_flight =
        std::count_if(m_records.begin(), m_records.end(),
                      [&](const auto& r) { return r.ended_at > sent_at; });
    return static_cast<std::size_t>(in_window) < m_probes &&
           static_cast<std::size_t>(in_flight) < m_in_flight;
  }

  // In the order of `sent_at`.
  void Record(const ProbeRecord& record) {
    std::erase_if(m_records, [&](const auto& r) {
      return r.sent_at <= record.sent_at - m_window &&
             r.ended_at <= record.sent_at;
    });
    m_records.push_back(record);
  }

  void SetLimits(std::size_t probes, std::size_t in_flight) {
    m_probes = probes;
    m_in_flight = in_flight;
  }

 private:
  std::size_t m_probes;
  Duration m_window;
  std::size_t m_in_flight;
  std::vector<ProbeRecord> m_records;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_NAIVE_BUDGET_H_

// Part of `probe_credit.h`.

#include "core/measuring/probe_credit.h"

#include <algorithm>

namespace bulrushmount {

namespace {

// Maximum number of probes of a share that are used in a window.
constexpr std::size_t kMaxProbes = 64;

}  // namespace

TimePoint ProbeCredit::EarliestProbe(TimePoint now,
                                     const SlotShare& share,
                                     const MeasuringSettings& settings) const {
  const std::size_t probes = std::min<std::size_t>(share.probes, kMaxProbes);
  if (probes == 0) {
    return TimePoint::max();
  }
  TimePoint earliest = now;
  if (m_sent.size() >= probes) {
    const TimePoint oldest = m_sent[m_sent.size() - probes];
    earliest = std::max(earliest, oldest + settings.Spacing(share.window));
  }
  return std::max(earliest, IdleAt());
}

void ProbeCredit::Spend(TimePoint now, ProbeId probe, TimePoint gives_up_at) {
  m_sent.push_back(now);
  if (m_sent.size() > kMaxProbes) {
    m_sent.pop_front();
  }
  m_in_flight = InFlight{probe, gives_up_at};
}

void ProbeCredit::OnAnswered(ProbeId probe) {
  if (m_in_flight && m_in_flight->probe == probe) {
    m_in_flight.reset();
  }
}

void ProbeCredit::OnFailed(ProbeId probe) {
  if (m_in_flight && m_in_flight->probe == probe) {
    m_in_flight->has_failed = true;
  }
}

TimePoint ProbeCredit::IdleAt() const {
  if (!m_in_flight) {
    return TimePoint::min();
  }
  return m_in_flight->has_failed ? m_in_flight->gives_up_at : TimePoint::max();
}

}  // namespace bulrushmount

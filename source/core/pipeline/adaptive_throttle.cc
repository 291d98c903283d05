// Part of `adaptive_throttle.h`.

#include "core/pipeline/adaptive_throttle.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bulrushmount {

namespace {

using std::chrono_literals::operator""ms;

// Fewer recent calls than this say nothing, and cost owners little.
constexpr double kLeastCalls = 6;

// Calls that are sent for each answered one. At a full target: just more than
// it answers, since each call that it refuses may cost another one its use. At
// one with room: so that twice as many are sent within kMemory once a burst is
// over.
constexpr double kSentAtFullTarget = 1.05;
constexpr double kSentAtTargetWithRoom = 2.0;

// Some calls are always sent: only their answers tell that there is room again.
constexpr double kMostRefused = 0.8;

// Calls of one request start within this time of each other at its node. Of
// pairs of calls 99 in 100 came within 3 ms to nodes with a tenth of a core.
constexpr Duration kTogether = 4ms;

// Kinds come from the operator; more than this are not throttled.
constexpr std::size_t kMaxClasses = 1024;

}  // namespace

bool AdaptiveThrottle::Admit(TimePoint now,
                             const CallClass& calls,
                             RandomSource& random) {
  Recent* const recent = Find(calls);
  if (!recent)
    return true;
  const bool is_together = now - recent->decided_at <= kTogether;
  if (!is_together) {
    recent->is_admitted = random.Fraction() >= RefusedShare(now, calls);
    recent->decided_at = now;
  }
  if (!recent->is_admitted)
    recent->calls.Add(now, 1);
  return recent->is_admitted;
}

void AdaptiveThrottle::OnAnswered(TimePoint now,
                                  const CallClass& calls,
                                  bool has_room) {
  Recent* const recent = Find(calls);
  if (!recent)
    return;
  recent->calls.Add(now, 1);
  recent->worth_sending.Add(
      now, has_room ? kSentAtTargetWithRoom : kSentAtFullTarget);
}

void AdaptiveThrottle::OnRefused(TimePoint now, const CallClass& calls) {
  if (Recent* const recent = Find(calls))
    recent->calls.Add(now, 1);
}

double AdaptiveThrottle::RefusedShare(TimePoint now,
                                      const CallClass& calls) const {
  const auto found = m_classes.find(calls);
  if (found == m_classes.end())
    return 0;
  const double recent = found->second.calls.At(now);
  if (recent < kLeastCalls)
    return 0;
  const double surplus = recent - found->second.worth_sending.At(now);
  return std::clamp(surplus / recent, 0.0, kMostRefused);
}

AdaptiveThrottle::Recent* AdaptiveThrottle::Find(const CallClass& calls) {
  if (m_classes.size() >= kMaxClasses && !m_classes.contains(calls))
    return nullptr;
  return &m_classes[calls];
}

}  // namespace bulrushmount

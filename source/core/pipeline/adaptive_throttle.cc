// Implements `adaptive_throttle.h`.

#include "core/pipeline/adaptive_throttle.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bulrushmount {

namespace {

using std::chrono_literals::operator""ms;

// With fewer recent calls than this there is no throttling: they give no
// reliable estimate and cost owners little.
constexpr double kMinCalls = 6;

// Calls sent for each answered call. While the target is full: not more than it
// answers, since each call that it refuses may waste another call of the same
// request. While the target has room: enough for the rate to double
// within kTimeConstant after a burst.
constexpr double kSentPerAnswerWhenFull = 1.0;
constexpr double kSentPerAnswerWithRoom = 2.0;

// Some calls are always sent, since only their answers show that there is
// capacity again.
constexpr double kMaxRefusedShare = 0.8;

// Calls of one request arrive at the node within this time of each other. At
// nodes with a tenth of a core 99 % of pairs arrived within 3 ms.
constexpr Duration kSameRequestWindow = 4ms;

// Bounds memory: kinds are configured by the operator, and further ones are not
// throttled.
constexpr std::size_t kMaxClasses = 1024;

}  // namespace

bool AdaptiveThrottle::Admit(TimePoint now,
                             const CallClass& calls,
                             RandomSource& random) {
  Recent* const recent = Find(calls);
  if (!recent)
    return true;
  const bool is_same_request = now - recent->decided_at <= kSameRequestWindow;
  if (!is_same_request) {
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
  recent->capacity.Add(
      now, has_room ? kSentPerAnswerWithRoom : kSentPerAnswerWhenFull);
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
  if (recent < kMinCalls)
    return 0;
  const double surplus = recent - found->second.capacity.At(now);
  return std::clamp(surplus / recent, 0.0, kMaxRefusedShare);
}

AdaptiveThrottle::Recent* AdaptiveThrottle::Find(const CallClass& calls) {
  if (m_classes.size() >= kMaxClasses && !m_classes.contains(calls))
    return nullptr;
  return &m_classes[calls];
}

}  // namespace bulrushmount

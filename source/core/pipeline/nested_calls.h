// Detects which calls the local target makes while serving its own requests
// (nested calls).
//
// Calls of a target arrive at its node like those of any other caller. But a
// target whose call fails answers its own request with an error at once. So if
// failures of a class of calls are usually followed by an error of the local
// target, the calls of that class are nested.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_NESTED_CALLS_H_
#define BULRUSHMOUNT_CORE_PIPELINE_NESTED_CALLS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

#include "core/common/time.h"
#include "core/pipeline/call_class.h"

namespace bulrushmount {

class NestedCalls {
 public:
  // A call of this class was not answered by its service.
  void OnCallFailed(TimePoint now, const CallClass& calls) {
    ExpireFailures(now);
    const bool is_full = m_classes.size() >= kMaxClasses;
    if (m_pending.size() >= kMaxPending ||
        (is_full && !m_classes.contains(calls)))
      return;
    m_pending.push_back({calls, now});
  }

  // The local target answered a request with an error.
  void OnTargetError(TimePoint now) {
    ExpireFailures(now);
    for (const Failure& failure : m_pending)
      UpdateShare(failure.calls, 1.0);
    m_pending.clear();
  }

  // Whether requests of the local target fail when a call of this class fails.
  bool IsNested(const CallClass& calls) const {
    const auto found = m_classes.find(calls);
    return found != m_classes.end() && found->second >= kMinErrorShare;
  }

 private:
  // Longest time between a refusal and the error that it causes: the round trip
  // to a target on the same machine, on a node that is short of processor time.
  static constexpr Duration kErrorWindow = std::chrono::milliseconds(30);
  // At 10 errors per second of the target, 30 % of the failures of unrelated
  // calls are followed by an error by chance.
  static constexpr double kMinErrorShare = 0.6;
  // Weight of one failure in the moving average; five in a row exceed
  // kMinErrorShare.
  static constexpr double kSampleWeight = 0.2;
  // Bounds memory: kinds are configured by the operator, and further ones are
  // not tracked.
  static constexpr std::size_t kMaxClasses = 1024;
  // Bounds memory: more failures within kErrorWindow add no information.
  static constexpr std::size_t kMaxPending = 64;

  struct Failure {
    CallClass calls;
    TimePoint at;
  };

  // Counts failures older than kErrorWindow as not followed by an error.
  void ExpireFailures(TimePoint now) {
    while (!m_pending.empty() && now - m_pending.front().at > kErrorWindow) {
      UpdateShare(m_pending.front().calls, 0.0);
      m_pending.pop_front();
    }
  }

  void UpdateShare(const CallClass& calls, double sample) {
    double& share = m_classes[calls];
    share += kSampleWeight * (sample - share);
  }

  // Failures that an error may still follow, oldest first.
  std::deque<Failure> m_pending;
  // Moving average of the share of failures that an error followed.
  std::map<CallClass, double> m_classes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_NESTED_CALLS_H_

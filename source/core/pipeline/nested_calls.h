// Learns which calls the target beside this node makes for its own requests.
//
// A target's calls come to its node like those of any caller. But a target
// whose call fails answers its request with an error at once. So a kind of call
// whose failures are followed by an error of the target is one that its
// requests need.

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
  // A call of this class got no answer of its service.
  void OnCallFailed(TimePoint now, const CallClass& calls) {
    Forget(now);
    const bool is_full = m_classes.size() >= kMaxClasses;
    if (m_waiting.size() >= kMaxWaiting ||
        (is_full && !m_classes.contains(calls)))
      return;
    m_waiting.push_back({calls, now});
  }

  // The target beside answered a request with an error.
  void OnTargetError(TimePoint now) {
    Forget(now);
    for (const Failure& failure : m_waiting)
      Learn(failure.calls, 1.0);
    m_waiting.clear();
  }

  // Whether requests of the target beside fail with such a call.
  bool IsNested(const CallClass& calls) const {
    const auto found = m_classes.find(calls);
    return found != m_classes.end() && found->second >= kLeastShare;
  }

 private:
  // From the refusal to the error that it causes: the way to a target on the
  // same machine and back, at a node that is short of processor time.
  static constexpr Duration kErrorFollows = std::chrono::milliseconds(30);
  // At 10 errors a second of the target three in ten failures of other calls
  // are followed by one by chance.
  static constexpr double kLeastShare = 0.6;
  // Weight of one failure: five in a row are believed.
  static constexpr double kGain = 0.2;
  // Kinds come from the operator; more than this are not looked at.
  static constexpr std::size_t kMaxClasses = 1024;
  // At this many failures within kErrorFollows the rest says nothing more.
  static constexpr std::size_t kMaxWaiting = 64;

  struct Failure {
    CallClass calls;
    TimePoint at;
  };

  // Failures that no error has followed.
  void Forget(TimePoint now) {
    while (!m_waiting.empty() && now - m_waiting.front().at > kErrorFollows) {
      Learn(m_waiting.front().calls, 0.0);
      m_waiting.pop_front();
    }
  }

  void Learn(const CallClass& calls, double sample) {
    double& share = m_classes[calls];
    share += kGain * (sample - share);
  }

  // Failures that an error may still follow, the oldest first.
  std::deque<Failure> m_waiting;
  // Of recent failures, the part that an error followed.
  std::map<CallClass, double> m_classes;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_NESTED_CALLS_H_

// Runs the calls of an entry node through the filters and tracks their
// deadlines.

#ifndef BULRUSHMOUNT_CORE_PIPELINE_CALL_PIPELINE_H_
#define BULRUSHMOUNT_CORE_PIPELINE_CALL_PIPELINE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/common/deadline_set.h"
#include "core/pipeline/filter.h"

namespace bulrushmount {

// Receives calls that have passed all filters, and the events of calls in
// progress.
class CallSink {
 public:
  virtual ~CallSink() = default;

  // The call has passed every filter.
  virtual void OnCallAccepted(TimePoint now, Call& call) = 0;

  // The call's deadline has passed. If its answer has begun, it has not ended.
  virtual void OnDeadline(TimePoint now, Call& call) = 0;

  // A running call has lost its quarantine permit: its attempt must be
  // cancelled.
  virtual void OnPermitLost(TimePoint now, Call& call) = 0;

  // The call has ended and is removed after this call returns.
  virtual void OnCallEnded(TimePoint now, Call& call, const CallEnd& end) = 0;
};

class CallPipeline : public FilterContinuation {
 public:
  // `sink` must outlive the object.
  explicit CallPipeline(CallSink& sink) : m_sink(sink) {}

  // Filters run in the order in which they are added.
  void AddFilter(std::unique_ptr<CallFilter> filter);

  void Start(TimePoint now, CallId id, CallHead head);

  void Resume(TimePoint now, CallId call, FilterVerdict verdict) override;
  bool TakePermit(CallId call) override;
  void OnPermitLost(TimePoint now, CallId call) override;

  // Ends the call: the filters release what they hold, then the sink is
  // notified.
  void End(TimePoint now, CallId call, const CallEnd& end);

  // Starts the deadline timer; both deadlines of the call must be set.
  void ArmDeadline(Call& call);
  // The first byte of the answer has arrived. From now on the timer is set to
  // the deadline of the complete answer.
  void OnAnswerBegun(TimePoint now, Call& call);

  // Null once the call has ended.
  Call* Find(CallId call);

  void OnTimer(TimePoint now);
  TimePoint NextWakeup() const;

  std::size_t size() const { return m_calls.size(); }

 private:
  struct Entry {
    Call call;
    // True while a filter runs for this call. A verdict that arrives meanwhile
    // is stored below, so that a filter may resume the call before it returns.
    bool is_in_filter = false;
    std::optional<FilterVerdict> early_verdict;
  };

  void RunFilters(TimePoint now, CallId id);
  FilterVerdict RunFilter(TimePoint now, Entry& entry);
  // Applies a verdict. Returns false if the call is held or has ended.
  bool ApplyVerdict(TimePoint now, CallId id, const FilterVerdict& verdict);

  CallSink& m_sink;
  std::vector<std::unique_ptr<CallFilter>> m_filters;
  std::unordered_map<CallId, std::unique_ptr<Entry>> m_calls;
  // The current deadline of each call that has one; see CurrentDeadline.
  DeadlineSet<CallId> m_deadlines;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_PIPELINE_CALL_PIPELINE_H_

// What a node's calls came to, per workspace and kind: latency histograms,
// outcomes, and good and bad calls in sliding windows. Memory is bounded.

#ifndef BULRUSHMOUNT_CORE_REPORTING_CALL_RECORDER_H_
#define BULRUSHMOUNT_CORE_REPORTING_CALL_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"
#include "core/reporting/burn_report.h"

namespace bulrushmount {

// A call that has ended.
struct CallRecord {
  WorkspaceName workspace;
  ServiceName service;
  KindName kind;
  Outcome outcome = Outcome::kAnswered;
  // kNone for an answer relayed.
  Reason reason = Reason::kNone;
  // From arrival to the first byte of the answer.
  Duration latency{};
  // Of the contract's terms at that time.
  LatencyObjective objective;
  double weight = 1.0;
};

// How a call counts towards the objective.
enum class CallVerdict : std::uint8_t {
  // A whole answer, in time.
  kGood,
  // A late answer, an unknown outcome, or a refusal by the system's state.
  kBad,
  // A fault of the request itself or the workspace's own limit: it says
  // nothing of the service.
  kNotCounted,
};

CallVerdict Judge(const CallRecord& record);

inline constexpr char kOtherWorkspace[] = "(other)";
inline constexpr char kOtherKind[] = "(other)";

// Windows move in steps of this; they include the step under way.
inline constexpr Duration kBurnStep = std::chrono::seconds(30);

class CallRecorder {
 public:
  // Beyond `max_series` pairs of workspace and kind, further ones are counted
  // together under the kind kOtherKind of the workspace kOtherWorkspace.
  CallRecorder(TimePoint now, std::size_t max_series);
  ~CallRecorder();

  CallRecorder(const CallRecorder&) = delete;
  CallRecorder& operator=(const CallRecorder&) = delete;

  void Record(TimePoint now, const CallRecord& record);

  // This node's part of the report, to be merged with the other nodes'.
  BurnReport Snapshot(TimePoint now);

  // Forgets a withdrawn contract's series.
  void Forget(const WorkspaceName& workspace);

  std::size_t series_count() const;

 private:
  struct State;

  std::unique_ptr<State> m_state;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_CALL_RECORDER_H_

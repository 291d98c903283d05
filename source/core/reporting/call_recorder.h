// Statistics of a node's calls by workspace, service and kind: latency
// histograms, outcomes, and good and bad calls in sliding windows. Memory is
// bounded.

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
  // kNone for a relayed answer.
  Reason reason = Reason::kNone;
  // From arrival to the first byte of the answer.
  Duration latency{};
  // From the contract in force at that time.
  LatencyObjective objective;
  double weight = 1.0;
};

// How a call counts towards the objective.
enum class CallVerdict : std::uint8_t {
  // A complete answer in time.
  kGood,
  // A late answer, an unknown outcome, or a refusal because of the state of the
  // system.
  kBad,
  // An error in the request itself, or a limit of its workspace, which does not
  // show a problem of the service.
  kNotCounted,
};

CallVerdict ClassifyCall(const CallRecord& record);

inline constexpr char kOtherWorkspace[] = "(other)";
inline constexpr char kOtherKind[] = "(other)";

// Sliding windows advance in steps of this length and include the current step.
inline constexpr Duration kBurnStep = std::chrono::seconds(30);

class CallRecorder {
 public:
  // After `max_series` combinations of workspace, service and kind, further
  // ones are counted together as kind kOtherKind of workspace kOtherWorkspace.
  CallRecorder(TimePoint now, std::size_t max_series);
  ~CallRecorder();

  CallRecorder(const CallRecorder&) = delete;
  CallRecorder& operator=(const CallRecorder&) = delete;

  void Record(TimePoint now, const CallRecord& record);

  // This node's part of the report, to be merged with those of other nodes.
  BurnReport Snapshot(TimePoint now);

  // Removes the series of a withdrawn contract.
  void Forget(const WorkspaceName& workspace);

  std::size_t series_count() const;

 private:
  struct State;

  std::unique_ptr<State> m_state;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_CALL_RECORDER_H_

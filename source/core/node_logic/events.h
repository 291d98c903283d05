// The input events of NodeLogic, as typed values.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_EVENTS_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_EVENTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"
#include "core/store/table_types.h"
#include "core/target_state/target_heartbeat.h"

namespace bulrushmount {

// --- Entry side -------------------------------------------------------------

// The head of a request and the buffered start of its body have arrived from a
// caller.
struct CallArrived {
  CallId call;
  CallHead head;
};

// The caller closed its connection or cancelled; no result can be delivered.
struct CallerDisconnected {
  CallId call;
};

// The owner did not run the attempt; `load` is its current load.
struct AttemptRefused {
  CallId call;
  AttemptNumber attempt;
  Reason reason = Reason::kNone;
  LoadReport load;
};

// The head of the target's answer has arrived from the owner.
struct AttemptAnswerBegun {
  CallId call;
  AttemptNumber attempt;
  int status = 0;
  LoadReport load;
};

// Copy of a complete answer, as requested with `RelayAnswer::keep_bytes`.
struct KeptAnswer {
  std::string content_type;
  std::string body;
};

// The complete answer has been relayed to the caller.
struct AttemptAnswerEnded {
  CallId call;
  AttemptNumber attempt;
  LoadReport load;
  // Empty if no copy was requested or the body was too large.
  std::optional<KeptAnswer> kept;
  // Size of the body.
  std::uint64_t bytes = 0;
};

// The attempt ended without a refusal or a complete answer.
struct AttemptLost {
  CallId call;
  AttemptNumber attempt;
  // No byte of the request left this node, or the owner reset the stream as
  // never processed, so the request was certainly not run.
  bool is_certainly_not_run = false;
  Reason reason = Reason::kNodeLost;
  // The attempt was not sent to its owner, because an earlier one has consumed
  // a part of the request body. The request cannot be sent to any other either.
  bool is_body_consumed = false;
};

// The owner's node no longer sends anything, not even replies to keep-alive
// probes of the connection. The attempt stays open, since the node may recover.
struct AttemptSilent {
  CallId call;
  AttemptNumber attempt;
};

// No byte of the answer was transferred for the minimum progress time.
struct AnswerStalled {
  CallId call;
};

// --- Owner side -------------------------------------------------------------

// A request has arrived over a node stream or from the entry of this node.
struct WorkArrived {
  WorkId work;
  WorkHead head;
};

// The entry cancelled the request or was lost; the answer is no longer needed.
struct WorkCancelled {
  WorkId work;
};

// The connection to the target failed; no byte was handed over.
struct TargetConnectFailed {
  WorkId work;
};

struct TargetAnswerBegun {
  WorkId work;
  int status = 0;
  // The target signalled that it did not run the request.
  bool is_shed = false;
  // The target did not run the request because it was meant for another target.
  bool is_wrong_target = false;
  // Empty if the target does not report its load.
  std::optional<TargetLoadSample> load_sample{};
  TargetNotice notice{};
  // Whether `notice` states the rate limit; if not, the last known one stays in
  // force.
  bool is_rate_limit_stated = true;
};

struct TargetAnswerEnded {
  WorkId work;
};

// The exchange failed after bytes of the request were handed over.
struct TargetExchangeFailed {
  WorkId work;
  // An answer had begun.
  bool is_answer_begun = false;
};

// --- Local target ------------------------------------------------------------

struct TargetAnnounced {
  ServiceName service;
  Endpoint endpoint;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  Incarnation incarnation;
  // Remaining time of its cold start, if reported.
  std::optional<Duration> cold_time_left{};
};

// The target drains: it gets no new work, and running requests continue.
struct TargetWithdrawn {};

// The target reports that it has left. It may finish running requests.
struct TargetDeparted {
  InstanceId instance;
  // Start of the process that has left; empty if not reported.
  std::optional<ProcessStart> started{};
};

// A report of the target was invalid and is ignored: it neither opens nor
// closes the target's gate.
struct TargetReportRefused {
  InstanceId instance;
  // Names the invalid field and the expected value, for the log.
  std::string fault;
};

struct ProbeAnswered {
  ProbeId probe;
  bool is_healthy = false;
  Duration latency{};
  // Empty if the target does not report it.
  InstanceId instance{};
  std::optional<TargetLoadSample> load_sample{};
  // How long the target stays cold; empty if not reported.
  std::optional<Duration> cold_time_left{};
  // A missing rate limit does not withdraw one.
  TargetNotice notice{};
};

struct ProbeFailed {
  ProbeId probe;
  // No process listens at the target's address.
  bool is_refused = false;
};

// --- Other nodes, platform, operators, time ---------------------------------

struct DatagramArrived {
  Endpoint from;
  std::string bytes;
};

struct TableReplied {
  TableRequestId request;
  TableReply reply;
};

enum class OperatorVerb : std::uint8_t { kShow, kList, kWrite, kWithdraw };

// A request about contracts on the operator address.
struct OperatorRequested {
  OperatorRequestId request;
  OperatorVerb verb = OperatorVerb::kShow;
  WorkspaceName workspace;
  // For kWrite: the contract's YAML as received.
  std::string body;
  // The `If-Match` version; 0 without one.
  RowVersion if_version;
};

// The time returned by `NodeLogic::NextWakeup` has been reached.
struct TimerFired {};

// SIGTERM was received.
struct ShutdownRequested {};

using NodeEvent = std::variant<CallArrived,
                               CallerDisconnected,
                               AttemptRefused,
                               AttemptAnswerBegun,
                               AttemptAnswerEnded,
                               AttemptLost,
                               AttemptSilent,
                               AnswerStalled,
                               WorkArrived,
                               WorkCancelled,
                               TargetConnectFailed,
                               TargetAnswerBegun,
                               TargetAnswerEnded,
                               TargetExchangeFailed,
                               TargetAnnounced,
                               TargetWithdrawn,
                               TargetHeartbeat,
                               TargetDeparted,
                               TargetReportRefused,
                               ProbeAnswered,
                               ProbeFailed,
                               DatagramArrived,
                               TableReplied,
                               OperatorRequested,
                               TimerFired,
                               ShutdownRequested>;

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_EVENTS_H_

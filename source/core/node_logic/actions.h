// What a node is to do, as typed values: the way out of the node_logic facade.
// The daemon turns each into bytes on a socket.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_ACTIONS_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_ACTIONS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <variant>

#include "core/common/endpoint.h"
#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/node_logic/call_types.h"
#include "core/routes/route_config.h"
#include "core/store/table_types.h"

namespace bulrushmount {

// --- Entry side -------------------------------------------------------------

// Open a node stream to the owner at `endpoint` and send the request. An owner
// that is this node itself is reached without a socket.
struct DispatchAttempt {
  CallId call;
  AttemptNumber attempt;
  NodeId owner;
  Endpoint endpoint;
  WorkHead head;
};

// Reset the attempt's stream; what still comes of it is dropped.
struct CancelAttempt {
  CallId call;
  AttemptNumber attempt;
};

// Relay this attempt's answer to the caller from its head on.
struct RelayAnswer {
  CallId call;
  AttemptNumber attempt;
  // Keep a copy of a body up to this size for AttemptAnswerEnded; 0: none.
  std::size_t keep_bytes = 0;
};

// Answer the caller with a refusal, or with an unknown outcome, made here.
struct AnswerCaller {
  CallId call;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  // When coming back is worth it; empty: as `TraitsOf(reason)` says.
  std::optional<Duration> retry_after{};
};

// Answer the caller with the stored answer of the first run of its key.
struct ReplayAnswer {
  CallId call;
  int status = 0;
  std::string content_type;
  std::string body;
};

// End a relayed answer so that the caller sees that it is incomplete.
struct BreakAnswer {
  CallId call;
};

// --- Owner side -------------------------------------------------------------

// Connect to the target (or reuse an idle connection) and hand it the request.
struct HandToTarget {
  WorkId work;
  // Passed on to the target as its deadline.
  Duration time_left{};
  // The target that it is meant for; empty if targets have no ids.
  InstanceId instance{};
};

// Where works are handed to from now on.
struct UseTarget {
  Endpoint endpoint;
};

struct RefuseWork {
  WorkId work;
  Reason reason = Reason::kNone;
  LoadReport load;
};

// Relay the target's answer to the entry; `load` goes with its head.
struct RelayWork {
  WorkId work;
  LoadReport load;
};

// The request was handed over and has no whole answer: tell the entry so.
struct FailWork {
  WorkId work;
  Reason reason = Reason::kTargetLost;
  LoadReport load;
};

// Close the connection to the target: its signal of cancellation.
struct CancelWork {
  WorkId work;
};

// Ask the target's health endpoint. Emitted only when the measuring budget
// allows it. Bytes that have not left by `valid_until` must not leave at all:
// the node was stopped in between, and its share may be another's by now. The
// connection is closed at `gives_up_at`. Both cases are a ProbeFailed.
struct SendProbe {
  ProbeId probe;
  Endpoint endpoint;
  TimePoint valid_until;
  TimePoint gives_up_at;
  // Empty: the path of the settings.
  std::string path{};
};

// --- Other nodes, platform, operators ---------------------------------------

// What callers may send from now on.
struct SetCallerBounds {
  CallerBounds bounds;
};

struct SendDatagram {
  Endpoint to;
  std::string bytes;
};

struct SubmitTableRequest {
  TableRequestId request;
  TableRequest body;
};

// An HTTP reply on the operator address.
struct AnswerOperator {
  OperatorRequestId request;
  int status = 0;
  std::string content_type;
  std::string body;
  // Sent as `ETag`; 0 for none.
  RowVersion version;
};

// Every call and work has ended after a ShutdownRequested: exit with 0.
struct ExitProcess {};

using NodeAction = std::variant<DispatchAttempt,
                                CancelAttempt,
                                RelayAnswer,
                                AnswerCaller,
                                ReplayAnswer,
                                BreakAnswer,
                                HandToTarget,
                                UseTarget,
                                RefuseWork,
                                RelayWork,
                                FailWork,
                                CancelWork,
                                SendProbe,
                                SetCallerBounds,
                                SendDatagram,
                                SubmitTableRequest,
                                AnswerOperator,
                                ExitProcess>;

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_ACTIONS_H_

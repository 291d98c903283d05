// The heads and reports that cross the node_logic facade: what a decision needs
// to know of a call. Bodies never come here.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"

namespace bulrushmount {

// A caller's request as the entry sees it.
struct CallHead {
  RequestId request_id;
  WorkspaceName workspace;
  ServiceName service;
  // As sent, with its port if it has one.
  std::string host;
  std::string method;
  // Path and query as sent.
  std::string target;
  // The caller's own, shorter than the contract's; empty if not given.
  std::optional<Duration> deadline;
  std::optional<IdempotencyKey> idempotency_key;
  // Of workspace, method, path and the first bytes of the body.
  Fingerprint fingerprint;
  // Whether the transport holds the whole body and so can send it again.
  bool is_body_buffered = true;
};

// The same request as the owner sees it.
struct WorkHead {
  RequestId request_id;
  NodeId entry;
  WorkspaceName workspace;
  ServiceName service;
  KindName kind;
  std::string method;
  std::string target;
  Fingerprint fingerprint;
  // What is left of the deadline when the entry sent the request: a duration,
  // since clocks of two nodes are never compared.
  Duration time_left{};
  double weight = 1.0;
  double share = 1.0;
  bool is_repeatable = false;
  // The entry has been told to run this request alone among suspects.
  bool is_suspect = false;
  // The entry will not send it elsewhere if it is refused here.
  bool is_last_attempt = false;
  // 0 is the most urgent. Orders the works that wait for one target.
  std::uint32_t priority = 0;
  // The owner refuses if the target would take longer than this multiple of
  // its usual time: the entry threshold for a faster one. 0: takes any.
  double max_slowdown = 0;
  // How long the owner may keep the request for a start that is not slow,
  // before it refuses.
  Duration max_hold{};
  // What is left until an answer is worth little; empty if it never is.
  std::optional<Duration> objective_left{};
};

// What a target says of itself with an answer, as of that moment.
struct TargetLoadSample {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes now, as a multiple of the usual.
  double slowdown = 1.0;

  friend bool operator==(const TargetLoadSample&,
                         const TargetLoadSample&) = default;
};

// An owner's exact load at one moment, sent with every answer and refusal.
struct LoadReport {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  // Requests that the owner lets the target run at once now.
  std::uint32_t limit = 0;
  // Recent mean time that the target takes for a request of weight 1.
  Duration service_time{};
  // What a request that started now would take, as a multiple of the usual.
  double slowdown = 1.0;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_

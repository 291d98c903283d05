// Request heads and load reports exchanged through NodeLogic: the data that
// decisions need. Bodies are not included.

#ifndef BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_
#define BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/workspaces/key_digest.h"

namespace bulrushmount {

// The request of a caller as the entry sees it.
struct CallHead {
  RequestId request_id;
  WorkspaceName workspace;
  // The key of a workspace; empty if the request carries none, or more than
  // one.
  std::optional<KeyDigest> key;
  ServiceName service;
  // Value of the Host header as received, with its port if present.
  std::string host;
  std::string method;
  // Path and query as sent.
  std::string target;
  // Set by the caller and shorter than the contract's; empty if not given.
  std::optional<Duration> deadline;
  std::optional<IdempotencyKey> idempotency_key;
  // Hash of workspace, method, path and the first bytes of the body.
  Fingerprint fingerprint;
  // Whether the transport has buffered the whole body and can send it again.
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
  // Remaining time until the deadline when the entry sent the request. A
  // duration, because the clocks of two nodes are never compared.
  Duration time_left{};
  double weight = 1.0;
  double share = 1.0;
  bool is_repeatable = false;
  // The entry holds the permit to run this suspect request.
  bool is_suspect = false;
  // The entry will not try another owner if this one refuses.
  bool is_last_attempt = false;
  // 0 is the most urgent. Orders the requests queued for one target.
  std::uint32_t priority = 0;
  // The owner refuses the request if the target would take longer than this
  // multiple of its usual time, so that the entry can try a faster target. 0:
  // any slowdown is accepted.
  double max_slowdown = 0;
  // How long the owner may hold the request for an acceptable start before it
  // refuses it.
  Duration max_hold{};
  // Remaining time of the latency objective; empty if there is none.
  std::optional<Duration> objective_left{};
  // The rate limit that this process of the target last named to the entry;
  // empty if the entry knows none. An owner that has restarted does not know it
  // yet.
  std::optional<double> target_rate_limit{};
  TargetProcess target_process{};
};

// What a target states in its answers about the requests that it accepts.
struct TargetNotice {
  // Requests per second that the target accepts from all nodes together; empty
  // if it names no limit.
  std::optional<double> rate_limit;
  // The target is leaving and accepts no new requests.
  bool is_leaving = false;

  friend bool operator==(const TargetNotice&, const TargetNotice&) = default;
};

// Load that a target reports with an answer, at that moment.
struct TargetLoadSample {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // Current service time as a multiple of the usual one.
  double slowdown = 1.0;

  friend bool operator==(const TargetLoadSample&,
                         const TargetLoadSample&) = default;
};

// The load of an owner at one moment, sent with every answer and refusal.
struct LoadReport {
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  // Requests that the owner currently allows the target to run concurrently.
  std::uint32_t limit = 0;
  // Recent mean service time of a request of weight 1.
  Duration service_time{};
  // Expected service time of a request that starts now, as a multiple of the
  // usual one.
  double slowdown = 1.0;
  // The target's process and its last notice. Meaningless if the process is
  // unknown.
  TargetProcess process{};
  TargetNotice notice{};

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_NODE_LOGIC_CALL_TYPES_H_

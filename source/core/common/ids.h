// Identifier types, each a distinct type.

#ifndef BULRUSHMOUNT_CORE_COMMON_IDS_H_
#define BULRUSHMOUNT_CORE_COMMON_IDS_H_

#include <cstdint>
#include <string>

#include "core/common/strong_type.h"

namespace bulrushmount {

// Identifies a node's process. Drawn at random when the process starts, so a
// replacement at the same address is another node. Never 0.
using NodeId = StrongType<struct NodeIdTag, std::uint64_t>;

// A caller's call at its entry node. Local to that node.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

// The nth dispatch of one call, from 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// A request at the node that owns the target. Local to that node.
using WorkId = StrongType<struct WorkIdTag, std::uint64_t>;

using ProbeId = StrongType<struct ProbeIdTag, std::uint64_t>;
using TableRequestId = StrongType<struct TableRequestIdTag, std::uint64_t>;
using OperatorRequestId =
    StrongType<struct OperatorRequestIdTag, std::uint64_t>;

// Identifies a call across nodes and in every log line about it.
using RequestId = StrongType<struct RequestIdTag, std::string>;

// Names chosen by operators. Each workspace has one contract, which has the
// workspace's name.
using WorkspaceName = StrongType<struct WorkspaceNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using KindName = StrongType<struct KindNameTag, std::string>;

using AvailabilityZone = StrongType<struct AvailabilityZoneTag, std::string>;
using Region = StrongType<struct RegionTag, std::string>;

// The id that a target reports; a different one at each start.
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

// Identifies one process of a target at all nodes, also after its owner has
// restarted. 0 if unknown.
using TargetProcess = StrongType<struct TargetProcessTag, std::uint64_t>;

// Numbers all accepted configurations in order; 0 means that none is known yet.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

// Increases each time a target restarts or a member changes its record or
// refutes a suspicion.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// xxHash of the parts of a request by which two requests count as the same.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// The caller's `Idempotency-Key`, as sent.
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_IDS_H_

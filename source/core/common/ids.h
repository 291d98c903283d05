// The ids of the system, each a type of its own.

#ifndef BULRUSHMOUNT_CORE_COMMON_IDS_H_
#define BULRUSHMOUNT_CORE_COMMON_IDS_H_

#include <cstdint>
#include <string>

#include "core/common/strong_type.h"

namespace bulrushmount {

// A process of the system. Drawn at random when the process starts, so a
// replacement at the same address is another node. Never 0.
using NodeId = StrongType<struct NodeIdTag, std::uint64_t>;

// A caller's call at its entry node. Local to that node.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

// The nth dispatch of one call, from 1.
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;

// A request that reached the owner of a target. Local to that node.
using WorkId = StrongType<struct WorkIdTag, std::uint64_t>;

using ProbeId = StrongType<struct ProbeIdTag, std::uint64_t>;
using TableRequestId = StrongType<struct TableRequestIdTag, std::uint64_t>;
using OperatorRequestId =
    StrongType<struct OperatorRequestIdTag, std::uint64_t>;

// Follows a call across nodes and into every log line about it.
using RequestId = StrongType<struct RequestIdTag, std::string>;

// Names that operators choose. One contract exists for each workspace, so a
// workspace's name is also its contract's.
using WorkspaceName = StrongType<struct WorkspaceNameTag, std::string>;
using ServiceName = StrongType<struct ServiceNameTag, std::string>;
using KindName = StrongType<struct KindNameTag, std::string>;

using AvailabilityZone = StrongType<struct AvailabilityZoneTag, std::string>;
using Region = StrongType<struct RegionTag, std::string>;

// What a target calls itself; another one at each of its starts.
using InstanceId = StrongType<struct InstanceIdTag, std::string>;

// Orders all accepted configurations; 0 means that none is known yet.
using Revision = StrongType<struct RevisionTag, std::uint64_t>;

// Rises each time that a target restarts or a member refutes a suspicion.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;

// xxHash of what makes two requests the same request.
using Fingerprint = StrongType<struct FingerprintTag, std::uint64_t>;

// The caller's `Idempotency-Key`, as sent.
using IdempotencyKey = StrongType<struct IdempotencyKeyTag, std::string>;

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_IDS_H_

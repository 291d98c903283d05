// The key and the value of a claim row in the table.

#ifndef BULRUSHMOUNT_CORE_CLAIMS_CLAIM_ROW_H_
#define BULRUSHMOUNT_CORE_CLAIMS_CLAIM_ROW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/claims/claim_types.h"
#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount::detail {

// Number of key prefixes over which rows are spread, so that the sweeper can
// scan a small part at a time.
inline constexpr std::size_t kClaimShards = 65536;

// Returns "claim/<shard>/<workspace>/<key>". Both names are percent-encoded,
// which is reversible, so two different keys never share a row.
std::string ClaimRowKey(const WorkspaceName& workspace,
                        const IdempotencyKey& key);

// Returns the key prefix of a shard; `shard` is less than kClaimShards.
std::string ClaimShardPrefix(std::size_t shard);

enum class ClaimRowState : std::uint8_t {
  // Only the claimant may dispatch, or has dispatched, the request.
  kClaimed,
  // The request did not run; any node may claim the row at its current version.
  kReleased,
  kFinished,
  // The request was dispatched and no complete answer arrived.
  kUnknown,
};

struct ClaimRow {
  ClaimRowState state = ClaimRowState::kClaimed;
  // Random for each claim, so that the claimant recognizes its own row.
  std::uint64_t token = 0;
  Fingerprint fingerprint;
  WallTime claimed_at;
  // Time left until the deadline of the claimant at `claimed_at`.
  Duration time_left{};
  WallTime expires_at;
  // Only with kFinished.
  StoredAnswer answer;
};

std::string EncodeClaimRow(const ClaimRow& row);

// Returns nothing for a value that this release cannot read.
std::optional<ClaimRow> DecodeClaimRow(std::string_view value);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_ROW_H_

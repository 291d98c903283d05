// The row of a claim in the table: where it lies and what it says.

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

// Rows are spread over this many prefixes, so that the sweeper can scan a
// small part at a time.
inline constexpr std::size_t kClaimShards = 65536;

// "claim/<shard>/<workspace>/<key>". Both names are percent-encoded, which is
// reversible, so two keys never share a row.
std::string ClaimRowKey(const WorkspaceName& workspace,
                        const IdempotencyKey& key);

// The prefix of a shard's rows; `shard` is below kClaimShards.
std::string ClaimShardPrefix(std::size_t shard);

enum class ClaimRowState : std::uint8_t {
  // The claimant alone may dispatch, or has.
  kClaimed,
  // It did not run; anyone may claim the row at its version.
  kReleased,
  kFinished,
  // Dispatched without a whole answer.
  kUnknown,
};

struct ClaimRow {
  ClaimRowState state = ClaimRowState::kClaimed;
  // Drawn for each claim: tells the claimant its own row from another's.
  std::uint64_t token = 0;
  Fingerprint fingerprint;
  WallTime claimed_at;
  // Of the claimant's deadline at `claimed_at`.
  Duration time_left{};
  WallTime expires_at;
  // Only with kFinished.
  StoredAnswer answer;
};

std::string EncodeClaimRow(const ClaimRow& row);

// Empty for a value that this release cannot read.
std::optional<ClaimRow> DecodeClaimRow(std::string_view value);

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_CLAIMS_CLAIM_ROW_H_

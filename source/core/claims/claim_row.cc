// Part of `claim_row.h`: percent-encoded row keys, Protobuf values.

#include "core/claims/claim_row.h"

#include <xxhash.h>

#include <fmt/format.h>

#include "core/claims/claim_row.pb.h"

namespace bulrushmount::detail {

namespace {

bool IsPlain(unsigned char byte) {
  const bool is_digit = byte >= '0' && byte <= '9';
  const bool is_upper = byte >= 'A' && byte <= 'Z';
  const bool is_lower = byte >= 'a' && byte <= 'z';
  return is_digit || is_upper || is_lower || byte == '-' || byte == '_';
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (IsPlain(byte)) {
      encoded.push_back(character);
    } else {
      encoded += fmt::format("%{:02X}", byte);
    }
  }
  return encoded;
}

std::int64_t ToUnixMilliseconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

WallTime FromUnixMilliseconds(std::int64_t milliseconds) {
  return WallTime(std::chrono::milliseconds(milliseconds));
}

claims::ClaimRowState ToMessage(ClaimRowState state) {
  switch (state) {
    case ClaimRowState::kClaimed:
      return claims::CLAIM_ROW_STATE_CLAIMED;
    case ClaimRowState::kReleased:
      return claims::CLAIM_ROW_STATE_RELEASED;
    case ClaimRowState::kFinished:
      return claims::CLAIM_ROW_STATE_FINISHED;
    case ClaimRowState::kUnknown:
      return claims::CLAIM_ROW_STATE_UNKNOWN;
  }
  return claims::CLAIM_ROW_STATE_UNKNOWN;
}

std::optional<ClaimRowState> FromMessage(claims::ClaimRowState state) {
  switch (state) {
    case claims::CLAIM_ROW_STATE_CLAIMED:
      return ClaimRowState::kClaimed;
    case claims::CLAIM_ROW_STATE_RELEASED:
      return ClaimRowState::kReleased;
    case claims::CLAIM_ROW_STATE_FINISHED:
      return ClaimRowState::kFinished;
    case claims::CLAIM_ROW_STATE_UNKNOWN:
      return ClaimRowState::kUnknown;
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string ClaimShardPrefix(std::size_t shard) {
  return fmt::format("claim/{:04x}/", shard % kClaimShards);
}

std::string ClaimRowKey(const WorkspaceName& workspace,
                        const IdempotencyKey& key) {
  const std::string name = fmt::format(
      "{}/{}", PercentEncode(workspace.value()), PercentEncode(key.value()));
  const std::size_t shard = XXH3_64bits(name.data(), name.size());
  return ClaimShardPrefix(shard) + name;
}

std::string EncodeClaimRow(const ClaimRow& row) {
  claims::ClaimRowMessage message;
  message.set_state(ToMessage(row.state));
  message.set_token(row.token);
  message.set_fingerprint(row.fingerprint.value());
  message.set_claimed_at_ms(ToUnixMilliseconds(row.claimed_at));
  message.set_time_left_ms(
      std::chrono::duration_cast<std::chrono::milliseconds>(row.time_left)
          .count());
  message.set_expires_at_ms(ToUnixMilliseconds(row.expires_at));
  if (row.state == ClaimRowState::kFinished) {
    message.set_status(row.answer.status);
    message.set_content_type(row.answer.content_type);
    message.set_body(row.answer.body);
    message.set_is_body_kept(row.answer.is_body_kept);
  }
  return message.SerializeAsString();
}

std::optional<ClaimRow> DecodeClaimRow(std::string_view value) {
  claims::ClaimRowMessage message;
  if (!message.ParseFromArray(value.data(), static_cast<int>(value.size())))
    return std::nullopt;
  const std::optional<ClaimRowState> state = FromMessage(message.state());
  if (!state)
    return std::nullopt;
  ClaimRow row;
  row.state = *state;
  row.token = message.token();
  row.fingerprint = Fingerprint(message.fingerprint());
  row.claimed_at = FromUnixMilliseconds(message.claimed_at_ms());
  row.time_left = std::chrono::milliseconds(message.time_left_ms());
  row.expires_at = FromUnixMilliseconds(message.expires_at_ms());
  if (row.state == ClaimRowState::kFinished) {
    row.answer = {message.status(), message.content_type(), message.body(),
                  message.is_body_kept()};
  }
  return row;
}

}  // namespace bulrushmount::detail

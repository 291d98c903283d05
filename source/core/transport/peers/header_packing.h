// A shorter form of the header fields that nodes add to a stream's head: those
// whose values rarely repeat travel as binary in one field. Applies to the
// fields of node_stream_codec.h; all others pass unchanged, and so does any
// field whose value is not in the form that its codec writes.
//
// A node sends this form only to a peer that announced that it reads it, with
// an HTTP/2 setting (kPackedHeadsSetting). Earlier releases do not announce it.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_PACKING_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_PACKING_H_

#include <cstdint>
#include <optional>

#include "core/transport/http1_head.h"

namespace bulrushmount {

// In the range that RFC 9113 leaves to experiments. Value 1: the sender of the
// setting reads packed heads.
inline constexpr std::uint16_t kPackedHeadsSetting = 0xf0b1;

enum class HeadKind : std::uint8_t { kRequest, kReply };

HeaderList PackHead(HeadKind kind, HeaderList fields);

// Restores the fields that PackHead has packed; fields without a packed one
// are returned as they are. Nullopt if the packed field is malformed.
std::optional<HeaderList> UnpackHead(HeadKind kind, HeaderList fields);

// Whether `field` is the one that holds the packed values.
bool IsPackedField(HeadKind kind, const HeaderField& field);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_HEADER_PACKING_H_

// Encodes and decodes the heads of node streams as HTTP/2 header fields. Nodes
// of different releases exchange them: fields may be added but never changed,
// and unknown fields are ignored. Fields with default values are omitted.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_

#include <optional>
#include <vector>

#include <nghttp2/nghttp2.h>

#include "core/transport/peers/header_indexing.h"
#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

enum class OwnerVerdict : std::uint8_t { kAnswer, kRefused, kFailed };

// The head of an owner's reply.
struct OwnerReply {
  OwnerVerdict verdict = OwnerVerdict::kFailed;
  // Set with kRefused and kFailed.
  Reason reason = Reason::kNone;
  LoadReport load;
  // Set with kAnswer.
  AnswerHead answer;
};

HeaderList EncodeRequest(const WorkRequest& request);
HeaderList EncodeReply(const OwnerReply& reply);

// Converts to the form that nghttp2 expects; `fields` must outlive the result.
std::vector<nghttp2_nv> ToNameValues(const HeaderList& fields,
                                     HeaderIndexing& indexing);

// Decode both forms of a head (see header_packing.h). Return nullopt if a
// required field is missing or any field is invalid.
std::optional<WorkRequest> DecodeRequest(const HeaderList& fields);
std::optional<OwnerReply> DecodeReply(const HeaderList& fields);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_

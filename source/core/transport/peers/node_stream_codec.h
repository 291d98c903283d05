// The heads of node streams as HTTP/2 header fields, and back. Field names and
// values travel between releases: add, never change; unknown ones are ignored.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_

#include <optional>
#include <vector>

#include <nghttp2/nghttp2.h>

#include "core/transport/peers/node_stream.h"

namespace bulrushmount {

enum class OwnerVerdict : std::uint8_t { kAnswer, kRefused, kFailed };

// The head of an owner's reply.
struct OwnerReply {
  OwnerVerdict verdict = OwnerVerdict::kFailed;
  // With kRefused and kFailed.
  Reason reason = Reason::kNone;
  LoadReport load;
  // With kAnswer.
  AnswerHead answer;
};

HeaderList EncodeRequest(const WorkRequest& request);
HeaderList EncodeReply(const OwnerReply& reply);

// For nghttp2, which copies names and values; `fields` must outlive the result.
std::vector<nghttp2_nv> ToNameValues(const HeaderList& fields);

// Empty if a needed field is missing or cannot be read.
std::optional<WorkRequest> DecodeRequest(const HeaderList& fields);
std::optional<OwnerReply> DecodeReply(const HeaderList& fields);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_PEERS_NODE_STREAM_CODEC_H_

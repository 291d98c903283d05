// Encodes and decodes the datagrams and broadcasts of the quarantine.

#ifndef BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_CODEC_H_
#define BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ids.h"
#include "core/quarantine/permit_home.h"
#include "core/quarantine/suspicion_table.h"

namespace bulrushmount {

struct QuarantineDatagram {
  NodeId sender;
  std::optional<PermitAsk> ask;
  std::optional<PermitReply> reply;
  // What the sender knows of the fingerprint. It is sent with the permit
  // messages so that the end of a permit and the resulting verdict arrive
  // together.
  std::optional<SuspicionNews> news;
  // The sender was started or paused and asks for what the receiver knows.
  bool wants_known = false;
  std::vector<SuspicionNews> known;
};

// The number of records that fit into `known` of one datagram.
inline constexpr std::size_t kMaxKnownPerDatagram = 36;

std::string EncodeQuarantine(const QuarantineDatagram& datagram);
std::string EncodeNews(const SuspicionNews& news);

// Return nothing if `bytes` are not a valid message.
std::optional<QuarantineDatagram> DecodeQuarantine(std::string_view bytes);
std::optional<SuspicionNews> DecodeNews(std::string_view bytes);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_QUARANTINE_QUARANTINE_CODEC_H_

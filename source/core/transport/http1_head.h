// Validates, filters and serializes the heads of HTTP/1.1 messages. Does no
// I/O.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_HEAD_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_HEAD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "core/common/ids.h"
#include "core/common/outcome.h"
#include "core/node_logic/call_types.h"

namespace bulrushmount {

// The default limit for a caller's request head; a longer one is rejected with
// 431.
inline constexpr std::size_t kDefaultMaxHeadBytes = 16384;

// The highest limit that the settings may choose: streams between nodes carry
// no longer heads.
inline constexpr std::size_t kMaxHeadLimitBytes = 65536;

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};
using HeaderList = std::vector<HeaderField>;

// How the end of a body is determined.
enum class BodyFraming : std::uint8_t { kNone, kLength, kChunked };

struct BodyShape {
  BodyFraming framing = BodyFraming::kNone;
  // With kLength.
  std::uint64_t length = 0;

  friend bool operator==(const BodyShape&, const BodyShape&) = default;
};

// `headers` has end-to-end fields only; the fields that frame the body are
// represented by `shape`.
struct RequestHead {
  std::string method;
  std::string target;
  HeaderList headers;
  BodyShape shape;
};

struct AnswerHead {
  int status = 0;
  HeaderList headers;
  BodyShape shape;
};

// Checks the raw text of a request head, including its final blank line, for
// forms that two HTTP implementations could parse differently (request
// smuggling): one of them would take part of a caller's body for another
// caller's request. Returns kNone if the head is valid.
Reason CheckRequestHead(std::string_view text,
                        std::size_t max_size = kDefaultMaxHeadBytes);

// Copies the end-to-end fields. Drops the hop-by-hop fields (including those
// that `Connection` names), the fields that frame the body, `Expect` and all
// fields that start with `Bulrushmount-`, which outside parties may not set.
HeaderList EndToEndFields(const boost::beast::http::fields& fields);

// Fills in the properties of the call that the caller's header fields define;
// leaves the fingerprint and the body unset. Returns kNone if they are valid.
Reason ReadCallHead(const boost::beast::http::fields& fields, CallHead& head);

// A hash of workspace, method, target and the first bytes of the body.
Fingerprint FingerprintOf(const CallHead& head, std::string_view body_start);

std::string ToText(const RequestHead& head);
std::string ToText(const AnswerHead& head);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_HEAD_H_

// Heads of HTTP/1.1 messages: their checks, what is stripped from them on the
// way, and their text. Free of I/O.

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

// A caller's head may be this long unless the settings say otherwise; more is
// refused with 431.
inline constexpr std::size_t kMaxHead = 16384;

// The settings may not allow a longer one: a node stream carries no more.
inline constexpr std::size_t kLargestHead = 65536;

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};
using HeaderList = std::vector<HeaderField>;

// How the end of a body is told.
enum class BodyFraming : std::uint8_t { kNone, kLength, kChunked };

struct BodyShape {
  BodyFraming framing = BodyFraming::kNone;
  // With kLength.
  std::uint64_t length = 0;

  friend bool operator==(const BodyShape&, const BodyShape&) = default;
};

// End-to-end fields only; those that frame the body are in `shape`.
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

// Looks at the raw text of a request head, up to and with its blank line, for
// shapes that two programs could read in two ways (request smuggling): one of
// them would take part of one caller's body for another one's request. kNone
// if it is sound.
Reason CheckRequestHead(std::string_view text, std::size_t max_size = kMaxHead);

// Copies the end-to-end fields. Dropped are the hop-by-hop fields (also those
// that `Connection` names), those that frame the body, `Expect` and all that
// start with `Bulrushmount-`: nobody outside may set what travels inside.
HeaderList EndToEndFields(const boost::beast::http::fields& fields);

// What the caller's fields say of the call; fingerprint and body are left
// open. kNone if it is sound.
Reason ReadCallHead(const boost::beast::http::fields& fields, CallHead& head);

// Of workspace, method, target and the first bytes of the body.
Fingerprint FingerprintOf(const CallHead& head, std::string_view body_start);

std::string ToText(const RequestHead& head);
std::string ToText(const AnswerHead& head);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_HTTP1_HEAD_H_

// Part of `header_packing.h`.

#include "core/transport/peers/header_packing.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

// The field that holds the packed values. Both names are in HPACK's static
// table, so that they cost one byte on any connection, and have no meaning in
// their kind of head.
constexpr std::string_view kRequestField = ":status";
constexpr std::string_view kReplyField = ":path";

constexpr std::string_view kLoad = "bulrushmount-load";
// The part of a load report that stays the same while the target's process
// does. Only used in the packed form, next to the packed counts.
constexpr std::string_view kLoadProcess = "bulrushmount-load-process";
constexpr int kLoadCounts = 5;

enum class Form : std::uint8_t {
  // Unsigned decimal, as a varint.
  kUnsigned,
  // Signed decimal, as a zigzag varint.
  kSigned,
  // Unsigned decimal, as 8 bytes: for random numbers.
  kFixed,
  // Any text; hexadecimal digits and UUIDs in half their length.
  kIdentifier,
  // Text of few characters.
  kText,
  // kLoadCounts numbers, as varints.
  kCounts,
};

struct PackedName {
  std::string_view name;
  Form form;
};

// The position in the table is the field's code, starting at 1: codes are only
// added at the end.
constexpr PackedName kNames[] = {
    {"bulrushmount-request-id", Form::kIdentifier},
    {"bulrushmount-fingerprint", Form::kFixed},
    {"bulrushmount-time-left-us", Form::kSigned},
    {"bulrushmount-objective-left-us", Form::kSigned},
    {"bulrushmount-max-hold-us", Form::kSigned},
    {"bulrushmount-max-slowdown", Form::kText},
    {"bulrushmount-body", Form::kUnsigned},
    {kLoad, Form::kCounts},
};

// The first byte of an identifier says how its text is written.
enum class IdentifierForm : std::uint8_t { kText, kHex, kUuid };

constexpr std::size_t kUuidSize = 36;
constexpr std::size_t kUuidDashes[] = {8, 13, 18, 23};
constexpr int kVarintBits = 7;
constexpr std::uint8_t kVarintMore = 0x80;
constexpr int kMaxVarintShift = 63;
constexpr int kFixedBytes = 8;
constexpr int kByteBits = 8;

std::string_view FieldNameOf(HeadKind kind) {
  return kind == HeadKind::kRequest ? kRequestField : kReplyField;
}

// True if `text` is the shortest decimal form of `number`, so that writing the
// number again gives the same text.
template <typename Number>
bool ParseCanonical(std::string_view text, Number& number) {
  const char* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  return result.ec == std::errc() && result.ptr == end &&
         std::to_string(number) == text;
}

void WriteVarint(std::string& to, std::uint64_t number) {
  while (number >= kVarintMore) {
    to.push_back(static_cast<char>(number | kVarintMore));
    number >>= kVarintBits;
  }
  to.push_back(static_cast<char>(number));
}

bool ReadByte(std::string_view& from, std::uint8_t& byte) {
  if (from.empty())
    return false;
  byte = static_cast<std::uint8_t>(from.front());
  from.remove_prefix(1);
  return true;
}

bool ReadVarint(std::string_view& from, std::uint64_t& number) {
  number = 0;
  for (int shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
    std::uint8_t byte = 0;
    if (!ReadByte(from, byte))
      return false;
    number |= static_cast<std::uint64_t>(byte & ~kVarintMore) << shift;
    if (byte < kVarintMore)
      return true;
  }
  return false;
}

bool ReadText(std::string_view& from,
              std::size_t size,
              std::string_view& text) {
  if (size > from.size())
    return false;
  text = from.substr(0, size);
  from.remove_prefix(size);
  return true;
}

std::uint64_t Zigzag(std::int64_t number) {
  return (static_cast<std::uint64_t>(number) << 1) ^
         static_cast<std::uint64_t>(number >> kMaxVarintShift);
}

std::int64_t Unzigzag(std::uint64_t number) {
  return static_cast<std::int64_t>((number >> 1) ^ (~(number & 1) + 1));
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool IsHex(std::string_view text) {
  return text.size() % 2 == 0 && std::ranges::all_of(text, IsHexDigit);
}

// The text without its dashes; empty if it is not a UUID in lower case.
std::string UuidDigits(std::string_view text) {
  if (text.size() != kUuidSize)
    return {};
  std::string digits;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (std::ranges::find(kUuidDashes, at) == std::end(kUuidDashes)) {
      digits.push_back(text[at]);
    } else if (text[at] != '-') {
      return {};
    }
  }
  return IsHex(digits) ? digits : std::string();
}

void WriteHex(std::string& to, std::string_view digits) {
  for (std::size_t at = 0; at < digits.size(); at += 2) {
    unsigned byte = 0;
    std::from_chars(digits.data() + at, digits.data() + at + 2, byte, 16);
    to.push_back(static_cast<char>(byte));
  }
}

std::string HexDigits(std::string_view bytes) {
  std::string digits;
  for (const char byte : bytes) {
    digits += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return digits;
}

void WriteIdentifier(std::string& to, std::string_view text) {
  const std::string uuid = UuidDigits(text);
  const auto write_form = [&to](IdentifierForm form, std::size_t size) {
    WriteVarint(to, size * 3 + static_cast<std::size_t>(form));
  };
  if (!uuid.empty()) {
    write_form(IdentifierForm::kUuid, uuid.size() / 2);
    WriteHex(to, uuid);
  } else if (IsHex(text)) {
    write_form(IdentifierForm::kHex, text.size() / 2);
    WriteHex(to, text);
  } else {
    write_form(IdentifierForm::kText, text.size());
    to += text;
  }
}

bool ReadIdentifier(std::string_view& from, std::string& text) {
  std::uint64_t head = 0;
  std::string_view bytes;
  if (!ReadVarint(from, head) || !ReadText(from, head / 3, bytes))
    return false;
  const auto form = static_cast<IdentifierForm>(head % 3);
  if (form == IdentifierForm::kText) {
    text = bytes;
    return true;
  }
  text = HexDigits(bytes);
  if (form == IdentifierForm::kUuid) {
    if (text.size() + std::size(kUuidDashes) != kUuidSize)
      return false;
    for (const std::size_t at : kUuidDashes) {
      text.insert(at, 1, '-');
    }
  }
  return true;
}

// Writes the first kLoadCounts numbers of a load report and removes them, with
// the space behind them. False if it does not start with so many numbers.
bool WriteCounts(std::string& to, std::string_view& text) {
  std::string written;
  for (int count = 0; count < kLoadCounts; ++count) {
    const std::size_t space = std::min(text.find(' '), text.size());
    std::uint64_t number = 0;
    if (!ParseCanonical(text.substr(0, space), number))
      return false;
    WriteVarint(written, number);
    text.remove_prefix(std::min(space + 1, text.size()));
  }
  to += written;
  return true;
}

bool ReadCounts(std::string_view& from, std::string& text) {
  for (int count = 0; count < kLoadCounts; ++count) {
    std::uint64_t number = 0;
    if (!ReadVarint(from, number))
      return false;
    text += fmt::format("{}{}", count == 0 ? "" : " ", number);
  }
  return true;
}

// Appends the field's value. False, with `to` unchanged, if it is not in the
// form that is expected. `value` keeps what remains to be sent as text.
bool WriteValue(std::string& to, Form form, std::string_view& value) {
  std::uint64_t number = 0;
  std::int64_t signed_number = 0;
  switch (form) {
    case Form::kUnsigned:
      if (!ParseCanonical(value, number))
        return false;
      WriteVarint(to, number);
      break;
    case Form::kSigned:
      if (!ParseCanonical(value, signed_number))
        return false;
      WriteVarint(to, Zigzag(signed_number));
      break;
    case Form::kFixed:
      if (!ParseCanonical(value, number))
        return false;
      for (int byte = 0; byte < kFixedBytes; ++byte) {
        to.push_back(static_cast<char>(number >> (byte * kByteBits)));
      }
      break;
    case Form::kIdentifier:
      WriteIdentifier(to, value);
      break;
    case Form::kText:
      WriteVarint(to, value.size());
      to += value;
      break;
    case Form::kCounts:
      return WriteCounts(to, value);
  }
  value = {};
  return true;
}

bool ReadValue(std::string_view& from, Form form, std::string& value) {
  std::uint64_t number = 0;
  std::string_view text;
  switch (form) {
    case Form::kUnsigned:
      if (!ReadVarint(from, number))
        return false;
      value = std::to_string(number);
      return true;
    case Form::kSigned:
      if (!ReadVarint(from, number))
        return false;
      value = std::to_string(Unzigzag(number));
      return true;
    case Form::kFixed:
      for (int byte = 0; byte < kFixedBytes; ++byte) {
        std::uint8_t part = 0;
        if (!ReadByte(from, part))
          return false;
        number |= static_cast<std::uint64_t>(part) << (byte * kByteBits);
      }
      value = std::to_string(number);
      return true;
    case Form::kIdentifier:
      return ReadIdentifier(from, value);
    case Form::kText:
      if (!ReadVarint(from, number) || !ReadText(from, number, text))
        return false;
      value = text;
      return true;
    case Form::kCounts:
      return ReadCounts(from, value);
  }
  return false;
}

bool ReadFields(std::string_view packed, HeaderList& fields) {
  std::size_t last_code = 0;
  while (!packed.empty()) {
    std::uint8_t code = 0;
    std::string value;
    // Each code occurs at most once, which bounds the size of the result.
    if (!ReadByte(packed, code) || code <= last_code ||
        code > std::size(kNames) ||
        !ReadValue(packed, kNames[code - 1].form, value)) {
      return false;
    }
    last_code = code;
    fields.push_back({std::string(kNames[code - 1].name), std::move(value)});
  }
  return true;
}

// Appends the part of the load report that is not packed to the counts.
void JoinLoad(HeaderList& fields) {
  const auto by_name = [&fields](std::string_view name) {
    return std::ranges::find(fields, name, &HeaderField::name);
  };
  const auto process = by_name(kLoadProcess);
  const auto load = by_name(kLoad);
  if (process == fields.end() || load == fields.end())
    return;
  load->value += " " + process->value;
  fields.erase(process);
}

}  // namespace

bool IsPackedField(HeadKind kind, const HeaderField& field) {
  return field.name == FieldNameOf(kind);
}

HeaderList PackHead(HeadKind kind, HeaderList fields) {
  std::string packed;
  for (std::size_t code = 1; code <= std::size(kNames); ++code) {
    const PackedName& known = kNames[code - 1];
    const auto field =
        std::ranges::find(fields, known.name, &HeaderField::name);
    if (field == fields.end())
      continue;
    std::string value(1, static_cast<char>(code));
    std::string_view rest = field->value;
    if (!WriteValue(value, known.form, rest))
      continue;
    packed += value;
    if (rest.empty()) {
      fields.erase(field);
    } else {
      *field = {std::string(kLoadProcess), std::string(rest)};
    }
  }
  // The decoder does not read the scheme.
  std::erase_if(
      fields, [](const HeaderField& field) { return field.name == ":scheme"; });
  if (!packed.empty()) {
    // Pseudo-header fields come first.
    fields.insert(fields.begin(),
                  {std::string(FieldNameOf(kind)), std::move(packed)});
  }
  return fields;
}

std::optional<HeaderList> UnpackHead(HeadKind kind, HeaderList fields) {
  const auto packed =
      std::ranges::find(fields, FieldNameOf(kind), &HeaderField::name);
  if (packed == fields.end())
    return fields;
  const std::string value = std::move(packed->value);
  fields.erase(packed);
  if (!ReadFields(value, fields))
    return std::nullopt;
  JoinLoad(fields);
  return fields;
}

}  // namespace bulrushmount

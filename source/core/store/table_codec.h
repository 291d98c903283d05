// Encodes and decodes table requests and replies as JSON bodies, for the HTTP
// adapter and the platform stand-in. docs/design/platform.md describes the
// protocol.

#ifndef BULRUSHMOUNT_CORE_STORE_TABLE_CODEC_H_
#define BULRUSHMOUNT_CORE_STORE_TABLE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include "core/store/table_types.h"

namespace bulrushmount {

inline constexpr std::string_view kTableGetPath = "/v1/table/get";
inline constexpr std::string_view kTableScanPath = "/v1/table/scan";
inline constexpr std::string_view kTableTransactPath = "/v1/table/transact";

enum class TableCodecError : std::uint8_t {
  kUnknownPath,
  kNotJson,
  kMissingField,
  kWrongType,
  kNotHex,
};

// Lower-case hexadecimal digits. The encoding preserves the order of keys and
// prefix relations.
std::string ToHex(std::string_view bytes);
boost::leaf::result<std::string> FromHex(std::string_view digits);

std::string_view PathOf(const TableRequest& request);
std::string EncodeTableRequest(const TableRequest& request);
boost::leaf::result<TableRequest> DecodeTableRequest(std::string_view path,
                                                     std::string_view body);

std::string EncodeTableReply(const TableReply& reply);
// An unknown status is decoded as kUnknown.
boost::leaf::result<TableReply> DecodeTableReply(std::string_view body);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_STORE_TABLE_CODEC_H_

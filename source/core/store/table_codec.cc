// Converts between Boost.JSON values and the table's types.

#include "core/store/table_codec.h"

#include <array>
#include <iterator>
#include <utility>

#include <boost/algorithm/hex.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace bulrushmount {
namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

struct StatusName {
  TableStatus status;
  std::string_view name;
};

constexpr std::array<StatusName, 4> kStatusNames = {
    {{TableStatus::kOk, "ok"},
     {TableStatus::kConditionFailed, "condition-failed"},
     {TableStatus::kUnknown, "unknown"},
     {TableStatus::kUnavailable, "unavailable"}}};

std::string_view NameOf(TableStatus status) {
  for (const StatusName& entry : kStatusNames) {
    if (entry.status == status) {
      return entry.name;
    }
  }
  return "unknown";
}

TableStatus StatusOf(std::string_view name) {
  for (const StatusName& entry : kStatusNames) {
    if (entry.name == name) {
      return entry.status;
    }
  }
  return TableStatus::kUnknown;
}

leaf::result<json::object> ParseObject(std::string_view body) {
  json::error_code error;
  json::value value = json::parse(json::string_view(body), error);
  if (error) {
    return leaf::new_error(TableCodecError::kNotJson);
  }
  if (!value.is_object()) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  return std::move(value.get_object());
}

leaf::result<std::string_view> ReadString(const json::object& object,
                                          std::string_view field) {
  const json::value* const value = object.if_contains(json::string_view(field));
  if (value == nullptr) {
    return leaf::new_error(TableCodecError::kMissingField);
  }
  const json::string* const text = value->if_string();
  if (text == nullptr) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  return std::string_view(text->data(), text->size());
}

leaf::result<std::string> ReadBytes(const json::object& object,
                                    std::string_view field) {
  BOOST_LEAF_AUTO(digits, ReadString(object, field));
  return FromHex(digits);
}

leaf::result<RowVersion> ReadVersion(const json::object& object) {
  const json::value* const value = object.if_contains("version");
  if (value == nullptr) {
    return leaf::new_error(TableCodecError::kMissingField);
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  return RowVersion{number};
}

// Older releases without epochs omit the field.
leaf::result<TableEpoch> ReadEpoch(const json::object& object) {
  const json::value* const value = object.if_contains("epoch");
  if (value == nullptr) {
    return TableEpoch();
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  return TableEpoch{number};
}

// Reads each element of the array `field` with `read`; an absent field is an
// empty array.
template <typename Element, typename Read>
leaf::result<std::vector<Element>> ReadArray(const json::object& object,
                                             std::string_view field,
                                             Read read) {
  std::vector<Element> elements;
  const json::value* const value = object.if_contains(json::string_view(field));
  if (value == nullptr) {
    return elements;
  }
  if (!value->is_array()) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  for (const json::value& item : value->get_array()) {
    BOOST_LEAF_AUTO(element, read(item));
    elements.push_back(std::move(element));
  }
  return elements;
}

// Like ReadArray, for an array whose elements must be objects.
template <typename Element, typename Read>
leaf::result<std::vector<Element>> ReadObjects(const json::object& object,
                                               std::string_view field,
                                               Read read) {
  return ReadArray<Element>(
      object, field, [&read](const json::value& item) -> leaf::result<Element> {
        if (!item.is_object()) {
          return leaf::new_error(TableCodecError::kWrongType);
        }
        return read(item.get_object());
      });
}

leaf::result<RowCondition> ReadCondition(const json::object& object) {
  BOOST_LEAF_AUTO(key, ReadBytes(object, "key"));
  BOOST_LEAF_AUTO(version, ReadVersion(object));
  return RowCondition{std::move(key), version};
}

leaf::result<RowPut> ReadPut(const json::object& object) {
  BOOST_LEAF_AUTO(key, ReadBytes(object, "key"));
  BOOST_LEAF_AUTO(value, ReadBytes(object, "value"));
  return RowPut{std::move(key), std::move(value)};
}

leaf::result<Row> ReadRow(const json::object& object) {
  BOOST_LEAF_AUTO(key, ReadBytes(object, "key"));
  BOOST_LEAF_AUTO(value, ReadBytes(object, "value"));
  BOOST_LEAF_AUTO(version, ReadVersion(object));
  return Row{std::move(key), std::move(value), version};
}

leaf::result<std::string> ReadKey(const json::value& item) {
  if (!item.is_string()) {
    return leaf::new_error(TableCodecError::kWrongType);
  }
  const json::string& digits = item.get_string();
  return FromHex(std::string_view(digits.data(), digits.size()));
}

leaf::result<TableRequest> ReadTransact(const json::object& object) {
  TableTransact transact;
  BOOST_LEAF_ASSIGN(
      transact.conditions,
      ReadObjects<RowCondition>(object, "conditions", ReadCondition));
  BOOST_LEAF_ASSIGN(transact.puts,
                    ReadObjects<RowPut>(object, "puts", ReadPut));
  BOOST_LEAF_ASSIGN(transact.deletes,
                    ReadArray<std::string>(object, "deletes", ReadKey));
  return TableRequest(std::move(transact));
}

json::object ToJson(const TableTransact& transact) {
  json::array conditions;
  for (const RowCondition& condition : transact.conditions) {
    conditions.push_back(json::object{{"key", ToHex(condition.key)},
                                      {"version", condition.version.value()}});
  }
  json::array puts;
  for (const RowPut& put : transact.puts) {
    puts.push_back(
        json::object{{"key", ToHex(put.key)}, {"value", ToHex(put.value)}});
  }
  json::array deletes;
  for (const std::string& key : transact.deletes) {
    deletes.emplace_back(json::string(ToHex(key)));
  }
  return {{"conditions", std::move(conditions)},
          {"puts", std::move(puts)},
          {"deletes", std::move(deletes)}};
}

}  // namespace

std::string ToHex(std::string_view bytes) {
  std::string digits;
  digits.reserve(bytes.size() * 2);
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                              std::back_inserter(digits));
  return digits;
}

leaf::result<std::string> FromHex(std::string_view digits) {
  std::string bytes;
  bytes.reserve(digits.size() / 2);
  try {
    boost::algorithm::unhex(digits.begin(), digits.end(),
                            std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    return leaf::new_error(TableCodecError::kNotHex);
  }
  return bytes;
}

std::string_view PathOf(const TableRequest& request) {
  if (std::holds_alternative<TableGet>(request)) {
    return kTableGetPath;
  }
  if (std::holds_alternative<TableScan>(request)) {
    return kTableScanPath;
  }
  return kTableTransactPath;
}

std::string EncodeTableRequest(const TableRequest& request) {
  if (const auto* get = std::get_if<TableGet>(&request)) {
    return json::serialize(json::object{{"key", ToHex(get->key)}});
  }
  if (const auto* scan = std::get_if<TableScan>(&request)) {
    return json::serialize(json::object{{"prefix", ToHex(scan->prefix)}});
  }
  return json::serialize(ToJson(std::get<TableTransact>(request)));
}

leaf::result<TableRequest> DecodeTableRequest(std::string_view path,
                                              std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  if (path == kTableGetPath) {
    BOOST_LEAF_AUTO(key, ReadBytes(object, "key"));
    return TableRequest(TableGet{std::move(key)});
  }
  if (path == kTableScanPath) {
    BOOST_LEAF_AUTO(prefix, ReadBytes(object, "prefix"));
    return TableRequest(TableScan{std::move(prefix)});
  }
  if (path == kTableTransactPath) {
    return ReadTransact(object);
  }
  return leaf::new_error(TableCodecError::kUnknownPath);
}

std::string EncodeTableReply(const TableReply& reply) {
  json::array rows;
  for (const Row& row : reply.rows) {
    rows.push_back(json::object{{"key", ToHex(row.key)},
                                {"value", ToHex(row.value)},
                                {"version", row.version.value()}});
  }
  const std::string_view status = NameOf(reply.status);
  return json::serialize(json::object{{"status", json::string_view(status)},
                                      {"epoch", reply.epoch.value()},
                                      {"rows", std::move(rows)}});
}

leaf::result<TableReply> DecodeTableReply(std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  BOOST_LEAF_AUTO(status, ReadString(object, "status"));
  BOOST_LEAF_AUTO(rows, ReadObjects<Row>(object, "rows", ReadRow));
  TableReply reply{StatusOf(status), std::move(rows)};
  BOOST_LEAF_ASSIGN(reply.epoch, ReadEpoch(object));
  return reply;
}

}  // namespace bulrushmount

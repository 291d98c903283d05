// Part of `share_rows.h`. All numbers are integers, so values are equal after
// they were written and read back.

#include "core/measuring/share_rows.h"

#include <charconv>

#include <fmt/format.h>
#include <boost/json.hpp>

namespace bulrushmount {

namespace {

namespace json = boost::json;

json::object EncodeLayout(const BudgetLayout& layout) {
  return {{"microprobes_per_second", layout.microprobes_per_second()},
          {"probes_in_flight", layout.probes_in_flight()}};
}

// Empty unless the field exists and is an integer in the range of `Number`.
template <typename Number>
std::optional<Number> Field(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<Number>(error);
  return error ? std::nullopt : std::optional<Number>(number);
}

std::optional<BudgetLayout> DecodeLayout(const json::object& object) {
  const json::value* value = object.if_contains("layout");
  if (value == nullptr || !value->is_object()) {
    return std::nullopt;
  }
  const json::object& layout = value->get_object();
  const auto rate = Field<std::uint64_t>(layout, "microprobes_per_second");
  const auto in_flight = Field<std::uint32_t>(layout, "probes_in_flight");
  if (!rate || !in_flight) {
    return std::nullopt;
  }
  return BudgetLayout(*rate, *in_flight);
}

std::optional<json::object> Parse(std::string_view text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

}  // namespace

ShareKeys::ShareKeys(const ServiceName& service)
    : m_prefix(fmt::format("probe-share/{}/", service)),
      m_layout(m_prefix + "layout"),
      m_slot_prefix(m_prefix + "slot/") {}

std::string ShareKeys::Slot(std::uint32_t index) const {
  return fmt::format("{}{:04}", m_slot_prefix, index);
}

std::optional<std::uint32_t> ShareKeys::IndexOf(std::string_view key) const {
  if (!key.starts_with(m_slot_prefix)) {
    return std::nullopt;
  }
  key.remove_prefix(m_slot_prefix.size());
  std::uint32_t index = 0;
  const char* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data(), end, index);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return index;
}

std::string Encode(const LayoutRow& row) {
  return json::serialize(json::object{{"revision", row.revision.value()},
                                      {"layout", EncodeLayout(row.layout)}});
}

std::string Encode(const SlotRow& row) {
  return json::serialize(json::object{{"holder", row.holder.value()},
                                      {"nonce", row.nonce},
                                      {"term_ns", row.term.count()},
                                      {"layout", EncodeLayout(row.layout)}});
}

std::optional<LayoutRow> DecodeLayoutRow(std::string_view value) {
  const auto object = Parse(value);
  if (!object) {
    return std::nullopt;
  }
  const auto revision = Field<std::uint64_t>(*object, "revision");
  const auto layout = DecodeLayout(*object);
  if (!revision || !layout) {
    return std::nullopt;
  }
  return LayoutRow{Revision(*revision), *layout};
}

std::optional<SlotRow> DecodeSlotRow(std::string_view value) {
  const auto object = Parse(value);
  if (!object) {
    return std::nullopt;
  }
  const auto holder = Field<std::uint64_t>(*object, "holder");
  const auto nonce = Field<std::uint64_t>(*object, "nonce");
  const auto term = Field<std::int64_t>(*object, "term_ns");
  const auto layout = DecodeLayout(*object);
  if (!holder || !nonce || !term || *term < 0 || !layout) {
    return std::nullopt;
  }
  return SlotRow{NodeId(*holder), *nonce, Duration(*term), *layout};
}

}  // namespace bulrushmount

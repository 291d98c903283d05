// Part of `yaml_reader.h`.

#include "core/settings/yaml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

struct DurationUnit {
  std::string_view suffix;
  Duration length;
};

// Matched in this order: a suffix that ends in another one must come before it.
constexpr std::array<DurationUnit, 6> kDurationUnits{{
    {"ns", std::chrono::nanoseconds(1)},
    {"us", std::chrono::microseconds(1)},
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::seconds(1)},
    {"m", std::chrono::minutes(1)},
    {"h", std::chrono::hours(1)},
}};

// Larger durations cannot be represented exactly to the nanosecond in a double,
// and no setting needs one.
constexpr double kMaxDurationNs = 4e15;

std::optional<double> ParseNumber(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number))
    return std::nullopt;
  return number;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsBefore(const YamlFault& left, const YamlFault& right) {
  return std::tie(left.position.line, left.position.column, left.message) <
         std::tie(right.position.line, right.position.column, right.message);
}

bool IsInRange(double number, const NumberRange& range) {
  if (number < range.min || number > range.max)
    return false;
  if (range.is_min_excluded && number == range.min)
    return false;
  return !range.is_max_excluded || number != range.max;
}

}  // namespace

void YamlFaults::Add(YamlPosition position, std::string message) {
  faults.push_back(YamlFault{position, std::move(message)});
}

void YamlFaults::Sort() {
  std::sort(faults.begin(), faults.end(), IsBefore);
  faults.erase(std::unique(faults.begin(), faults.end()), faults.end());
}

std::string ToString(const YamlFaults& faults) {
  std::string text;
  for (const YamlFault& fault : faults.faults) {
    text += fmt::format("line {}, column {}: {}\n", fault.position.line,
                        fault.position.column, fault.message);
  }
  return text;
}

YamlMapReader::YamlMapReader(const YamlNode& node, YamlFaults& faults)
    : m_node(node),
      m_faults(faults),
      m_is_map(node.type == YamlNodeType::kMap) {
  if (!m_is_map) {
    m_faults.Add(node.position, "expected a map");
    return;
  }
  ReportDuplicates();
}

const YamlNode* YamlMapReader::Required(std::string_view key) {
  const YamlNode* const value = Optional(key);
  if (value == nullptr && m_is_map)
    m_faults.Add(m_node.position, fmt::format("missing key '{}'", key));
  return value;
}

const YamlNode* YamlMapReader::Optional(std::string_view key) {
  m_known.emplace(key);
  for (const YamlEntry& entry : m_node.entries) {
    if (entry.key.type == YamlNodeType::kScalar && entry.key.scalar == key)
      return &entry.value;
  }
  return nullptr;
}

void YamlMapReader::Renamed(std::string_view old_key, std::string_view key) {
  m_renamed.emplace(old_key, key);
}

void YamlMapReader::Finish() {
  for (const YamlEntry& entry : m_node.entries) {
    if (entry.key.type != YamlNodeType::kScalar) {
      m_faults.Add(entry.key.position, "expected a key");
      continue;
    }
    const std::string& key = entry.key.scalar;
    if (m_known.contains(key))
      continue;
    const auto renamed = m_renamed.find(key);
    m_faults.Add(entry.key.position,
                 renamed == m_renamed.end()
                     ? fmt::format("unknown key '{}'", key)
                     : fmt::format("key '{}' has been renamed to '{}'", key,
                                   renamed->second));
  }
}

void YamlMapReader::ReportDuplicates() {
  std::set<std::string_view> seen;
  for (const YamlEntry& entry : m_node.entries) {
    if (entry.key.type == YamlNodeType::kScalar &&
        !seen.insert(entry.key.scalar).second)
      m_faults.Add(entry.key.position,
                   fmt::format("duplicate key '{}'", entry.key.scalar));
  }
}

std::optional<std::string> ReadText(const YamlNode* node, YamlFaults& faults) {
  if (node == nullptr)
    return std::nullopt;
  if (node->type != YamlNodeType::kScalar || node->scalar.empty()) {
    faults.Add(node->position, "expected a value");
    return std::nullopt;
  }
  return node->scalar;
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::ranges::all_of(name, IsNameCharacter);
}

std::optional<std::string> ReadName(const YamlNode* node, YamlFaults& faults) {
  std::optional<std::string> text = ReadText(node, faults);
  if (text.has_value() && !IsValidName(*text)) {
    faults.Add(node->position,
               "expected a name: 1 to 64 letters, digits, '.', '_' or '-'");
    return std::nullopt;
  }
  return text;
}

std::optional<bool> ReadBool(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  if (*text == "true")
    return true;
  if (*text == "false")
    return false;
  faults.Add(node->position, "expected true or false");
  return std::nullopt;
}

std::optional<double> ReadNumber(const YamlNode* node,
                                 const NumberRange& range,
                                 YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  const std::optional<double> number = ParseNumber(*text);
  if (!number.has_value()) {
    faults.Add(node->position, "expected a number");
    return std::nullopt;
  }
  if (!IsInRange(*number, range)) {
    faults.Add(
        node->position,
        fmt::format("expected a number {} {} and {} {}",
                    range.is_min_excluded ? "above" : "from", range.min,
                    range.is_max_excluded ? "below" : "up to", range.max));
    return std::nullopt;
  }
  return number;
}

std::optional<std::uint32_t> ReadCount(const YamlNode* node,
                                       std::uint32_t min,
                                       std::uint32_t max,
                                       YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  std::uint32_t count = 0;
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, count);
  if (parsed.ec != std::errc() || parsed.ptr != end || count < min ||
      count > max) {
    faults.Add(node->position,
               fmt::format("expected a whole number from {} to {}", min, max));
    return std::nullopt;
  }
  return count;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  for (const DurationUnit& unit : kDurationUnits) {
    if (!text.ends_with(unit.suffix))
      continue;
    const std::string_view digits =
        text.substr(0, text.size() - unit.suffix.size());
    const std::optional<double> number = ParseNumber(digits);
    if (!number.has_value())
      continue;
    const double length = *number * static_cast<double>(unit.length.count());
    if (length < 0 || length > kMaxDurationNs)
      return std::nullopt;
    return Duration(std::llround(length));
  }
  return std::nullopt;
}

std::string FormatDuration(Duration duration) {
  for (auto unit = kDurationUnits.rbegin(); unit != kDurationUnits.rend();
       ++unit) {
    if (duration.count() != 0 && duration % unit->length == Duration(0))
      return fmt::format("{}{}", duration / unit->length, unit->suffix);
  }
  return "0s";
}

std::optional<Duration> ReadDuration(const YamlNode* node,
                                     const DurationRange& range,
                                     YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  const std::optional<Duration> duration = ParseDuration(*text);
  if (!duration.has_value()) {
    faults.Add(node->position,
               "expected a duration with its unit, such as 50ms, 2s or 24h");
    return std::nullopt;
  }
  if (*duration < range.min || *duration > range.max) {
    faults.Add(node->position, fmt::format("expected a duration from {} to {}",
                                           FormatDuration(range.min),
                                           FormatDuration(range.max)));
    return std::nullopt;
  }
  return duration;
}

std::optional<Endpoint> ReadEndpoint(const YamlNode* node, YamlFaults& faults) {
  const std::optional<std::string> text = ReadText(node, faults);
  if (!text.has_value())
    return std::nullopt;
  std::optional<Endpoint> endpoint = ParseEndpoint(*text);
  if (!endpoint.has_value())
    faults.Add(node->position, "expected IP:PORT with a numeric IP address");
  return endpoint;
}

const std::vector<YamlNode>& ReadSequence(const YamlNode* node,
                                          YamlFaults& faults) {
  static const std::vector<YamlNode> none;
  if (node == nullptr)
    return none;
  if (node->type != YamlNodeType::kSequence || node->items.empty()) {
    faults.Add(node->position, "expected a list of at least one item");
    return none;
  }
  return node->items;
}

}  // namespace bulrushmount

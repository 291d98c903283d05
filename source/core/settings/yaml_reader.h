// A YAML reader that reports all faults of a text at once, each with its line
// and column. Used for contracts and settings.
//
// The text may come from anyone who can reach the operator address, so its
// size, depth and node count are bounded, and aliases, whose expansion can be
// exponential in the size of the text, are refused.

#ifndef BULRUSHMOUNT_CORE_SETTINGS_YAML_READER_H_
#define BULRUSHMOUNT_CORE_SETTINGS_YAML_READER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/time.h"

namespace bulrushmount {

// A node parses on the thread that serves calls, and the worst text of this
// size takes tens of milliseconds.
inline constexpr std::size_t kMaxYamlBytes = 65'536;
inline constexpr std::size_t kMaxYamlDepth = 16;
inline constexpr std::size_t kMaxYamlNodes = 10'000;
inline constexpr std::size_t kMaxNameLength = 64;

// Lines and columns count from 1.
struct YamlPosition {
  std::size_t line = 1;
  std::size_t column = 1;

  friend bool operator==(const YamlPosition&, const YamlPosition&) = default;
};

struct YamlFault {
  YamlPosition position;
  std::string message;

  friend bool operator==(const YamlFault&, const YamlFault&) = default;
};

// The error object of functions that read YAML.
struct YamlFaults {
  std::vector<YamlFault> faults;

  bool empty() const { return faults.empty(); }
  void Add(YamlPosition position, std::string message);
  // Sorts the faults by position and removes duplicates.
  void Sort();
};

// One line per fault: "line 3, column 5: unknown key 'foo'".
std::string ToString(const YamlFaults& faults);

struct YamlEntry;

enum class YamlNodeType : std::uint8_t { kNull, kScalar, kSequence, kMap };

struct YamlNode {
  YamlNodeType type = YamlNodeType::kNull;
  YamlPosition position;
  // Only for a scalar.
  std::string scalar;
  // Only for a sequence.
  std::vector<YamlNode> items;
  // Only for a map, in the order of the text.
  std::vector<YamlEntry> entries;
};

struct YamlEntry {
  YamlNode key;
  YamlNode value;
};

// Parses the single document of `text`. Adds to `faults` and returns what could
// be parsed, which is nothing if the syntax is invalid.
std::optional<YamlNode> ParseYaml(std::string_view text, YamlFaults& faults);

// Reads one map. Look up each known key, then call `Finish`, which reports the
// others.
class YamlMapReader {
 public:
  // `node` and `faults` must outlive the reader. A node that is not a map is
  // reported as a fault, and later calls return nothing without a further
  // fault.
  YamlMapReader(const YamlNode& node, YamlFaults& faults);

  // Returns the value of `key`; reports a fault if it is missing.
  const YamlNode* Required(std::string_view key);
  const YamlNode* Optional(std::string_view key);

  // Lets the fault for an obsolete key name its replacement.
  void Renamed(std::string_view old_key, std::string_view key);

  // Reports keys that were not looked up.
  void Finish();

 private:
  void ReportDuplicates();

  const YamlNode& m_node;
  YamlFaults& m_faults;
  bool m_is_map;
  std::set<std::string, std::less<>> m_known;
  // Maps obsolete keys to their replacements.
  std::map<std::string, std::string, std::less<>> m_renamed;
};

// Each of the following functions reads one value. The result is empty if the
// node is null, or if the value is invalid, which is reported as a fault.

std::optional<std::string> ReadText(const YamlNode* node, YamlFaults& faults);

// 1 to 64 characters of [A-Za-z0-9._-].
std::optional<std::string> ReadName(const YamlNode* node, YamlFaults& faults);
bool IsValidName(std::string_view name);

// "true" or "false".
std::optional<bool> ReadBool(const YamlNode* node, YamlFaults& faults);

struct NumberRange {
  double min = 0;
  double max = 0;
  // Whether `min` itself is out of range.
  bool is_min_excluded = false;
  bool is_max_excluded = false;
};
std::optional<double> ReadNumber(const YamlNode* node,
                                 const NumberRange& range,
                                 YamlFaults& faults);

std::optional<std::uint32_t> ReadCount(const YamlNode* node,
                                       std::uint32_t min,
                                       std::uint32_t max,
                                       YamlFaults& faults);

// Durations such as "50ms", "2s", "24h": a decimal number with one of the units
// ns, us, ms, s, m, h.
struct DurationRange {
  Duration min{};
  Duration max{};
};
std::optional<Duration> ParseDuration(std::string_view text);
std::optional<Duration> ReadDuration(const YamlNode* node,
                                     const DurationRange& range,
                                     YamlFaults& faults);
// Uses the largest unit in which the duration is a whole number.
std::string FormatDuration(Duration duration);

std::optional<Endpoint> ReadEndpoint(const YamlNode* node, YamlFaults& faults);

// The items of a sequence with at least one item; empty on a fault.
const std::vector<YamlNode>& ReadSequence(const YamlNode* node,
                                          YamlFaults& faults);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_SETTINGS_YAML_READER_H_

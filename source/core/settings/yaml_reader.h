// A YAML reader that lists every fault of a text at once, each with its line
// and column. Contracts and settings share it.
//
// The text may come from anybody who reaches the operator address, so its size,
// its depth and its node count are bounded, and aliases, whose expansion is
// exponential in the text, are refused.

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

// A node reads on the thread that serves calls, and the worst text of this
// size takes it tens of milliseconds.
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
  // In the order of the text, each once.
  void Sort();
};

// One line for each fault: "line 3, column 5: unknown key 'foo'".
std::string ToString(const YamlFaults& faults);

struct YamlEntry;

enum class YamlNodeType : std::uint8_t { kNull, kScalar, kSequence, kMap };

struct YamlNode {
  YamlNodeType type = YamlNodeType::kNull;
  YamlPosition position;
  // Of a scalar.
  std::string scalar;
  // Of a sequence.
  std::vector<YamlNode> items;
  // Of a map, in the order of the text.
  std::vector<YamlEntry> entries;
};

struct YamlEntry {
  YamlNode key;
  YamlNode value;
};

// The only document of `text`. Adds to `faults` and returns what could be read,
// which is nothing when the syntax is broken.
std::optional<YamlNode> ParseYaml(std::string_view text, YamlFaults& faults);

// Reads one map. Each key is asked for once; `Finish` then reports the others.
class YamlMapReader {
 public:
  // `node` and `faults` must outlive the reader. A node that is no map is a
  // fault, and every later call then returns nothing without a further one.
  YamlMapReader(const YamlNode& node, YamlFaults& faults);

  // The value of `key`; a fault if there is none.
  const YamlNode* Required(std::string_view key);
  const YamlNode* Optional(std::string_view key);

  // Makes the fault of an obsolete key name its replacement.
  void Renamed(std::string_view old_key, std::string_view key);

  // Reports keys that nobody asked for.
  void Finish();

 private:
  void ReportDuplicates();

  const YamlNode& m_node;
  YamlFaults& m_faults;
  bool m_is_map;
  std::set<std::string, std::less<>> m_known;
  // The replacements of obsolete keys.
  std::map<std::string, std::string, std::less<>> m_renamed;
};

// What follows reads one value. Without a node, or at a fault, which is
// reported, the result is empty.

std::optional<std::string> ReadText(const YamlNode* node, YamlFaults& faults);

// 1 to 64 of [A-Za-z0-9._-].
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

// "50ms", "2s", "24h": a decimal number with one of ns, us, ms, s, m, h.
struct DurationRange {
  Duration min{};
  Duration max{};
};
std::optional<Duration> ParseDuration(std::string_view text);
std::optional<Duration> ReadDuration(const YamlNode* node,
                                     const DurationRange& range,
                                     YamlFaults& faults);
// In the largest unit that needs no fraction.
std::string FormatDuration(Duration duration);

std::optional<Endpoint> ReadEndpoint(const YamlNode* node, YamlFaults& faults);

// The items of a sequence of at least one; empty at a fault.
const std::vector<YamlNode>& ReadSequence(const YamlNode* node,
                                          YamlFaults& faults);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_SETTINGS_YAML_READER_H_

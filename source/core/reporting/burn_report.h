// The report on error budget burn as a value type: one node's part, or the
// merged parts of several nodes.

#ifndef BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_H_
#define BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/contracts/contract.h"

namespace bulrushmount {

// The windows of the two alert pairs: 5 min with 1 h, 30 min with 6 h.
enum class BurnWindow : std::uint8_t {
  kFiveMinutes,
  kThirtyMinutes,
  kOneHour,
  kSixHours,
};
inline constexpr std::size_t kBurnWindowCount = 4;

struct BurnWindowTraits {
  std::string_view name;
  Duration length{};
};
const BurnWindowTraits& TraitsOf(BurnWindow window);

// Calls that count towards the objective, each with its kind's weight.
struct EventCounts {
  double good = 0;
  double bad = 0;

  friend bool operator==(const EventCounts&, const EventCounts&) = default;
};

// Calls by outcome since the node started.
struct OutcomeCounts {
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;

  friend bool operator==(const OutcomeCounts&, const OutcomeCounts&) = default;
};

// One non-empty cell of a latency histogram. All nodes use the same cells, see
// `LatencyCellUpperBound`.
struct LatencyCell {
  std::uint32_t index = 0;
  std::uint64_t count = 0;

  friend bool operator==(const LatencyCell&, const LatencyCell&) = default;
};

// Latency cells: cell 0 is below 10 us, then 24 per decade up to 1,000 s, and
// the last cell has everything above.
inline constexpr std::uint32_t kLatencyCellsPerDecade = 24;
inline constexpr std::uint32_t kLatencyDecades = 8;
inline constexpr std::uint32_t kLatencyCells =
    kLatencyCellsPerDecade * kLatencyDecades + 2;
inline constexpr Duration kLowestLatency = std::chrono::microseconds(10);
inline constexpr Duration kHighestLatency = std::chrono::seconds(1000);

// The upper bound of the cell's latencies; Duration::max() for the last cell.
Duration LatencyCellUpperBound(std::uint32_t index);

struct BurnSeries {
  WorkspaceName workspace;
  ServiceName service;
  KindName kind;
  LatencyObjective objective;
  OutcomeCounts outcomes;
  std::array<EventCounts, kBurnWindowCount> windows;
  // Latencies of answered calls, ordered by index, without empty cells.
  std::vector<LatencyCell> latencies;

  const EventCounts& In(BurnWindow window) const {
    return windows.at(static_cast<std::size_t>(window));
  }

  friend bool operator==(const BurnSeries&, const BurnSeries&) = default;
};

struct BurnReport {
  // The number of nodes whose parts are included, and of those that did not
  // answer.
  std::uint32_t nodes = 0;
  std::uint32_t nodes_missing = 0;
  // Unique and ordered by workspace, service and kind.
  std::vector<BurnSeries> series;

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

// The share of bad events divided by the share that the objective allows; a
// rate of 1 uses up the error budget exactly. Empty if there were no events.
std::optional<double> BurnRate(const EventCounts& counts,
                               const LatencyObjective& objective);

// Thresholds of the burn rate. Both windows of a pair must reach one: the long
// window shows that the burn is significant, the short one that it continues.
inline constexpr double kFastBurnRate = 14.4;
inline constexpr double kSlowBurnRate = 6.0;

enum class BurnAlert : std::uint8_t { kNone, kSlow, kFast };
BurnAlert AlertOf(const BurnSeries& series);
std::string_view ToToken(BurnAlert alert);

// The latency that `fraction` of the answers did not exceed, with the precision
// of a cell (10 %). Empty without answers; Duration::max() if it is in the last
// cell.
std::optional<Duration> Quantile(const BurnSeries& series, double fraction);

// Adds `part` to `report`. If two nodes have different revisions of a contract,
// the objective already in `report` is kept.
void Merge(BurnReport& report, const BurnReport& part);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_H_

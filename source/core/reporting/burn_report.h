// The report on service-level burn, as a value: one node's part, or several
// parts merged by the node that was asked.

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

// One filled cell of a latency histogram. Cells are numbered alike on all
// nodes, see `LatencyCellUpperBound`.
struct LatencyCell {
  std::uint32_t index = 0;
  std::uint64_t count = 0;

  friend bool operator==(const LatencyCell&, const LatencyCell&) = default;
};

// Latency cells: cell 0 is below 10 us, then 24 to the decade up to 1,000 s,
// and the last is all above.
inline constexpr std::uint32_t kLatencyCellsPerDecade = 24;
inline constexpr std::uint32_t kLatencyDecades = 8;
inline constexpr std::uint32_t kLatencyCells =
    kLatencyCellsPerDecade * kLatencyDecades + 2;
inline constexpr Duration kLowestLatency = std::chrono::microseconds(10);
inline constexpr Duration kHighestLatency = std::chrono::seconds(1000);

// The time below which all of the cell's latencies lie; Duration::max() for
// the last cell.
Duration LatencyCellUpperBound(std::uint32_t index);

struct BurnSeries {
  WorkspaceName workspace;
  ServiceName service;
  KindName kind;
  LatencyObjective objective;
  OutcomeCounts outcomes;
  std::array<EventCounts, kBurnWindowCount> windows;
  // Of answered calls, in the order of the index, without empty cells.
  std::vector<LatencyCell> latencies;

  const EventCounts& In(BurnWindow window) const {
    return windows.at(static_cast<std::size_t>(window));
  }

  friend bool operator==(const BurnSeries&, const BurnSeries&) = default;
};

struct BurnReport {
  // How many nodes' parts are in it, and how many did not answer.
  std::uint32_t nodes = 0;
  std::uint32_t nodes_missing = 0;
  // In the order of workspace, service and kind, each once.
  std::vector<BurnSeries> series;

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

// Share of bad events, divided by the share that the objective allows: 1 uses
// the error budget up exactly. Empty if there were no events.
std::optional<double> BurnRate(const EventCounts& counts,
                               const LatencyObjective& objective);

// Both windows of a pair must burn this fast: the long one says that it
// matters, the short one that it still goes on.
inline constexpr double kFastBurn = 14.4;
inline constexpr double kSlowBurn = 6.0;

enum class BurnAlert : std::uint8_t { kNone, kSlow, kFast };
BurnAlert AlertOf(const BurnSeries& series);
std::string_view ToToken(BurnAlert alert);

// Latency that `fraction` of the answers did not exceed, to the width of a
// cell (10 %). Empty without answers; Duration::max() if above all cells.
std::optional<Duration> Quantile(const BurnSeries& series, double fraction);

// Adds `part` to `report`. Where two nodes are at different revisions of a
// contract, the objective already in `report` stays.
void Merge(BurnReport& report, const BurnReport& part);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_BURN_REPORT_H_

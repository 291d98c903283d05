// The shapes, scenarios and arrivals that the policy benchmark runs: made once
// a scenario, so that all policies see the same calls.

#ifndef BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_
#define BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace bulrushmount {

// One service of a deployment. Nodes 0 to targets - 1 own its targets; every
// node is an entry.
struct Shape {
  std::string name;
  std::size_t targets = 0;
  std::size_t nodes = 0;
  std::uint32_t slots = 0;
  std::size_t zones = 0;
  // One way, between two zones.
  Duration zone_delay{};
};

enum class Fault : std::uint8_t {
  kNone,
  // Bursts at 2.5x the capacity, on top of the steady load.
  kBursts,
  // Target 0 becomes 10x slower in an instant.
  kSlow,
  // Half of target 0's machine is taken: above half its slots it slows.
  kNoisy,
  // The same of every target.
  kAllNoisy,
  // Two targets (one of three) answer with an error within 0.5 ms.
  kFailing,
  // Target 0 joins, 5x slower at first.
  kCold,
  // Target 0 drains; entries hear of it within a second.
  kDrain,
};

struct Scenario {
  std::string name;
  // Of the capacity of all targets, healthy.
  double load = 0;
  Fault fault = Fault::kNone;
  // Of each burst; 5 to 50 ms, drawn anew each time, if empty.
  std::optional<Duration> burst{};
  // What a second workspace offers, and may have by its contract. The results
  // are those of the first one.
  double flood = 0;
  double flood_limit = 0;
  // The load endpoint of a struck target says that it is idle.
  bool is_lying = false;
  // Probes a second of each target; with a value, even 0, each target has a
  // TargetLifecycle that says whether it serves.
  std::optional<double> probes{};
};

// The fault begins at kFaultAt; calls that arrive from kMeasureFrom on count.
inline constexpr TimePoint kFaultAt{std::chrono::seconds(4)};
inline constexpr TimePoint kMeasureFrom{std::chrono::seconds(4)};
inline constexpr TimePoint kArrivalsEnd{std::chrono::seconds(16)};

struct Arrival {
  TimePoint at;
  std::size_t entry = 0;
  double weight = 1;
  // What a healthy target takes for it.
  Duration work{};
  Duration deadline{};
  // The one whose results count, or the one that floods.
  bool is_flood = false;
};

// Whether target `index` is one that `fault` strikes.
bool IsStruck(const Shape& shape, Fault fault, std::size_t index);

// How many times as long as a healthy one a target takes for a request that
// starts at `now` as one of `running`.
double SlownessOf(const Shape& shape,
                  Fault fault,
                  std::size_t index,
                  TimePoint now,
                  std::size_t running);

std::vector<Arrival> MakeArrivals(const Shape& shape,
                                  const Scenario& scenario,
                                  std::uint64_t seed);

// What became of the calls of one run.
struct Result {
  std::vector<double> good_ms;
  std::size_t calls = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t errors = 0;
  std::size_t retries = 0;
  // Good answers of the workspace that floods.
  std::size_t flood_good = 0;
};

// Weighted units a second that all healthy targets can do.
double CapacityOf(const Shape& shape);

// A single queue for all slots, with no delays, that knows how long each
// request will take where, and drops what cannot be in time.
Result RunClairvoyant(const Shape& shape,
                      Fault fault,
                      const std::vector<Arrival>& arrivals);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_

// The deployments (shapes), scenarios and arrivals of the policy benchmark.
// Arrivals are generated once for each scenario, so that all policies get the
// same calls.

#ifndef BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_
#define BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace bulrushmount {

// One service of a deployment. Nodes 0 to `targets` - 1 own its targets; every
// node is an entry.
struct Shape {
  std::string name;
  std::size_t targets = 0;
  std::size_t nodes = 0;
  std::uint32_t slots = 0;
  std::size_t zones = 0;
  // One-way delay between two zones.
  Duration zone_delay{};
};

// A fault that starts at `kFaultAt`, except for bursts, which occur during the
// whole run.
enum class Fault : std::uint8_t {
  kNone,
  // Load bursts of 2.5x the capacity in place of the steady load.
  kBursts,
  // Target 0 suddenly becomes 10x slower.
  kSlow,
  // Another process uses half of target 0's machine: with more than half of its
  // slots in use, the target slows down.
  kNoisy,
  // The same for every target.
  kAllNoisy,
  // Two targets, or one if there are at most three, answer with an error after
  // 0.5 ms.
  kFailing,
  // Target 0 joins and is 5x slower at first.
  kCold,
  // Target 0 drains; entries learn of it within one second.
  kDrain,
};

struct Scenario {
  std::string name;
  // As a fraction of the capacity of all targets when healthy.
  double load = 0;
  Fault fault = Fault::kNone;
  // Length of each burst. If empty, each gets a random length of 5 to 50 ms.
  std::optional<Duration> burst{};
  // Offered load and contract limit of a second workspace, as fractions of the
  // capacity. The results are those of the first workspace.
  double flood = 0;
  double flood_limit = 0;
  // The load endpoint of an affected target reports that the target is idle.
  bool is_reporting_idle = false;
  // Probes per second of each target. If set, even to 0, each target has a
  // TargetLifecycle that decides whether it serves.
  std::optional<double> probes{};
};

// The fault starts at kFaultAt. Calls that arrive before kMeasureFrom are not
// counted.
inline constexpr TimePoint kFaultAt{std::chrono::seconds(4)};
inline constexpr TimePoint kMeasureFrom{std::chrono::seconds(4)};
inline constexpr TimePoint kArrivalsEnd{std::chrono::seconds(16)};

struct Arrival {
  TimePoint at;
  std::size_t entry = 0;
  double weight = 1;
  // Service time at a healthy target.
  Duration service_time{};
  Duration deadline{};
  // Whether the call is from the second workspace, see Scenario::flood.
  bool is_flood = false;
};

// Whether `fault` affects target `index`.
bool IsAffected(const Shape& shape, Fault fault, std::size_t index);

// Factor by which a request that starts at `now` takes longer than at a healthy
// target. `running` counts the requests at the target, including this one.
double SlowdownOf(const Shape& shape,
                  Fault fault,
                  std::size_t index,
                  TimePoint now,
                  std::size_t running);

std::vector<Arrival> MakeArrivals(const Shape& shape,
                                  const Scenario& scenario,
                                  std::uint64_t seed);

// Results of one run. Latencies are those of the good answers; the counts are
// numbers of calls.
struct Result {
  std::vector<double> good_ms;
  std::size_t calls = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t errors = 0;
  std::size_t retries = 0;
  // Good answers of the second workspace.
  std::size_t flood_good = 0;
};

// Weighted units per second that all targets can process when healthy.
double CapacityOf(const Shape& shape);

// Simulates the reference for the policies: a single queue for all slots,
// without delays, that knows the duration of each request at each target and
// refuses a request that would miss its deadline.
Result RunClairvoyant(const Shape& shape,
                      Fault fault,
                      const std::vector<Arrival>& arrivals);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BENCHMARKS_POLICY_WORKLOAD_H_

// Measures, by the size of the fleet, how many table requests the distribution
// of the measuring budget causes and how much of the budget is used; also the
// processor time of one timer call of a node.
//
//   measuring_benchmark [seed]
//
// Simulates one service for ten minutes; the table rates are those of this
// service times the number of services. Either all of its targets are idle, or
// one in ten: the others are busy and need no probe.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "core/measuring/budget_layout.h"
#include "core/measuring/probe_scheduler.h"
#include "unit_tests/core/measuring/naive_budget.h"
#include "unit_tests/core/measuring/probe_fleet.h"

namespace bulrushmount {

namespace {

constexpr Duration kMeasuredTime = std::chrono::minutes(10);
const ServiceMeasuringBudget kBudget{ServiceName("desk"), 5, 5};

struct FleetShape {
  std::uint32_t members;
  std::uint32_t services;
};

constexpr int kTimerCalls = 1'000'000;

// A table that never answers.
class UnresponsiveTable : public TableService {
 public:
  void Submit(TableRequest request, Callback callback) override {}
};

// Longest time without a probe of the node's target between `begin` and `end`.
Duration LongestProbeGap(const std::vector<ProbeRecord>& records,
                         std::size_t node,
                         TimePoint begin,
                         TimePoint end) {
  TimePoint last = begin;
  Duration longest{};
  for (const ProbeRecord& record : records) {
    if (record.node == node && record.sent_at >= begin) {
      longest = std::max(longest, record.sent_at - last);
      last = record.sent_at;
    }
  }
  return std::max(longest, end - last);
}

void RunFleet(const FleetShape& shape, bool are_all_idle, std::uint64_t seed) {
  ProbeFleet fleet(seed, MeasuringSettings());
  fleet.SetFleet(shape.members, shape.services);
  fleet.SetBudget(kBudget, Duration::zero());
  const std::uint32_t nodes = shape.members / shape.services;
  for (std::uint32_t i = 0; i < nodes; ++i) {
    const bool is_idle = are_all_idle || i % 10 == 0;
    fleet.Join(is_idle ? ProbeNeed::kIdle : ProbeNeed::kNone);
  }
  fleet.Advance(std::chrono::minutes(2));
  const TimePoint begin = fleet.now();
  const std::size_t probes = fleet.Records().size();
  const std::size_t reads = fleet.reads();
  const std::size_t writes = fleet.writes();
  fleet.Advance(kMeasuredTime);
  const std::vector<ProbeRecord> records = fleet.Records();
  const double run = ToSeconds(kMeasuredTime);
  const double used = static_cast<double>(records.size() - probes) /
                      (kBudget.probes_per_second * run);
  Duration gap{};
  for (std::size_t node = 0; node < nodes; node += are_all_idle ? 1 : 10) {
    gap = std::max(gap, LongestProbeGap(records, node, begin, fleet.now()));
  }
  const NaiveBudget naive(5, std::chrono::seconds(1), 5);
  fmt::print(
      "members={} services={} idle={} table_reads_s={:.1f} "
      "table_writes_s={:.1f} budget_used={:.3f} over_budget={} "
      "longest_unprobed_s={:.0f}\n",
      shape.members, shape.services, are_all_idle ? "all" : "tenth",
      static_cast<double>(fleet.reads() - reads) / run * shape.services,
      static_cast<double>(fleet.writes() - writes) / run * shape.services, used,
      CountOverBudget(records, naive), ToSeconds(gap));
}

// Measures `OnTimer` with nothing due, followed by `NextWakeup`.
void TimeOneTimer(std::uint64_t seed) {
  SeededRandomSource random(seed);
  UnresponsiveTable table;
  TimePoint now{std::chrono::hours(1)};
  ProbeScheduler scheduler(NodeId(1), MeasuringSettings(), random);
  const MeasuringTerms terms{{kBudget}};
  scheduler.OnContract(now, Revision(1), &terms);
  scheduler.OnTarget(now, kBudget.service);
  scheduler.OnNeed(now, ProbeNeed::kIdle);
  std::int64_t sink = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kTimerCalls; ++i) {
    now += std::chrono::milliseconds(1);
    scheduler.OnTimer(now, table);
    sink += scheduler.NextWakeup().time_since_epoch().count() & 1;
  }
  const auto elapsed = std::chrono::steady_clock::now() - begin;
  fmt::print("timer_ns={:.0f} (sink {})\n",
             ToSeconds(elapsed) * 1e9 / kTimerCalls, sink);
}

}  // namespace

}  // namespace bulrushmount

int main(int argc, char** argv) {
  using bulrushmount::FleetShape;
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  for (const FleetShape& shape : {FleetShape{7, 1}, FleetShape{25, 1},
                                  FleetShape{100, 4}, FleetShape{1100, 49}}) {
    bulrushmount::RunFleet(shape, true, seed);
    bulrushmount::RunFleet(shape, false, seed);
  }
  bulrushmount::TimeOneTimer(seed);
  return 0;
}

// Several nodes' probe schedulers over one table, with every fault on the way:
// requests that arrive late or never, answers lost, nodes that stop and go on,
// clocks that start anywhere and run at different rates.

#ifndef BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_PROBE_FLEET_H_
#define BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_PROBE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "core/common/random.h"
#include "core/measuring/probe_scheduler.h"
#include "core/store/in_memory_table.h"
#include "unit_tests/core/common/virtual_time.h"
#include "unit_tests/core/measuring/naive_budget.h"

namespace bulrushmount {

enum class LinkFault : std::uint8_t {
  kNone,
  // kUnavailable, without effect.
  kDown,
  // Some answers come late, some are lost, some requests take effect only
  // after their sender was told that the outcome is unknown.
  kUnreliable,
  // Every answer is lost; requests take effect.
  kAnswersLost,
  // Seconds pass before a request takes effect, and before its answer comes.
  kSlow,
};

class ProbeFleet {
 public:
  ProbeFleet(std::uint64_t seed, const MeasuringSettings& settings);
  ~ProbeFleet();

  // Adds a node that knows the budget in force; returns its index.
  std::size_t Join(ProbeNeed need);
  // Ends at once, as by SIGKILL.
  void Kill(std::size_t node);
  // Stopped as by SIGSTOP; its clock goes on, its connections stay.
  void Freeze(std::size_t node);
  void Resume(std::size_t node);
  void SetNeed(std::size_t node, ProbeNeed need);
  void SetFault(LinkFault fault) { m_fault = fault; }
  // Every live node is told within `spread`. Those `cut_off` are not told.
  void SetBudget(const ServiceMeasuringBudget& budget,
                 Duration spread,
                 const std::vector<std::size_t>& cut_off = {});
  // A fraction of probes to which the target does not answer.
  void SetHangs(double fraction) { m_hang_fraction = fraction; }
  // Up to this long passes between the decision and the send of a probe.
  void SetLateness(Duration lateness) { m_lateness = lateness; }
  // What each node believes of the fleet beyond this service.
  void SetFleet(std::uint32_t members, std::uint32_t services);

  void Advance(Duration duration);

  TimePoint now() const { return m_time.now(); }
  std::size_t size() const { return m_nodes.size(); }
  // In the order of their sending, of all nodes.
  std::vector<ProbeRecord> Records() const;
  std::size_t reads() const { return m_reads; }
  std::size_t writes() const { return m_writes; }
  std::size_t timers() const { return m_timers; }
  // When every node had been told of the last budget.
  TimePoint reported_at() const { return m_reported_at; }
  InMemoryTable& table() { return m_table; }

 private:
  class Node;
  class Link;

  void Step(TimePoint end);
  void ReportSize();
  Duration RandomUpTo(Duration longest);

  SeededRandomSource m_random;
  MeasuringSettings m_settings;
  InMemoryTable m_table;
  LinkFault m_fault = LinkFault::kNone;
  double m_hang_fraction = 0;
  Duration m_lateness = std::chrono::milliseconds(5);
  FleetSize m_size;
  VirtualTime m_time;
  TimePoint m_reported_at;
  MeasuringTerms m_terms;
  Revision m_revision;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<ProbeRecord> m_records;
  std::size_t m_reads = 0;
  std::size_t m_writes = 0;
  std::size_t m_timers = 0;
};

// How many of the records the naive version would not have allowed.
std::size_t CountOverBudget(const std::vector<ProbeRecord>& records,
                            NaiveBudget naive);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_PROBE_FLEET_H_

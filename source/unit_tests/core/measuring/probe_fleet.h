// Simulates the probe schedulers of several nodes with one table and with
// faults: requests that arrive late or never, lost answers, suspended
// processes, and clocks with different offsets and rates.

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
  // Requests fail with kUnavailable and without effect.
  kDown,
  // Some answers are late, some are lost, and some requests take effect only
  // after their sender got an unknown outcome.
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

  // Adds a node that has the budget in force; returns its index.
  std::size_t Join(ProbeNeed need);
  // Ends the node immediately, as by SIGKILL.
  void Kill(std::size_t node);
  // Suspends the node, as by SIGSTOP; its clock continues and its connections
  // stay open.
  void Freeze(std::size_t node);
  void Resume(std::size_t node);
  void SetNeed(std::size_t node, ProbeNeed need);
  void SetFault(LinkFault fault) { m_fault = fault; }
  // Sends the budget to every live node within `spread`, except to those in
  // `cut_off`.
  void SetBudget(const ServiceMeasuringBudget& budget,
                 Duration spread,
                 const std::vector<std::size_t>& cut_off = {});
  // Sets the fraction of probes that the target does not answer.
  void SetHangFraction(double fraction) { m_hang_fraction = fraction; }
  // Sets the maximum delay between the decision and the send of a probe.
  void SetMaxSendDelay(Duration max_send_delay) {
    m_max_send_delay = max_send_delay;
  }
  // Sets the fleet size that each node assumes beyond this service.
  void SetFleet(std::uint32_t members, std::uint32_t services);

  void Advance(Duration duration);

  TimePoint now() const { return m_time.now(); }
  std::size_t size() const { return m_nodes.size(); }
  // Probes of all nodes in the order in which they were sent.
  std::vector<ProbeRecord> Records() const;
  std::size_t reads() const { return m_reads; }
  std::size_t writes() const { return m_writes; }
  std::size_t timers() const { return m_timers; }
  // Time by which every node has received the last budget.
  TimePoint received_at() const { return m_received_at; }
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
  Duration m_max_send_delay = std::chrono::milliseconds(5);
  FleetSize m_size;
  VirtualTime m_time;
  TimePoint m_received_at;
  MeasuringTerms m_terms;
  Revision m_revision;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<ProbeRecord> m_records;
  std::size_t m_reads = 0;
  std::size_t m_writes = 0;
  std::size_t m_timers = 0;
};

// Number of records that the reference implementation would not have allowed.
std::size_t CountOverBudget(const std::vector<ProbeRecord>& records,
                            NaiveBudget naive);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_UNIT_TESTS_CORE_MEASURING_PROBE_FLEET_H_

// Measures the cost of a complete node by the size of the fleet, in virtual
// time: heap, processor time by event, datagrams by kind, table requests by key
// prefix. Covers an idle fleet, load, the loss of an availability zone, and a
// simultaneous restart of all nodes with a slow table. Prints one line of
// key=value pairs for each figure.
//
//   capacity_benchmark SEED MEMBERS SERVICES WORKSPACES CALLS_PER_S PHASE...
//
// Phases: idle, calls, load, zone, restart, start. They run in the order given.
// The phase `start` uses another fleet, in three zones of one region, and
// prints the bytes between zones after the start of all its nodes at once,
// while they are idle, and after a change of a document. CALLS_PER_S is the
// rate at each entry.

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "benchmarks/node_network.h"
#include "core/common/datagram.h"
#include "core/common/logging.h"

namespace bulrushmount {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// By the index of the alternative in `NodeEvent`.
constexpr std::array<std::string_view, kEventKinds> kEventNames = {
    "call_arrived",           "caller_disconnected",  "attempt_refused",
    "attempt_answer_begun",   "attempt_answer_ended", "attempt_lost",
    "answer_stalled",         "work_arrived",         "work_cancelled",
    "target_connect_failed",  "target_answer_begun",  "target_answer_ended",
    "target_exchange_failed", "target_announced",     "target_withdrawn",
    "probe_answered",         "probe_failed",         "datagram_arrived",
    "table_replied",          "operator_requested",   "timer_fired",
    "shutdown_requested"};

constexpr std::array<std::string_view, kDatagramKinds> kDatagramNames = {
    "other", "gossip", "limits", "quarantine", "config"};

constexpr Duration kIdleTime = seconds(30);
constexpr Duration kStartTime = seconds(15);
constexpr Duration kDocumentTime = seconds(5);
constexpr std::size_t kDocumentBytes = 15'000;
// Entries start with small loans from the limiter homes, so calls are refused
// at first.
constexpr Duration kLoadRampUp = seconds(10);
constexpr Duration kLoadSettleTime = seconds(40);
constexpr Duration kLoadTime = seconds(5);
// Longer than the cold start of a target that gets no calls, which takes twice
// the configured time.
constexpr Duration kColdStart = seconds(22);

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

struct Options {
  NetworkSettings network;
  double calls_per_second = 0;
};

std::string Prefix(const Options& options, const std::string& phase) {
  return fmt::format("members={} services={} workspaces={} phase={}",
                     options.network.nodes, options.network.services,
                     options.network.workspaces, phase);
}

void PrintHeap(const Options& options,
               const std::string& phase,
               std::size_t before) {
  const std::size_t heap = HeapBytes();
  const std::size_t used = heap > before ? heap - before : 0;
  fmt::print("{} heap_bytes_per_node={}\n", Prefix(options, phase),
             used / options.network.nodes);
}

void PrintEvents(const std::string& prefix,
                 const NetworkCounts& counts,
                 double node_seconds) {
  double total_ns = 0;
  for (std::size_t i = 0; i < kEventKinds; ++i) {
    const EventCost& cost = counts.events[i];
    if (cost.count == 0)
      continue;
    const auto ns = static_cast<double>(cost.total_ns);
    total_ns += ns;
    fmt::print(
        "{} event={} per_node_s={:.2f} mean_ns={:.0f} longest_us={:.0f} "
        "cpu_us_per_node_s={:.1f}\n",
        prefix, kEventNames[i], static_cast<double>(cost.count) / node_seconds,
        ns / static_cast<double>(cost.count),
        static_cast<double>(cost.longest_ns) / 1e3, ns / 1e3 / node_seconds);
  }
  const EventCost& wakeup = counts.next_wakeup;
  fmt::print(
      "{} next_wakeup_mean_ns={:.0f} cpu_us_per_node_s={:.1f}\n", prefix,
      static_cast<double>(wakeup.total_ns) /
          static_cast<double>(std::max<std::uint64_t>(wakeup.count, 1)),
      (total_ns + static_cast<double>(wakeup.total_ns)) / 1e3 / node_seconds);
}

void PrintDatagrams(const std::string& prefix,
                    const NetworkCounts& counts,
                    std::size_t nodes,
                    double span_s) {
  std::uint64_t max_sent = 0;
  std::uint64_t max_received = 0;
  NodeTraffic sum;
  for (const NodeTraffic& traffic : counts.traffic) {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    for (std::size_t i = 0; i < kDatagramKinds; ++i) {
      sent += traffic.sent[i].bytes;
      received += traffic.received[i].bytes;
      sum.sent[i].datagrams += traffic.sent[i].datagrams;
      sum.sent[i].bytes += traffic.sent[i].bytes;
    }
    max_sent = std::max(max_sent, sent);
    max_received = std::max(max_received, received);
  }
  const double node_seconds = static_cast<double>(nodes) * span_s;
  double bytes = 0;
  for (std::size_t i = 0; i < kDatagramKinds; ++i) {
    if (sum.sent[i].datagrams == 0)
      continue;
    bytes += static_cast<double>(sum.sent[i].bytes);
    fmt::print(
        "{} datagram={} sent_per_node_s={:.2f} sent_bytes_per_node_s="
        "{:.0f}\n",
        prefix, kDatagramNames[i],
        static_cast<double>(sum.sent[i].datagrams) / node_seconds,
        static_cast<double>(sum.sent[i].bytes) / node_seconds);
  }
  fmt::print(
      "{} sent_bytes_per_node_s={:.0f} busiest_sent_bytes_per_s={:.0f} "
      "busiest_received_bytes_per_s={:.0f}\n",
      prefix, bytes / node_seconds, static_cast<double>(max_sent) / span_s,
      static_cast<double>(max_received) / span_s);
}

void PrintTableRequests(const std::string& prefix,
                        const NetworkCounts& counts,
                        double span_s) {
  for (const auto& [name, count] : counts.table) {
    fmt::print(
        "{} table={} fleet_reads_per_s={:.2f} "
        "fleet_transactions_per_s={:.2f} fleet_rows_per_s={:.2f}\n",
        prefix, name, static_cast<double>(count.reads) / span_s,
        static_cast<double>(count.transactions) / span_s,
        static_cast<double>(count.rows_written) / span_s);
  }
  fmt::print("{} most_table_reads_in_a_second={}\n", prefix,
             counts.max_reads_per_second);
}

void PrintCosts(const Options& options,
                const std::string& phase,
                const NodeNetwork& network,
                Duration span) {
  const std::string prefix = Prefix(options, phase);
  const std::size_t nodes = network.CountRunning();
  const double span_s = ToSeconds(span);
  PrintEvents(prefix, network.counts(), static_cast<double>(nodes) * span_s);
  PrintDatagrams(prefix, network.counts(), nodes, span_s);
  PrintTableRequests(prefix, network.counts(), span_s);
}

// Starts a fleet in which all nodes know each other, have the contracts and
// serve.
void Prepare(const Options& options, NodeNetwork& network, std::size_t heap) {
  network.StartAll();
  PrintHeap(options, "alone", heap);
  network.DistributeMemberRecords(2, true);
  PrintHeap(options, "acquainted", heap);
  network.Run(kColdStart);
  // All cold starts end at the same time here. Delivering the new records
  // directly avoids the wait until gossip, whose rate is limited, has spread a
  // thousand records to all nodes.
  network.DistributeMemberRecords(3, false);
  network.Run(seconds(10));
  PrintHeap(options, "before_contracts", heap);
  const bool is_written = network.WriteContracts();
  network.Run(seconds(30));
  PrintHeap(options, "with_contracts", heap);
  fmt::print(
      "{} contracts_written={} ready={} members_at_0={} "
      "members_at_last={}\n",
      Prefix(options, "prepared"), is_written, network.CountReady(),
      network.MembersAt(0), network.MembersAt(network.size() - 1));
}

void RunIdle(const Options& options, NodeNetwork& network) {
  network.ResetCounts();
  network.Run(kIdleTime);
  PrintCosts(options, "idle", network, kIdleTime);
}

// Measures the cost of a call at one node with warm caches. In the load phase
// all nodes of the fleet share the caches of one processor, unlike real nodes.
void RunCalls(const Options& options, NodeNetwork& network) {
  constexpr std::size_t calls_per_node = 2000;
  const std::size_t nodes = std::min<std::size_t>(network.size(), 8);
  network.ResetCounts();
  std::size_t completed = 0;
  for (std::size_t node = 0; node < nodes; ++node) {
    for (std::size_t i = 0; i < calls_per_node; ++i)
      completed += network.RunCallOnNode(node) ? 1 : 0;
  }
  const std::string prefix = Prefix(options, "calls");
  fmt::print("{} calls={} exercised={}\n", prefix, nodes * calls_per_node,
             completed);
  for (std::size_t i = 0; i < kEventKinds; ++i) {
    const EventCost& cost = network.counts().events[i];
    if (cost.count > 0)
      fmt::print("{} event={} mean_ns={}\n", prefix, kEventNames[i],
                 cost.total_ns / cost.count);
  }
}

void PrintCalls(const Options& options,
                const std::string& phase,
                const NetworkCounts& counts) {
  const std::string prefix = Prefix(options, phase);
  fmt::print("{} calls={} answered={} refused_by_owners={} lost_attempts={}\n",
             prefix, counts.calls, counts.answered, counts.refused_by_owners,
             counts.lost_attempts);
  for (const auto& [reason, count] : counts.refused)
    fmt::print("{} reason={} refused={}\n", prefix, reason, count);
}

void RunLoad(const Options& options, NodeNetwork& network, std::size_t heap) {
  network.ResetCounts();
  network.SetLoad(options.calls_per_second);
  network.Run(kLoadRampUp);
  PrintCalls(options, "load_begin", network.counts());
  network.Run(kLoadSettleTime);
  network.ResetCounts();
  network.Run(kLoadTime);
  PrintCalls(options, "load", network.counts());
  PrintCosts(options, "load", network, kLoadTime);
  PrintHeap(options, "load", heap);
  network.SetLoad(0);
  network.Run(seconds(20));
}

// Whether a sample of about twenty nodes see `members` live members each.
bool MemberCountsAgree(const NodeNetwork& network, std::size_t members) {
  const std::size_t stride = std::max<std::size_t>(network.size() / 20, 1);
  for (std::size_t i = 0; i < network.size(); i += stride) {
    if (network.IsRunning(i) && network.MembersAt(i) != members)
      return false;
  }
  return true;
}

// Runs the network until `condition` holds. Returns the virtual seconds, or -1
// if `limit` passes first. Raises `peak` to the largest heap size observed.
template <typename Condition>
double SecondsUntil(NodeNetwork& network,
                    Duration limit,
                    std::size_t& peak,
                    Condition condition) {
  const TimePoint start = network.now();
  while (!condition()) {
    if (network.now() - start >= limit)
      return -1;
    network.Run(milliseconds(500));
    peak = std::max(peak, HeapBytes());
  }
  return ToSeconds(network.now() - start);
}

void RunZoneLoss(const Options& options,
                 NodeNetwork& network,
                 std::size_t heap) {
  std::size_t peak = heap;
  network.StopZone(0);
  network.ResetCounts();
  const std::size_t running = network.CountRunning();
  const TimePoint start = network.now();
  const double known_s = SecondsUntil(network, seconds(90), peak, [&] {
    return MemberCountsAgree(network, running);
  });
  PrintCosts(options, "zone", network, network.now() - start);
  fmt::print("{} gone={} known_to_all_s={:.1f} peak_heap_bytes_per_node={}\n",
             Prefix(options, "zone"), network.size() - running, known_s,
             (peak - heap) / network.size());
}

// Replaces all processes at once. No node knows another, and the table takes
// one second to answer.
void RunRestart(const Options& options,
                NodeNetwork& network,
                std::size_t heap) {
  std::size_t peak = heap;
  network.SetTableDelay(seconds(1));
  network.StartAll();
  network.ResetCounts();
  const TimePoint start = network.now();
  const double ready_s = SecondsUntil(network, seconds(120), peak, [&] {
    return network.CountReady() == network.size();
  });
  const double known_s = SecondsUntil(network, seconds(120), peak, [&] {
    return MemberCountsAgree(network, network.size());
  });
  PrintCosts(options, "restart", network, network.now() - start);
  fmt::print(
      "{} all_ready_s={:.1f} then_all_known_s={:.1f} ready={} "
      "members_at_0={} peak_heap_bytes_per_node={}\n",
      Prefix(options, "restart"), ready_s, known_s, network.CountReady(),
      network.MembersAt(0), (peak - heap) / network.size());
}

void PrintBetweenZones(const Options& options,
                       const std::string& phase,
                       const NodeNetwork& network) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < kDatagramKinds; ++i) {
    const DatagramCount& count = network.counts().between_zones[i];
    total += count.bytes;
    if (count.datagrams > 0)
      fmt::print(
          "{} datagram={} datagrams_between_zones={} "
          "bytes_between_zones={}\n",
          Prefix(options, phase), kDatagramNames[i], count.datagrams,
          count.bytes);
  }
  fmt::print("{} bytes_between_zones={}\n", Prefix(options, phase), total);
}

void RunStart(const Options& options) {
  NetworkSettings settings = options.network;
  settings.zones = 3;
  settings.regions = 1;
  NodeNetwork network(settings);
  network.StartAll();
  network.Run(kStartTime);
  PrintBetweenZones(options, "start", network);
  fmt::print("{} members_at_0={} ready={}\n", Prefix(options, "start"),
             network.MembersAt(0), network.CountReady());
  network.ResetCounts();
  network.Run(kIdleTime);
  PrintBetweenZones(options, "start_idle", network);
  network.ResetCounts();
  const bool is_written = network.WriteDocument(kDocumentBytes);
  network.Run(kDocumentTime);
  PrintBetweenZones(options, "document", network);
  fmt::print("{} written={}\n", Prefix(options, "document"), is_written);
}

void RunPhase(const Options& options,
              std::string_view phase,
              NodeNetwork& network,
              std::size_t heap) {
  if (phase == "idle")
    RunIdle(options, network);
  else if (phase == "calls")
    RunCalls(options, network);
  else if (phase == "load")
    RunLoad(options, network, heap);
  else if (phase == "zone")
    RunZoneLoss(options, network, heap);
  else if (phase == "restart")
    RunRestart(options, network, heap);
  else if (phase == "start")
    RunStart(options);
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  using namespace bulrushmount;  // NOLINT(google-build-using-namespace)
  if (argc < 6) {
    std::fputs(
        "usage: capacity_benchmark SEED MEMBERS SERVICES WORKSPACES "
        "CALLS_PER_S [idle|calls|load|zone|restart|start]...\n",
        stderr);
    return 2;
  }
  // Line buffering keeps the results of a long run that is interrupted.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  SetLogLevel(LogLevel::kError);
  Options options;
  options.network.seed = std::strtoull(argv[1], nullptr, 10);
  options.network.nodes = std::strtoull(argv[2], nullptr, 10);
  options.network.services = std::strtoull(argv[3], nullptr, 10);
  options.network.workspaces = std::strtoull(argv[4], nullptr, 10);
  options.calls_per_second = std::strtod(argv[5], nullptr);
  const std::size_t heap = HeapBytes();
  NodeNetwork network(options.network);
  Prepare(options, network, heap);
  for (int i = 6; i < argc; ++i)
    RunPhase(options, argv[i], network, heap);
}

// Measures the cost of bookings, which are calls with an idempotency key: table
// writes per booking in virtual time, with and without batching, and the
// processor time of a claim and of recording a call. The bookings arrive at one
// node as a Poisson process; each runs for `kServiceTime` and finishes.
//
//   claims_benchmark [SEED]

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "core/claims/claim_book.h"
#include "core/reporting/call_recorder.h"
#include "core/store/in_memory_table.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr Duration kServiceTime = 20ms;
constexpr int kBookings = 20'000;
constexpr int kSeries = 200;
constexpr int kCalls = 2'000'000;

// Runs scheduled functions in the order of their virtual time.
class VirtualTime {
 public:
  using Step = std::function<void(TimePoint)>;

  void ScheduleAt(TimePoint time, Step step) {
    m_steps.emplace(time, std::move(step));
  }
  bool is_empty() const { return m_steps.empty(); }
  TimePoint next() const { return m_steps.begin()->first; }

  void RunNext() {
    auto node = m_steps.extract(m_steps.begin());
    m_now = node.key();
    node.mapped()(m_now);
  }

  TimePoint now() const { return m_now; }

 private:
  std::multimap<TimePoint, Step> m_steps;
  TimePoint m_now;
};

// A table in which requests take effect immediately and are answered after
// `delay`.
class DelayedTable : public TableService {
 public:
  DelayedTable(VirtualTime& time, Duration delay)
      : m_time(time), m_delay(delay) {}

  void Submit(TableRequest request, Callback callback) override {
    TableReply reply = m_table.Apply(request);
    m_time.ScheduleAt(
        m_time.now() + m_delay,
        [callback = std::move(callback),
         reply = std::move(reply)](TimePoint now) { callback(now, reply); });
  }

 private:
  VirtualTime& m_time;
  Duration m_delay;
  InMemoryTable m_table;
};

// Claim settings to compare.
struct Mode {
  const char* name;
  ClaimSettings settings;
};

struct Result {
  ClaimStats stats;
  double mean_wait_ms = 0;
  double p99_wait_ms = 0;
  double cpu_us = 0;
};

// Runs `kBookings` bookings at one rate, table delay and mode.
class Run {
 public:
  // A fraction `released_fraction` of the bookings is released instead of
  // finished.
  Run(const Mode& mode,
      double rate,
      Duration delay,
      std::uint64_t seed,
      double released_fraction = 0)
      : m_released_fraction(released_fraction),
        m_random(seed),
        m_table(m_time, delay),
        m_book(mode.settings, m_table, m_random, {TimePoint(), WallTime()}),
        m_rate(rate) {}

  Result Measure() {
    ScheduleArrivals();
    const auto start = std::chrono::steady_clock::now();
    while (!m_time.is_empty() || m_book.NextWakeup() != TimePoint::max())
      Step();
    const Duration elapsed = std::chrono::steady_clock::now() - start;
    std::sort(m_waits.begin(), m_waits.end());
    double sum = 0;
    for (const double wait : m_waits)
      sum += wait;
    const double count = static_cast<double>(m_waits.size());
    return {m_book.stats(), sum / count, m_waits[m_waits.size() * 99 / 100],
            ToSeconds(elapsed) * 1e6 / count};
  }

 private:
  void ScheduleArrivals() {
    TimePoint time;
    for (int booking = 0; booking < kBookings; ++booking) {
      time += FromSeconds(-std::log(1 - m_random.Fraction()) / m_rate);
      m_time.ScheduleAt(
          time, [this, booking](TimePoint now) { AcquireClaim(now, booking); });
    }
  }

  void Step() {
    const TimePoint wakeup = m_book.NextWakeup();
    if (m_time.is_empty() || wakeup < m_time.next())
      m_time.ScheduleAt(wakeup, [](TimePoint) {});
    m_time.RunNext();
    m_book.OnTimer(m_time.now());
  }

  void AcquireClaim(TimePoint now, int booking) {
    m_ids.push_back({});
    m_ids[booking] = m_book.Acquire(
        now,
        {WorkspaceName("studio"),
         IdempotencyKey(fmt::format("booking-{}", booking)), Fingerprint(1),
         now + 2s, std::chrono::hours(24)},
        [this, now, booking](TimePoint granted_at, const ClaimResult& result) {
          if (result.status != ClaimStatus::kGranted)
            std::abort();
          m_waits.push_back(ToMilliseconds(granted_at - now));
          m_time.ScheduleAt(
              granted_at + kServiceTime,
              [this, booking](TimePoint end) { Finish(end, booking); });
        });
  }

  void Finish(TimePoint now, int booking) {
    if (m_released_fraction > 0 && m_random.Fraction() < m_released_fraction) {
      m_book.Release(now, m_ids[booking]);
      return;
    }
    m_book.Finish(now, m_ids[booking],
                  {201, "application/json", std::string(200, 'x')});
  }

  double m_released_fraction;
  VirtualTime m_time;
  SeededRandomSource m_random;
  DelayedTable m_table;
  ClaimBook m_book;
  double m_rate;
  std::vector<ClaimId> m_ids;
  std::vector<double> m_waits;
};

std::vector<Mode> Modes() {
  ClaimSettings single;
  single.max_batch = 1;
  ClaimSettings window;
  window.outcome_window = Duration(1ms);
  return {{"one row a transaction", single},
          {"batched, 1 ms outcomes", window},
          {"batched, 50 ms outcomes", {}}};
}

void PrintWrites(std::uint64_t seed) {
  fmt::print("{:<24} {:>5} {:>9} {:>10} {:>10} {:>9} {:>9} {:>8}\n", "mode",
             "delay", "bookings", "trans-", "rows a", "mean wait", "p99 wait",
             "cpu us");
  fmt::print("{:<24} {:>5} {:>9} {:>10} {:>10} {:>9} {:>9} {:>8}\n", "", "ms",
             "a second", "actions/b.", "booking", "ms", "ms", "/booking");
  for (const Duration delay : {Duration(1ms), Duration(5ms)}) {
    for (const double rate : {1.0, 10.0, 100.0, 1000.0}) {
      for (const Mode& mode : Modes()) {
        const Result result = Run(mode, rate, delay, seed).Measure();
        const double bookings = kBookings;
        fmt::print(
            "{:<24} {:>5.0f} {:>9.0f} {:>10.3f} {:>10.3f} {:>9.3f} {:>9.3f} "
            "{:>8.2f}\n",
            mode.name, ToMilliseconds(delay), rate,
            static_cast<double>(result.stats.transactions) / bookings,
            static_cast<double>(result.stats.row_writes) / bookings,
            result.mean_wait_ms, result.p99_wait_ms, result.cpu_us);
      }
    }
  }
}

void PrintReleases(std::uint64_t seed) {
  fmt::print("transactions a booking, some released and not run, table 5 ms\n");
  fmt::print("{:>9} {:>9} {:>12}\n", "bookings/s", "released", "transactions");
  for (const double released_fraction : {0.0, 0.01, 0.1, 0.5}) {
    for (const double rate : {1.0, 10.0, 100.0, 1000.0}) {
      const Result result =
          Run({"", {}}, rate, 5ms, seed, released_fraction).Measure();
      fmt::print("{:>9.0f} {:>9.2f} {:>12.3f}\n", rate, released_fraction,
                 static_cast<double>(result.stats.transactions) / kBookings);
    }
  }
}

std::size_t HeapInUse() {
  return mallinfo2().uordblks;
}

void PrintRecorder() {
  TimePoint now{};
  CallRecorder recorder(now, kSeries);
  std::vector<CallRecord> records;
  for (int kind = 0; kind < kSeries; ++kind) {
    CallRecord record;
    record.workspace = WorkspaceName(fmt::format("workspace-{}", kind / 5));
    record.service = ServiceName("desk");
    record.kind = KindName(fmt::format("kind-{}", kind % 5));
    record.latency = std::chrono::microseconds(100 + 997 * kind);
    record.objective = {0.99, 50ms};
    records.push_back(record);
  }
  const std::size_t heap_records = HeapInUse();
  const auto start = std::chrono::steady_clock::now();
  for (int call = 0; call < kCalls; ++call) {
    now += 10ms;
    recorder.Record(now, records[static_cast<std::size_t>(call) % kSeries]);
  }
  const Duration recorded = std::chrono::steady_clock::now() - start;
  const std::size_t heap_after = HeapInUse();
  const auto snapshot_start = std::chrono::steady_clock::now();
  const BurnReport report = recorder.Snapshot(now);
  const Duration snapshot = std::chrono::steady_clock::now() - snapshot_start;
  fmt::print(
      "recorder: {:.0f} ns a call, {:.0f} bytes a series of workspace and "
      "kind, "
      "snapshot of {} series {:.2f} ms\n",
      ToSeconds(recorded) * 1e9 / kCalls,
      static_cast<double>(heap_after - heap_records) / kSeries,
      report.series.size(), ToMilliseconds(snapshot));
}

}  // namespace
}  // namespace bulrushmount

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  fmt::print("seed {}, {} bookings a line\n", seed, bulrushmount::kBookings);
  bulrushmount::PrintWrites(seed);
  bulrushmount::PrintReleases(seed);
  bulrushmount::PrintRecorder();
  return 0;
}

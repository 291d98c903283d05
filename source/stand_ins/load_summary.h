// Collects the outcomes and latencies of the load generator.

#ifndef BULRUSHMOUNT_STAND_INS_LOAD_SUMMARY_H_
#define BULRUSHMOUNT_STAND_INS_LOAD_SUMMARY_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/json/object.hpp>

#include "core/common/time.h"

namespace bulrushmount {

// Outcome of a request as the caller sees it.
enum class CallerOutcome : std::uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  // No final outcome before the load generator's own time-out, or an answer
  // without one.
  kNone,
};
inline constexpr std::size_t kCallerOutcomeCount = 4;

std::string_view ToText(CallerOutcome outcome);

struct CallResult {
  std::uint64_t number = 0;
  std::string kind;
  std::string idempotency_key;
  CallerOutcome outcome = CallerOutcome::kNone;
  // Value of `Bulrushmount-Reason`, or a reason of the load generator such as
  // "caller-connection-lost".
  std::string reason;
  unsigned status = 0;
  // From the scheduled send time to the end of the answer.
  Duration latency{};
  bool is_digest_mismatch = false;
};

// Histogram of latencies with logarithmic bins; percentiles are exact to 1 %.
class LatencyRecorder {
 public:
  LatencyRecorder();

  void Add(Duration latency);
  // Returns the upper edge of the bin in milliseconds, 0 if nothing was added.
  double Percentile(double percent) const;
  double max_ms() const { return m_max_ms; }
  boost::json::object ToJson() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  Histogram m_histogram;
  std::uint64_t m_count = 0;
  double m_max_ms = 0.0;
};

// Sums up all results of one load, in total and by request kind.
class LoadSummary {
 public:
  void Add(const CallResult& result);

  std::uint64_t count(CallerOutcome outcome) const;
  std::uint64_t digest_mismatches() const { return m_digest_mismatches; }
  // Whether every request had a final outcome and no answer belonged to another
  // request.
  bool HasPassed() const;

  // Formats as key=value, one per line.
  std::string ToLines() const;
  boost::json::object ToJson() const;

 private:
  struct KindSummary {
    std::array<std::uint64_t, kCallerOutcomeCount> counts{};
    LatencyRecorder answered;
  };

  std::array<std::uint64_t, kCallerOutcomeCount> m_counts{};
  std::array<LatencyRecorder, kCallerOutcomeCount> m_latencies;
  std::map<std::string, std::uint64_t> m_reasons;
  std::map<std::string, KindSummary> m_kinds;
  std::uint64_t m_digest_mismatches = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_LOAD_SUMMARY_H_

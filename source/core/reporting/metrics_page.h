// A registry of typed metrics and their page in the Prometheus text format.

#ifndef BULRUSHMOUNT_CORE_REPORTING_METRICS_PAGE_H_
#define BULRUSHMOUNT_CORE_REPORTING_METRICS_PAGE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bulrushmount {

struct MetricLabel {
  std::string name;
  // May contain any bytes; escaped on the page.
  std::string value;

  friend bool operator==(const MetricLabel&, const MetricLabel&) = default;
  friend bool operator<(const MetricLabel& left, const MetricLabel& right) {
    return std::tie(left.name, left.value) < std::tie(right.name, right.value);
  }
};
using MetricLabels = std::vector<MetricLabel>;

// A monotonic counter.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { m_value += amount; }
  // Sets the counter to a count that is maintained elsewhere; ignores lower
  // values.
  void RaiseTo(std::uint64_t value);
  std::uint64_t value() const { return m_value; }

 private:
  std::uint64_t m_value = 0;
};

class Gauge {
 public:
  void Set(double value) { m_value = value; }
  void Add(double amount) { m_value += amount; }
  double value() const { return m_value; }

 private:
  double m_value = 0;
};

// Counts observations in buckets with fixed upper bounds.
class MetricHistogram {
 public:
  // `upper_bounds` must be in ascending order; a bucket for all higher values
  // is added.
  explicit MetricHistogram(std::vector<double> upper_bounds);

  void Observe(double value);

  const std::vector<double>& upper_bounds() const { return m_upper_bounds; }
  // One element more than upper_bounds(); not cumulative.
  const std::vector<std::uint64_t>& counts() const { return m_counts; }
  double sum() const { return m_sum; }

 private:
  std::vector<double> m_upper_bounds;
  std::vector<std::uint64_t> m_counts;
  double m_sum = 0;
};

// Creates metrics, which live as long as the registry. The same name and labels
// return the same metric. Once a family has `max_series` label sets, all
// further ones share one metric with the only label {overflow="true"}, so that
// label values from callers cannot exhaust the memory.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(std::size_t max_series = 1000);
  ~MetricsRegistry();

  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  // `name` must be a valid metric name and always have the same type;
  // otherwise the process aborts, since that is a programming error.
  Counter& GetCounter(std::string_view name,
                      std::string_view help,
                      MetricLabels labels = {});
  Gauge& GetGauge(std::string_view name,
                  std::string_view help,
                  MetricLabels labels = {});
  MetricHistogram& GetHistogram(std::string_view name,
                                std::string_view help,
                                const std::vector<double>& upper_bounds,
                                MetricLabels labels = {});

  // The page for `/metrics`, of content type kMetricsContentType.
  std::string Page() const;

 private:
  struct State;

  std::unique_ptr<State> m_state;
};

inline constexpr char kMetricsContentType[] =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_METRICS_PAGE_H_

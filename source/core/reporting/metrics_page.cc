// Part of `metrics_page.h`.

#include "core/reporting/metrics_page.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iterator>
#include <map>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

// The metrics of one family. A std::map, because references to its elements
// stay valid.
template <typename Metric>
using MetricsByLabels = std::map<MetricLabels, Metric>;

using AnyMetrics = std::variant<MetricsByLabels<Counter>,
                                MetricsByLabels<Gauge>,
                                MetricsByLabels<MetricHistogram>>;

struct Family {
  std::string help;
  AnyMetrics metrics;
};

bool IsNameStart(char character) {
  const bool is_lower = character >= 'a' && character <= 'z';
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_lower || is_upper || character == '_';
}

bool IsNamePart(char character) {
  return IsNameStart(character) || (character >= '0' && character <= '9');
}

bool IsName(std::string_view name) {
  return !name.empty() && IsNameStart(name.front()) &&
         std::ranges::all_of(name, IsNamePart);
}

// Aborts if a name is invalid. A scraper would reject the whole page because of
// one, possibly long after the error was introduced, so the first test that
// uses the name must fail.
void CheckInvariant(bool holds, std::string_view name) {
  if (holds)
    return;
  LogLine(LogLevel::kError, "metrics.invalid").Add("name", name);
  std::abort();
}

std::string Escape(std::string_view text, bool with_quotes) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\\') {
      escaped += "\\\\";
    } else if (character == '\n') {
      escaped += "\\n";
    } else if (character == '"' && with_quotes) {
      escaped += "\\\"";
    } else {
      escaped.push_back(character);
    }
  }
  return escaped;
}

std::string NumberText(double number) {
  if (std::isnan(number))
    return "NaN";
  if (std::isinf(number))
    return number > 0 ? "+Inf" : "-Inf";
  return fmt::format("{}", number);
}

std::string LabelsText(const MetricLabels& labels) {
  if (labels.empty())
    return {};
  std::string text;
  for (const MetricLabel& label : labels) {
    text += text.empty() ? "{" : ",";
    text += fmt::format("{}=\"{}\"", label.name, Escape(label.value, true));
  }
  return text + "}";
}

void AddSample(std::string& page,
               std::string_view name,
               const MetricLabels& labels,
               std::string_view value) {
  fmt::format_to(std::back_inserter(page), "{}{} {}\n", name,
                 LabelsText(labels), value);
}

void AddMetric(std::string& page,
               std::string_view name,
               const MetricLabels& labels,
               const Counter& counter) {
  AddSample(page, name, labels, fmt::format("{}", counter.value()));
}

void AddMetric(std::string& page,
               std::string_view name,
               const MetricLabels& labels,
               const Gauge& gauge) {
  AddSample(page, name, labels, NumberText(gauge.value()));
}

void AddMetric(std::string& page,
               std::string_view name,
               const MetricLabels& labels,
               const MetricHistogram& histogram) {
  const std::vector<double>& bounds = histogram.upper_bounds();
  std::uint64_t below = 0;
  for (std::size_t cell = 0; cell < histogram.counts().size(); ++cell) {
    below += histogram.counts()[cell];
    MetricLabels with_bound = labels;
    with_bound.push_back(
        {"le", cell < bounds.size() ? NumberText(bounds[cell]) : "+Inf"});
    AddSample(page, fmt::format("{}_bucket", name), with_bound,
              fmt::format("{}", below));
  }
  AddSample(page, fmt::format("{}_sum", name), labels,
            NumberText(histogram.sum()));
  AddSample(page, fmt::format("{}_count", name), labels,
            fmt::format("{}", below));
}

std::string_view TypeOf(const AnyMetrics& metrics) {
  if (std::holds_alternative<MetricsByLabels<Counter>>(metrics))
    return "counter";
  if (std::holds_alternative<MetricsByLabels<Gauge>>(metrics))
    return "gauge";
  return "histogram";
}

void AddFamily(std::string& page,
               const std::string& name,
               const Family& family) {
  fmt::format_to(std::back_inserter(page), "# HELP {} {}\n# TYPE {} {}\n", name,
                 Escape(family.help, false), name, TypeOf(family.metrics));
  std::visit(
      [&page, &name](const auto& metrics) {
        for (const auto& [labels, metric] : metrics)
          AddMetric(page, name, labels, metric);
      },
      family.metrics);
}

}  // namespace

void Counter::RaiseTo(std::uint64_t value) {
  m_value = std::max(m_value, value);
}

MetricHistogram::MetricHistogram(std::vector<double> upper_bounds)
    : m_upper_bounds(std::move(upper_bounds)),
      m_counts(m_upper_bounds.size() + 1) {}

void MetricHistogram::Observe(double value) {
  const auto bound = std::ranges::lower_bound(m_upper_bounds, value);
  ++m_counts[static_cast<std::size_t>(bound - m_upper_bounds.begin())];
  m_sum += value;
}

struct MetricsRegistry::State {
  template <typename Metric>
  Metric& Get(std::string_view name,
              std::string_view help,
              MetricLabels labels,
              const Metric& initial);

  std::size_t max_series = 0;
  std::map<std::string, Family, std::less<>> families;
};

template <typename Metric>
Metric& MetricsRegistry::State::Get(std::string_view name,
                                    std::string_view help,
                                    MetricLabels labels,
                                    const Metric& initial) {
  CheckInvariant(IsName(name), name);
  for (const MetricLabel& label : labels)
    CheckInvariant(IsName(label.name), label.name);
  auto family = families.find(name);
  if (family == families.end()) {
    Family created{std::string(help), MetricsByLabels<Metric>()};
    family = families.emplace(std::string(name), std::move(created)).first;
  }
  auto* metrics = std::get_if<MetricsByLabels<Metric>>(&family->second.metrics);
  CheckInvariant(metrics != nullptr, name);
  std::sort(labels.begin(), labels.end());
  const auto found = metrics->find(labels);
  if (found != metrics->end())
    return found->second;
  if (metrics->size() >= max_series)
    labels = {{"overflow", "true"}};
  return metrics->try_emplace(std::move(labels), initial).first->second;
}

MetricsRegistry::MetricsRegistry(std::size_t max_series)
    : m_state(std::make_unique<State>()) {
  m_state->max_series = max_series;
}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::GetCounter(std::string_view name,
                                     std::string_view help,
                                     MetricLabels labels) {
  return m_state->Get(name, help, std::move(labels), Counter());
}

Gauge& MetricsRegistry::GetGauge(std::string_view name,
                                 std::string_view help,
                                 MetricLabels labels) {
  return m_state->Get(name, help, std::move(labels), Gauge());
}

MetricHistogram& MetricsRegistry::GetHistogram(
    std::string_view name,
    std::string_view help,
    const std::vector<double>& upper_bounds,
    MetricLabels labels) {
  return m_state->Get(name, help, std::move(labels),
                      MetricHistogram(upper_bounds));
}

std::string MetricsRegistry::Page() const {
  std::string page;
  for (const auto& [name, family] : m_state->families)
    AddFamily(page, name, family);
  return page;
}

}  // namespace bulrushmount

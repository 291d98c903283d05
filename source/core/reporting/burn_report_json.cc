// Part of `burn_report_format.h`: the JSON form, which nodes exchange.

#include <cmath>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "core/reporting/burn_report_format.h"

namespace bulrushmount {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr double kMedian = 0.5;
constexpr double kTail = 0.99;
// More series than a node reports.
constexpr std::size_t kMaxSeries = 100'000;

json::value ToValue(const std::optional<double>& number) {
  if (!number)
    return nullptr;
  return *number;
}

json::value ToValue(const std::optional<Duration>& latency) {
  if (!latency || *latency == Duration::max())
    return nullptr;
  return ToMilliseconds(*latency);
}

json::object WindowsOf(const BurnSeries& series) {
  json::object windows;
  for (std::size_t index = 0; index < kBurnWindowCount; ++index) {
    const EventCounts& counts = series.windows.at(index);
    windows[TraitsOf(static_cast<BurnWindow>(index)).name] = {
        {"good", counts.good},
        {"bad", counts.bad},
        {"burn", ToValue(BurnRate(counts, series.objective))}};
  }
  return windows;
}

json::array LatenciesOf(const BurnSeries& series) {
  json::array cells;
  for (const LatencyCell& cell : series.latencies)
    cells.push_back({cell.index, cell.count});
  return cells;
}

json::object SeriesToJson(const BurnSeries& series) {
  return {
      {"workspace", series.workspace.value()},
      {"service", series.service.value()},
      {"kind", series.kind.value()},
      {"objective",
       {{"fraction", series.objective.fraction},
        {"within_ns", series.objective.within.count()}}},
      {"outcomes",
       {{"answered", series.outcomes.answered},
        {"not_run", series.outcomes.not_run},
        {"unknown", series.outcomes.unknown}}},
      {"windows", WindowsOf(series)},
      {"alert", ToToken(AlertOf(series))},
      {"p50_ms", ToValue(Quantile(series, kMedian))},
      {"p99_ms", ToValue(Quantile(series, kTail))},
      {"latencies", LatenciesOf(series)},
  };
}

// Reads the fields of a report and stores the first error. After an error, it
// returns empty values.
class Reader {
 public:
  const json::object& Object(const json::value* value, std::string_view name) {
    if (value != nullptr && value->is_object())
      return value->get_object();
    Fail(name, "an object");
    return m_empty_object;
  }

  const json::array& Array(const json::object& in, std::string_view name) {
    const json::value* value = in.if_contains(name);
    if (value != nullptr && value->is_array())
      return value->get_array();
    Fail(name, "an array");
    return m_empty_array;
  }

  std::string Text(const json::object& in, std::string_view name) {
    const json::value* value = in.if_contains(name);
    if (value != nullptr && value->is_string())
      return std::string(value->get_string());
    Fail(name, "a string");
    return {};
  }

  // Reads a finite, non-negative number.
  double Amount(const json::object& in, std::string_view name) {
    const json::value* value = in.if_contains(name);
    if (value != nullptr && value->is_number()) {
      const auto number = value->to_number<double>();
      if (std::isfinite(number) && number >= 0)
        return number;
    }
    Fail(name, "a number from 0");
    return 0;
  }

  std::uint64_t Count(const json::value* value, std::string_view name) {
    if (value != nullptr && value->is_uint64())
      return value->get_uint64();
    if (value != nullptr && value->is_int64() && value->get_int64() >= 0)
      return static_cast<std::uint64_t>(value->get_int64());
    Fail(name, "a whole number from 0");
    return 0;
  }

  void Fail(std::string_view name, std::string_view expected) {
    if (!m_fault.empty())
      return;
    m_fault = std::string(name);
    m_fault += " is not ";
    m_fault += expected;
  }

  const std::string& fault() const { return m_fault; }

 private:
  std::string m_fault;
  json::object m_empty_object;
  json::array m_empty_array;
};

EventCounts ReadWindow(Reader& reader,
                       const json::object& windows,
                       std::string_view name) {
  const json::object& window = reader.Object(windows.if_contains(name), name);
  return {reader.Amount(window, "good"), reader.Amount(window, "bad")};
}

LatencyCell ReadCell(Reader& reader, const json::value& value) {
  const json::array* pair = value.if_array();
  if (pair == nullptr || pair->size() != 2) {
    reader.Fail("latencies", "a list of pairs");
    return {};
  }
  const std::uint64_t index = reader.Count(&pair->at(0), "latencies");
  const std::uint64_t count = reader.Count(&pair->at(1), "latencies");
  if (index >= kLatencyCells)
    reader.Fail("latencies", "a list of known cells");
  return {static_cast<std::uint32_t>(index), count};
}

void ReadLatencies(Reader& reader,
                   const json::object& in,
                   std::vector<LatencyCell>& cells) {
  for (const json::value& value : reader.Array(in, "latencies")) {
    const LatencyCell cell = ReadCell(reader, value);
    if (!cells.empty() && cells.back().index >= cell.index)
      reader.Fail("latencies", "in rising order");
    cells.push_back(cell);
  }
}

LatencyObjective ReadObjective(Reader& reader, const json::object& in) {
  const json::object& objective =
      reader.Object(in.if_contains("objective"), "objective");
  const std::uint64_t within =
      reader.Count(objective.if_contains("within_ns"), "within_ns");
  return {reader.Amount(objective, "fraction"),
          Duration(static_cast<Duration::rep>(within))};
}

OutcomeCounts ReadOutcomes(Reader& reader, const json::object& in) {
  const json::object& outcomes =
      reader.Object(in.if_contains("outcomes"), "outcomes");
  return {reader.Count(outcomes.if_contains("answered"), "answered"),
          reader.Count(outcomes.if_contains("not_run"), "not_run"),
          reader.Count(outcomes.if_contains("unknown"), "unknown")};
}

BurnSeries ReadSeries(Reader& reader, const json::value& value) {
  const json::object& in = reader.Object(&value, "series");
  BurnSeries series;
  series.workspace = WorkspaceName(reader.Text(in, "workspace"));
  series.service = ServiceName(reader.Text(in, "service"));
  series.kind = KindName(reader.Text(in, "kind"));
  series.objective = ReadObjective(reader, in);
  series.outcomes = ReadOutcomes(reader, in);
  const json::object& windows =
      reader.Object(in.if_contains("windows"), "windows");
  for (std::size_t index = 0; index < kBurnWindowCount; ++index) {
    const auto window = static_cast<BurnWindow>(index);
    series.windows.at(index) =
        ReadWindow(reader, windows, TraitsOf(window).name);
  }
  ReadLatencies(reader, in, series.latencies);
  return series;
}

}  // namespace

std::string ToJson(const BurnReport& report) {
  json::array series;
  for (const BurnSeries& part : report.series)
    series.push_back(SeriesToJson(part));
  return json::serialize(json::object{{"nodes", report.nodes},
                                      {"nodes_missing", report.nodes_missing},
                                      {"series", std::move(series)}});
}

leaf::result<BurnReport> BurnReportFromJson(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  if (error)
    return leaf::new_error(BurnReportFault{"not JSON: " + error.message()});
  Reader reader;
  const json::object& in = reader.Object(&value, "report");
  const json::array& series = reader.Array(in, "series");
  if (series.size() > kMaxSeries)
    reader.Fail("series", "of a bounded length");
  BurnReport part;
  part.nodes = static_cast<std::uint32_t>(
      reader.Count(in.if_contains("nodes"), "nodes"));
  part.nodes_missing = static_cast<std::uint32_t>(
      reader.Count(in.if_contains("nodes_missing"), "nodes_missing"));
  BurnReport report;
  if (reader.fault().empty()) {
    for (const json::value& element : series)
      part.series.push_back(ReadSeries(reader, element));
    // Sorts the series and combines duplicates.
    Merge(report, part);
  }
  if (!reader.fault().empty())
    return leaf::new_error(BurnReportFault{reader.fault()});
  return report;
}

}  // namespace bulrushmount

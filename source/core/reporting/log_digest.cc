// Part of `log_digest.h`.

#include "core/reporting/log_digest.h"

#include <charconv>
#include <cmath>

#include <fmt/format.h>

namespace bulrushmount {

namespace {

constexpr std::string_view kTimeField = "time=";
// The maximum number of members recorded per process, since any text can appear
// in a log file.
constexpr std::size_t kMaxMembers = 8192;
constexpr char kOther[] = "other";

// The value of `key=` in the line up to the next space; empty if there is none.
// Not for values that may contain spaces, which are quoted.
std::string_view FieldOf(std::string_view line, std::string_view key) {
  std::size_t at = 0;
  while ((at = line.find(key, at)) != std::string_view::npos) {
    const bool begins = at == 0 || line[at - 1] == ' ';
    const std::size_t value = at + key.size();
    if (begins && value < line.size() && line[value] == '=') {
      const std::string_view rest = line.substr(value + 1);
      return rest.substr(0, rest.find(' '));
    }
    at = value;
  }
  return {};
}

std::optional<double> NumberOf(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end ||
      !std::isfinite(number))
    return std::nullopt;
  return number;
}

// The process name in the text before the time: the last word, without a
// trailing colon.
std::string_view ProcessOf(std::string_view before) {
  const std::size_t last = before.find_last_not_of(" \t:");
  if (last == std::string_view::npos)
    return {};
  before = before.substr(0, last + 1);
  const std::size_t space = before.find_last_of(" \t");
  return space == std::string_view::npos ? before : before.substr(space + 1);
}

void Count(std::map<std::string, std::uint64_t>& counts, std::string key) {
  const bool is_full = counts.size() >= LogDigest::kMaxReasons;
  if (is_full && !counts.contains(key))
    key = kOther;
  ++counts[key];
}

void MergeCounts(std::map<std::string, std::uint64_t>& to,
                 const std::map<std::string, std::uint64_t>& from) {
  for (const auto& [key, count] : from)
    to[key] += count;
}

std::string CountsText(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [key, count] : counts)
    text += fmt::format("{}{}={}", text.empty() ? "" : " ", key, count);
  return text.empty() ? "-" : text;
}

std::string RangeText(const LogSample& sample) {
  if (sample.count() == 0)
    return "-";
  return fmt::format("{:.0f} ({:.0f} to {:.0f})", sample.mean(),
                     sample.minimum(), sample.maximum());
}

}  // namespace

void LogSample::Merge(const LogSample& other) {
  if (other.m_count == 0)
    return;
  m_maximum =
      m_count == 0 || other.m_maximum > m_maximum ? other.m_maximum : m_maximum;
  m_minimum =
      m_count == 0 || other.m_minimum < m_minimum ? other.m_minimum : m_minimum;
  m_count += other.m_count;
  m_sum += other.m_sum;
}

void LogWindow::Merge(const LogWindow& other) {
  MergeCounts(calls, other.calls);
  MergeCounts(works, other.works);
  attempts.Merge(other.attempts);
  wait_ms.Merge(other.wait_ms);
  members.Merge(other.members);
  revisions.Merge(other.revisions);
  dependencies_lost += other.dependencies_lost;
  pauses += other.pauses;
}

void LogDigest::AddLine(std::string_view line) {
  ++m_lines;
  const std::size_t at = line.find(kTimeField);
  if (at == std::string_view::npos) {
    ++m_skipped_lines;
    return;
  }
  const std::string_view body = line.substr(at);
  const std::optional<double> time = NumberOf(FieldOf(body, "time"));
  const std::string_view event = FieldOf(body, "event");
  Process* const process = time && !event.empty()
                               ? FindProcess(ProcessOf(line.substr(0, at)))
                               : nullptr;
  if (!process) {
    ++m_skipped_lines;
    return;
  }
  EnterWindow(*process, *time);
  HandleEvent(*process, *time, event, body);
  WidenIfTooMany();
}

void LogDigest::Finish() {
  for (const auto& [name, process] : m_processes)
    CloseWindow(process);
  m_processes.clear();
}

LogDigest::Process* LogDigest::FindProcess(std::string_view name) {
  const auto found = m_processes.find(name);
  if (found != m_processes.end())
    return &found->second;
  if (m_processes.size() >= kMaxProcesses)
    return nullptr;
  return &m_processes[std::string(name)];
}

LogWindow& LogDigest::WindowAt(std::int64_t begin) {
  // The windows may have been widened since the process entered its window.
  const std::int64_t aligned = begin - ((begin % m_width) + m_width) % m_width;
  return m_windows[aligned];
}

void LogDigest::CloseWindow(const Process& process) {
  if (!process.window)
    return;
  LogWindow& window = WindowAt(*process.window);
  window.members.Add(static_cast<double>(process.members.size()));
  if (process.revision)
    window.revisions.Add(*process.revision);
}

void LogDigest::EnterWindow(Process& process, double time) {
  const auto second = static_cast<std::int64_t>(std::floor(time));
  const std::int64_t begin = second - ((second % m_width) + m_width) % m_width;
  if (process.window == begin)
    return;
  CloseWindow(process);
  process.window = begin;
}

void LogDigest::HandleEvent(Process& process,
                            double time,
                            std::string_view event,
                            std::string_view line) {
  LogWindow& window = WindowAt(*process.window);
  if (event == "call.ended") {
    Count(window.calls, fmt::format("{}/{}", FieldOf(line, "outcome"),
                                    FieldOf(line, "reason")));
    if (const auto attempts = NumberOf(FieldOf(line, "attempts")))
      window.attempts.Add(*attempts);
  } else if (event == "work.ended") {
    Count(window.works, std::string(FieldOf(line, "result")));
    if (const auto wait = NumberOf(FieldOf(line, "wait_ms")))
      window.wait_ms.Add(*wait);
  } else if (event == "member.changed") {
    HandleMember(process, line);
  } else if (event == "config.in_force") {
    process.revision = NumberOf(FieldOf(line, "revision"));
  } else if (event == "dependency.lost") {
    ++window.dependencies_lost;
  } else if (event == "membership.paused") {
    ++window.pauses;
  } else {
    HandleStart(process, time, event);
  }
}

void LogDigest::HandleStart(Process& process,
                            double time,
                            std::string_view event) {
  if (event == "node.started") {
    const std::optional<std::int64_t> window = process.window;
    process = Process();
    process.started = time;
    process.window = window;
  } else if (event == "routes.in_force" && process.started &&
             !process.has_routes) {
    process.has_routes = true;
    m_until_routes.Add(time - *process.started);
  } else if (event == "target.gate_opened" && process.started &&
             !process.has_target) {
    process.has_target = true;
    m_until_target.Add(time - *process.started);
  }
}

void LogDigest::HandleMember(Process& process, std::string_view line) {
  const std::string_view member = FieldOf(line, "member");
  const std::string_view state = FieldOf(line, "state");
  const bool is_live = state == "alive" || state == "suspect";
  if (!is_live) {
    if (const auto found = process.members.find(member);
        found != process.members.end())
      process.members.erase(found);
  } else if (process.members.size() < kMaxMembers) {
    process.members.emplace(member);
  }
}

void LogDigest::WidenIfTooMany() {
  if (m_windows.size() <= kMaxWindows)
    return;
  m_width *= 2;
  std::map<std::int64_t, LogWindow> narrow;
  narrow.swap(m_windows);
  for (const auto& [begin, window] : narrow)
    WindowAt(begin).Merge(window);
}

std::string LogDigest::Text() const {
  std::string text = fmt::format(
      "{} lines, {} skipped; windows of {} s\n"
      "starts: {} had routes after {:.2f} s on average and {:.2f} s at most, "
      "{} had a target after {:.2f} s and {:.2f} s\n",
      m_lines, m_skipped_lines, m_width, m_until_routes.count(),
      m_until_routes.mean(), m_until_routes.maximum(), m_until_target.count(),
      m_until_target.mean(), m_until_target.maximum());
  for (const auto& [begin, window] : m_windows) {
    text += fmt::format(
        "{} calls: {}; owners tried per call: {:.1f}, {:.0f} at most\n"
        "  works: {}; waited {:.1f} ms, {:.0f} at most\n"
        "  members known: {}; revision: {}; table lost: {}; pauses: {}\n",
        begin, CountsText(window.calls), window.attempts.mean(),
        window.attempts.maximum(), CountsText(window.works),
        window.wait_ms.mean(), window.wait_ms.maximum(),
        RangeText(window.members), RangeText(window.revisions),
        window.dependencies_lost, window.pauses);
  }
  return text;
}

}  // namespace bulrushmount

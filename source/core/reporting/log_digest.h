// Summarizes the logs of many processes by time windows: outcomes and reasons
// of calls, requests at owners, the propagation of membership and
// configuration, and the delays of process starts.
//
// Lines of several processes may be interleaved or follow each other file by
// file, prefixed with the process name ("node-1 time=...",
// "node-1.log:time=..."). Memory does not grow with the number of lines:
// windows are widened when there are too many, and excess distinct values are
// counted together.

#ifndef BULRUSHMOUNT_CORE_REPORTING_LOG_DIGEST_H_
#define BULRUSHMOUNT_CORE_REPORTING_LOG_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bulrushmount {

// The count, mean, minimum and maximum of a series of values.
class LogSample {
 public:
  void Add(double value) {
    ++m_count;
    m_sum += value;
    m_maximum = m_count == 1 || value > m_maximum ? value : m_maximum;
    m_minimum = m_count == 1 || value < m_minimum ? value : m_minimum;
  }
  void Merge(const LogSample& other);

  std::uint64_t count() const { return m_count; }
  // 0 if there are no values.
  double mean() const {
    return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count);
  }
  double maximum() const { return m_maximum; }
  double minimum() const { return m_minimum; }

 private:
  std::uint64_t m_count = 0;
  double m_sum = 0;
  double m_maximum = 0;
  double m_minimum = 0;
};

struct LogWindow {
  // Numbers of calls by "outcome/reason", and of requests at owners by result.
  std::map<std::string, std::uint64_t> calls;
  std::map<std::string, std::uint64_t> works;
  // Owners tried per call.
  LogSample attempts;
  // The time that a request waited at its owner, in milliseconds.
  LogSample wait_ms;
  // The number of live members known to a process at its last line in the
  // window.
  LogSample members;
  // The configuration revision of a process at its last line in the window.
  LogSample revisions;
  std::uint64_t dependencies_lost = 0;
  // Number of `membership.paused` events: a process was suspended or late.
  std::uint64_t pauses = 0;

  void Merge(const LogWindow& other);
};

class LogDigest {
 public:
  static constexpr std::size_t kMaxWindows = 3600;
  static constexpr std::size_t kMaxProcesses = 4096;
  static constexpr std::size_t kMaxReasons = 64;

  void AddLine(std::string_view line);
  // To be called once, after the last line.
  void Finish();

  // The windows by their first second; each is width_s() long.
  const std::map<std::int64_t, LogWindow>& windows() const { return m_windows; }
  std::int64_t width_s() const { return m_width; }

  // Seconds from a process's start until it had its routes, and until its
  // target could get requests.
  const LogSample& until_routes() const { return m_until_routes; }
  const LogSample& until_target() const { return m_until_target; }

  std::uint64_t lines() const { return m_lines; }
  // Lines that are not events, are truncated, or exceed the maximum number of
  // processes.
  std::uint64_t skipped_lines() const { return m_skipped_lines; }

  // The digest as text.
  std::string Text() const;

 private:
  struct Process {
    std::set<std::string, std::less<>> members;
    std::optional<double> revision;
    std::optional<double> started;
    bool has_routes = false;
    bool has_target = false;
    // The start of the window with the process's last line.
    std::optional<std::int64_t> window;
  };

  Process* FindProcess(std::string_view name);
  // Adds the state of the process at the end of its last window.
  void CloseWindow(const Process& process);
  void EnterWindow(Process& process, double time);
  void HandleEvent(Process& process,
                   double time,
                   std::string_view event,
                   std::string_view line);
  void HandleStart(Process& process, double time, std::string_view event);
  void HandleMember(Process& process, std::string_view line);
  void WidenIfTooMany();
  LogWindow& WindowAt(std::int64_t begin);

  std::map<std::int64_t, LogWindow> m_windows;
  std::int64_t m_width = 1;
  std::map<std::string, Process, std::less<>> m_processes;
  LogSample m_until_routes;
  LogSample m_until_target;
  std::uint64_t m_lines = 0;
  std::uint64_t m_skipped_lines = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_LOG_DIGEST_H_

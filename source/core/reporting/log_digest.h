// Sums up the logs of many processes by windows of time: what became of calls
// and why, what owners were asked, how far membership and configuration have
// spread, and what starts waited for.
//
// Lines of several processes may be mixed or follow each other in whole files,
// with the process's name in front ("node-1 time=...", "node-1.log:time=...").
// The memory does not grow with the number of lines: windows are widened when
// there are many, and what differs too much to be counted apart is counted
// together.

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

// A mean and an end of the range, of values added one by one.
class LogSample {
 public:
  void Add(double value) {
    ++m_count;
    m_sum += value;
    m_most = m_count == 1 || value > m_most ? value : m_most;
    m_least = m_count == 1 || value < m_least ? value : m_least;
  }
  void Merge(const LogSample& other);

  std::uint64_t count() const { return m_count; }
  // 0 while there is no value.
  double mean() const {
    return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count);
  }
  double most() const { return m_most; }
  double least() const { return m_least; }

 private:
  std::uint64_t m_count = 0;
  double m_sum = 0;
  double m_most = 0;
  double m_least = 0;
};

struct LogWindow {
  // Calls by "outcome/reason", and requests at owners by result.
  std::map<std::string, std::uint64_t> calls;
  std::map<std::string, std::uint64_t> works;
  // Owners asked for each call.
  LogSample attempts;
  // What a request waited at its owner, in milliseconds.
  LogSample wait_ms;
  // Live members known to a process when it logged last in the window.
  LogSample members;
  // Configuration revision of a process, likewise.
  LogSample revisions;
  std::uint64_t dependencies_lost = 0;
  // Processes that stood still, or were late by their own word.
  std::uint64_t pauses = 0;

  void Merge(const LogWindow& other);
};

class LogDigest {
 public:
  static constexpr std::size_t kMostWindows = 3600;
  static constexpr std::size_t kMostProcesses = 4096;
  static constexpr std::size_t kMostReasons = 64;

  void AddLine(std::string_view line);
  // Call it once after the last line.
  void Finish();

  // By the second at which they begin; each is width_s() long.
  const std::map<std::int64_t, LogWindow>& windows() const { return m_windows; }
  std::int64_t width_s() const { return m_width; }

  // From a process's start until its routes were known, and until its target
  // might have requests, in seconds.
  const LogSample& until_routes() const { return m_until_routes; }
  const LogSample& until_target() const { return m_until_target; }

  std::uint64_t lines() const { return m_lines; }
  // Lines that are no event, are cut off, or of more processes than are told
  // apart.
  std::uint64_t passed_over() const { return m_passed_over; }

  // The whole as a table.
  std::string Text() const;

 private:
  struct Process {
    std::set<std::string, std::less<>> members;
    std::optional<double> revision;
    std::optional<double> started;
    bool has_routes = false;
    bool has_target = false;
    // The window of its last line.
    std::optional<std::int64_t> window;
  };

  Process* FindProcess(std::string_view name);
  // What the process knew at the end of its last window.
  void CloseWindow(const Process& process);
  void EnterWindow(Process& process, double time);
  void TakeEvent(Process& process,
                 double time,
                 std::string_view event,
                 std::string_view line);
  void TakeStart(Process& process, double time, std::string_view event);
  void TakeMember(Process& process, std::string_view line);
  void WidenWhereMany();
  LogWindow& WindowAt(std::int64_t begin);

  std::map<std::int64_t, LogWindow> m_windows;
  std::int64_t m_width = 1;
  std::map<std::string, Process, std::less<>> m_processes;
  LogSample m_until_routes;
  LogSample m_until_target;
  std::uint64_t m_lines = 0;
  std::uint64_t m_passed_over = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_REPORTING_LOG_DIGEST_H_

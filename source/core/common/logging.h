// Structured logs: one line of key=value pairs for each event, on standard
// output. Writing never blocks: a reader that stops reading costs lines, which
// are counted and told, and never a request.

#ifndef BULRUSHMOUNT_CORE_COMMON_LOGGING_H_
#define BULRUSHMOUNT_CORE_COMMON_LOGGING_H_

#include <iterator>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace bulrushmount {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Lines below `level` are dropped. The default is kInfo.
void SetLogLevel(LogLevel level);
bool IsLogged(LogLevel level);

// Buffered lines go out with FlushLog, or when enough of them are there; else
// each goes out at once. Off at first.
void SetLogBuffered(bool is_buffered);

// Writes what the reader takes without waiting. To be called every now and then
// while lines are buffered, and before the process ends.
void FlushLog();

// Quoted when it holds a space, a quote, '=' or a control character, so that
// one event always is one line and a caller's bytes cannot forge another.
std::string QuoteLogValue(std::string_view value);

// Written when it goes out of scope:
//   LogLine(LogLevel::kInfo, "target.announced").Add("service", name);
class LogLine {
 public:
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();

  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  template <typename Value>
  LogLine& Add(std::string_view key, const Value& value) {
    if (m_is_logged) {
      fmt::format_to(std::back_inserter(m_line), " {}={}", key,
                     QuoteLogValue(fmt::format("{}", value)));
    }
    return *this;
  }

 private:
  bool m_is_logged;
  std::string m_line;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_COMMON_LOGGING_H_

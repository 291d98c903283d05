// Structured logs: one line of key=value pairs per event, on standard output.
// Writing never blocks: if the reader stops reading, lines are dropped, counted
// and reported, and requests are not delayed.

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

// If buffered, lines are written by FlushLog or when enough of them have
// accumulated; otherwise each line is written immediately. Off by default.
void SetLogBuffered(bool is_buffered);

// Writes as many buffered lines as possible without blocking. Must be called
// periodically while lines are buffered, and before the process ends.
void FlushLog();

// Quotes a value that contains a space, a quote, '=' or a control character, so
// that an event is always one line and bytes sent by a caller cannot forge
// another one.
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

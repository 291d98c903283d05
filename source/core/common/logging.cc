// Part of `logging.h`.

#include "core/common/logging.h"

#include <chrono>

#include "core/common/log_buffer.h"

namespace bulrushmount {

namespace {

using detail::LogBuffer;

// One process has one standard output, hence one level and one buffer.
LogLevel g_level = LogLevel::kInfo;
LogBuffer g_buffer;

std::string_view ToToken(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty())
    return true;
  for (const char byte : value) {
    const auto code = static_cast<unsigned char>(byte);
    if (code <= ' ' || code == '"' || code == '=' || code == '\\' ||
        code >= 0x7f)
      return true;
  }
  return false;
}

double SecondsSinceEpoch() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

}  // namespace

void SetLogLevel(LogLevel level) {
  g_level = level;
}

void SetLogBuffered(bool is_buffered) {
  g_buffer.SetBuffered(is_buffered);
}

void FlushLog() {
  g_buffer.Flush();
}

bool IsLogged(LogLevel level) {
  return level >= g_level;
}

std::string QuoteLogValue(std::string_view value) {
  if (!NeedsQuotes(value))
    return std::string(value);
  std::string quoted = "\"";
  for (const char byte : value) {
    const auto code = static_cast<unsigned char>(byte);
    if (code == '"' || code == '\\')
      quoted += {'\\', byte};
    else if (code < ' ' || code >= 0x7f)
      quoted += fmt::format("\\x{:02x}", code);
    else
      quoted += byte;
  }
  return quoted + '"';
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_is_logged(IsLogged(level)) {
  if (m_is_logged) {
    m_line = fmt::format("time={:.6f} level={} event={}", SecondsSinceEpoch(),
                         ToToken(level), event);
  }
}

LogLine::~LogLine() {
  if (!m_is_logged)
    return;
  m_line += '\n';
  g_buffer.Add(m_line);
}

}  // namespace bulrushmount

// Part of `settings_reloader.h`.

#include "core/transport/settings_reloader.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

#include "core/common/logging.h"
#include "core/settings/daemon_settings.h"

namespace bulrushmount {

namespace {

// How often the file is checked for changes. Each check reads the whole file,
// about a kilobyte.
constexpr auto kFileCheckInterval = std::chrono::seconds(2);

std::optional<std::string> ReadFile(const std::string& name) {
  std::ifstream file(name);
  if (!file)
    return std::nullopt;
  return std::string((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
}

}  // namespace

SettingsReloader::SettingsReloader(boost::asio::io_context& context,
                                   std::string file)
    : m_file(std::move(file)),
      m_text(ReadFile(m_file)),
      m_signals(context, SIGHUP),
      m_timer(context) {
  WaitForSignal();
  WaitForChange();
}

void SettingsReloader::WaitForSignal() {
  m_signals.async_wait([this](const boost::system::error_code& error, int) {
    if (error)
      return;
    m_text = ReadFile(m_file);
    Reload("signal");
    WaitForSignal();
  });
}

void SettingsReloader::WaitForChange() {
  m_timer.expires_after(kFileCheckInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    std::optional<std::string> text = ReadFile(m_file);
    if (text != m_text) {
      m_text = std::move(text);
      Reload("changed");
    }
    WaitForChange();
  });
}

void SettingsReloader::Reload(const char* cause) {
  if (!m_text) {
    LogLine(LogLevel::kError, "settings.unreadable").Add("cause", cause);
    return;
  }
  const DaemonSettingsOrFaults parsed = TryParseDaemonSettings(*m_text);
  if (!parsed.settings) {
    LogLine(LogLevel::kError, "settings.refused")
        .Add("cause", cause)
        .Add("faults", ToString(parsed.faults));
    return;
  }
  SetLogLevel(parsed.settings->log_level);
  LogLine(LogLevel::kInfo, "settings.reloaded")
      .Add("cause", cause)
      .Add("applied", "log_level")
      .Add("others", "at restart");
}

}  // namespace bulrushmount

// Reloads the settings file at SIGHUP and when its text has changed. Applies
// the settings that can change at run time, and logs that the others take
// effect at a restart. A file with errors changes nothing.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_SETTINGS_RELOADER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_SETTINGS_RELOADER_H_

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bulrushmount {

class SettingsReloader {
 public:
  SettingsReloader(boost::asio::io_context& context, std::string file);

  SettingsReloader(const SettingsReloader&) = delete;
  SettingsReloader& operator=(const SettingsReloader&) = delete;

 private:
  void WaitForSignal();
  void WaitForChange();
  void Reload(const char* cause);

  std::string m_file;
  // The text last read; nullopt if the file could not be read.
  std::optional<std::string> m_text;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_SETTINGS_RELOADER_H_

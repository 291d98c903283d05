// Part of `log_flusher.h`.

#include "core/transport/log_flusher.h"

#include <chrono>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

// Log lines of up to this time are lost if the process is killed. Each flush
// costs one or two system calls.
constexpr auto kFlushInterval = std::chrono::milliseconds(200);

}  // namespace

LogFlusher::LogFlusher(boost::asio::io_context& context) : m_timer(context) {
  SetLogBuffered(true);
  Arm();
}

LogFlusher::~LogFlusher() {
  SetLogBuffered(false);
}

void LogFlusher::Arm() {
  m_timer.expires_after(kFlushInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    FlushLog();
    Arm();
  });
}

}  // namespace bulrushmount

// Part of `log_flusher.h`.

#include "core/transport/log_flusher.h"

#include <chrono>

#include "core/common/logging.h"

namespace bulrushmount {

namespace {

// The most that is lost of the log when the process is killed. Each flush costs
// a system call or two.
constexpr auto kFlushPeriod = std::chrono::milliseconds(200);

}  // namespace

LogFlusher::LogFlusher(boost::asio::io_context& context) : m_timer(context) {
  SetLogBuffered(true);
  Arm();
}

LogFlusher::~LogFlusher() {
  SetLogBuffered(false);
}

void LogFlusher::Arm() {
  m_timer.expires_after(kFlushPeriod);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    FlushLog();
    Arm();
  });
}

}  // namespace bulrushmount

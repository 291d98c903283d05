// Buffers log lines and flushes them periodically.

#ifndef BULRUSHMOUNT_CORE_TRANSPORT_LOG_FLUSHER_H_
#define BULRUSHMOUNT_CORE_TRANSPORT_LOG_FLUSHER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bulrushmount {

class LogFlusher {
 public:
  explicit LogFlusher(boost::asio::io_context& context);
  ~LogFlusher();

  LogFlusher(const LogFlusher&) = delete;
  LogFlusher& operator=(const LogFlusher&) = delete;

 private:
  void Arm();

  boost::asio::steady_timer m_timer;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_TRANSPORT_LOG_FLUSHER_H_

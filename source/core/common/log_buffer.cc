// Part of `log_buffer.h`.

#include "core/common/log_buffer.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace bulrushmount::detail {

namespace {

// A writable pipe accepts this many bytes without blocking (PIPE_BUF).
constexpr std::size_t kWriteSize = 4096;
// Buffered lines are written once this many bytes are buffered.
constexpr std::size_t kFlushSize = 4096;
// How far a reader may lag behind: some seconds of a busy node's lines.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// Rate limit of the log. Lines beyond it are dropped, so that a burst of events
// does not use up CPU time here or disk space at the reader. A busy node at 200
// calls per second writes about 60 KB per second.
constexpr double kBytesPerSecond = 131'072;
constexpr double kBurstBytes = 524'288;

// Dropped lines are reported at most once per period: more frequent reports
// would add to the overload.
constexpr std::int64_t kReportPeriodNs = 1'000'000'000;

std::int64_t SteadyNanoseconds() {
  return std::chrono::steady_clock::now().time_since_epoch().count();
}

}  // namespace

void LogBuffer::SetBuffered(bool is_buffered) {
  m_is_buffered = is_buffered;
  if (!is_buffered)
    Flush();
}

void LogBuffer::Add(std::string_view line) {
  const bool has_room = m_buffered.size() + line.size() <= kMaxBufferedBytes;
  if (!has_room || !TakeCredit(line.size())) {
    ++m_dropped;
    ++m_dropped_total;
    return;
  }
  ReportDropped();
  m_buffered += line;
  if (!m_is_buffered || m_buffered.size() >= kFlushSize)
    Flush();
}

void LogBuffer::Flush() {
  std::size_t written = 0;
  while (written < m_buffered.size() && IsWritable()) {
    const std::size_t size = std::min(kWriteSize, m_buffered.size() - written);
    const ssize_t taken = ::write(m_file, m_buffered.data() + written, size);
    if (taken <= 0)
      break;
    written += static_cast<std::size_t>(taken);
  }
  m_buffered.erase(0, written);
}

bool LogBuffer::TakeCredit(std::size_t size) {
  const std::int64_t now = SteadyNanoseconds();
  const double seconds = static_cast<double>(now - m_credit_at) / 1e9;
  m_credit = m_credit_at == 0
                 ? kBurstBytes
                 : std::min(kBurstBytes, m_credit + seconds * kBytesPerSecond);
  m_credit_at = now;
  if (m_credit < static_cast<double>(size))
    return false;
  m_credit -= static_cast<double>(size);
  return true;
}

void LogBuffer::ReportDropped() {
  const std::int64_t now = SteadyNanoseconds();
  if (m_dropped == 0 || now - m_reported_at < kReportPeriodNs)
    return;
  m_reported_at = now;
  m_buffered +=
      fmt::format("level=warning event=log.dropped lines={}\n", m_dropped);
  m_dropped = 0;
}

bool LogBuffer::IsWritable() const {
  pollfd request{m_file, POLLOUT, 0};
  return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

}  // namespace bulrushmount::detail

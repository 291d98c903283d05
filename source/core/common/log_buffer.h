// Buffers log lines on their way to standard output.

#ifndef BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_
#define BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushmount::detail {

// The number of buffered bytes and the output rate are bounded.
class LogBuffer {
 public:
  // `file` is a file descriptor. Its flags are not changed, since other
  // processes may share it.
  explicit LogBuffer(int file = 1) : m_file(file) {}

  void SetBuffered(bool is_buffered);

  // `line` must end with a line feed. It is dropped and counted if there is no
  // room.
  void Add(std::string_view line);
  void Flush();

  // Number of lines dropped since the start.
  std::uint64_t dropped_lines() const { return m_dropped_total; }

 private:
  bool TakeCredit(std::size_t size);
  // Writes the number of dropped lines to the log once there is room again.
  void ReportDropped();
  bool IsWritable() const;

  int m_file;
  bool m_is_buffered = false;
  // At most kMaxBufferedBytes bytes, in whole lines except for the first, which
  // may be partly written.
  std::string m_buffered;
  // Dropped lines that have not been reported yet.
  std::uint64_t m_dropped = 0;
  std::int64_t m_reported_at = 0;
  std::uint64_t m_dropped_total = 0;
  // Bytes that may be written as of m_credit_at, a time of the steady clock in
  // nanoseconds.
  double m_credit = 0;
  std::int64_t m_credit_at = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_

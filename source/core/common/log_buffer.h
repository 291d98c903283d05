// Log lines on their way to standard output.

#ifndef BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_
#define BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushmount::detail {

// Bounded in what waits and in what goes out a second.
class LogBuffer {
 public:
  // `file` is a descriptor; its flags are left as they are, since others may
  // share it.
  explicit LogBuffer(int file = 1) : m_file(file) {}

  void SetBuffered(bool is_buffered);

  // `line` ends with a line feed. Dropped, and counted, if there is no room.
  void Add(std::string_view line);
  void Flush();

  // Since the start.
  std::uint64_t dropped_lines() const { return m_dropped_total; }

 private:
  bool TakeCredit(std::size_t size);
  // Into the log itself, once there is room again.
  void ReportDropped();
  bool IsWritable() const;

  int m_file;
  bool m_is_buffered = false;
  // At most kMaxWaiting bytes, whole lines but for the first.
  std::string m_waiting;
  // Not yet told.
  std::uint64_t m_dropped = 0;
  std::int64_t m_reported_at = 0;
  std::uint64_t m_dropped_total = 0;
  // Bytes that may go out now, as of the time in steady nanoseconds.
  double m_credit = 0;
  std::int64_t m_credit_at = 0;
};

}  // namespace bulrushmount::detail

#endif  // BULRUSHMOUNT_CORE_COMMON_LOG_BUFFER_H_

// A caller's connection by hand: a test decides which bytes it sends, and how
// far it reads before the next step.

#ifndef BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_
#define BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "process_tests/process_fixture.h"

namespace bulrushmount {

class RawCaller {
 public:
  // Connects; a refused connection counts as closed.
  explicit RawCaller(const Endpoint& server);
  ~RawCaller();

  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  // False if the other side closed the connection before it took all bytes.
  bool Send(std::string_view bytes, Duration limit = kTestHangTimeout);
  // Reads until `total` bytes have come since the start; false if the
  // connection ends or the limit passes before.
  bool ReadUntil(std::size_t total, Duration limit = kTestHangTimeout);
  // The same for `size` bytes after the first answer's head.
  bool ReadBody(std::size_t size, Duration limit = kTestHangTimeout);
  // Reads until the other side closes; false if it does not within the limit.
  bool ReadToEnd(Duration limit = kTestHangTimeout);

  // All that came.
  const std::string& bytes() const { return m_bytes; }
  bool is_closed() const { return m_is_closed; }
  // Of the first answer; 0 if none has begun.
  unsigned status() const;
  // What follows the first answer's head.
  std::string_view body() const;

 private:
  bool WaitFor(short events, TimePoint give_up);
  bool ReadSome(TimePoint give_up);

  int m_socket = -1;
  std::string m_bytes;
  bool m_is_closed = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_

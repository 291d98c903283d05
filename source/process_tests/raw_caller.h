// A raw TCP connection of a caller: the test chooses the bytes that it sends
// and how much it reads before the next step.

#ifndef BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_
#define BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "process_tests/process_fixture.h"

namespace bulrushmount {

// Holds one blocking connection to a node and all bytes received on it.
class RawCaller {
 public:
  // Connects to `server`; a refused connection counts as closed.
  explicit RawCaller(const Endpoint& server);
  ~RawCaller();

  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  // Returns false if the server closed the connection before it had accepted
  // all bytes, or if the limit passed.
  bool Send(std::string_view bytes, Duration limit = kTestHangTimeout);
  // Reads until `total` bytes have been received since the connection was
  // opened. Returns false if it closes or the limit passes first.
  bool ReadUntil(std::size_t total, Duration limit = kTestHangTimeout);
  // Reads until `size` bytes have been received after the head of the first
  // answer. Returns false as ReadUntil does.
  bool ReadBody(std::size_t size, Duration limit = kTestHangTimeout);
  // Reads until the server closes the connection; returns false if it does not
  // within the limit.
  bool ReadToEnd(Duration limit = kTestHangTimeout);

  // All bytes received so far.
  const std::string& bytes() const { return m_bytes; }
  bool is_closed() const { return m_is_closed; }
  // The status code of the first answer, or 0 if none has begun.
  unsigned status() const;
  // All bytes received after the head of the first answer.
  std::string_view body() const;

 private:
  bool WaitFor(short events, TimePoint deadline);
  bool ReadSome(TimePoint deadline);

  int m_socket = -1;
  std::string m_bytes;
  bool m_is_closed = false;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_PROCESS_TESTS_RAW_CALLER_H_

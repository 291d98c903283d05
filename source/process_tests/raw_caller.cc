// Part of `raw_caller.h`.

#include "process_tests/raw_caller.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>

namespace bulrushmount {

RawCaller::RawCaller(const Endpoint& server) {
  m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
  // On loopback, connect() succeeds or fails without delay.
  m_is_closed = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) != 0;
}

RawCaller::~RawCaller() {
  ::close(m_socket);
}

bool RawCaller::Send(std::string_view bytes, Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (!bytes.empty() && !m_is_closed) {
    const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    } else if (errno != EAGAIN || !WaitFor(POLLOUT, deadline)) {
      return false;
    }
  }
  return bytes.empty();
}

bool RawCaller::ReadUntil(std::size_t total, Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (m_bytes.size() < total && ReadSome(deadline)) {
  }
  return m_bytes.size() >= total;
}

bool RawCaller::ReadBody(std::size_t size, Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (body().size() < size && ReadSome(deadline)) {
  }
  return body().size() >= size;
}

bool RawCaller::ReadToEnd(Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (ReadSome(deadline)) {
  }
  return m_is_closed;
}

unsigned RawCaller::status() const {
  unsigned status = 0;
  constexpr std::string_view version = "HTTP/1.1 ";
  if (m_bytes.starts_with(version)) {
    const char* const text = m_bytes.data() + version.size();
    std::from_chars(text, text + 3, status);
  }
  return status;
}

std::string_view RawCaller::body() const {
  constexpr std::string_view end_of_head = "\r\n\r\n";
  const std::size_t end = m_bytes.find(end_of_head);
  return end == std::string::npos
             ? std::string_view()
             : std::string_view(m_bytes).substr(end + end_of_head.size());
}

bool RawCaller::WaitFor(short events, TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Now());
  pollfd poll{m_socket, events, 0};
  return ::poll(&poll, 1, std::max<int>(0, left.count())) > 0;
}

bool RawCaller::ReadSome(TimePoint deadline) {
  if (m_is_closed || !WaitFor(POLLIN, deadline)) {
    return false;
  }
  std::array<char, 65536> buffer{};
  const ssize_t length =
      ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (length > 0) {
    m_bytes.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
  }
  m_is_closed = true;
  return false;
}

}  // namespace bulrushmount

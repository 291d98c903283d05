// What the platform stand-in does: a table and an object store over HTTP, with
// faults that a test switches on.

#ifndef BULRUSHMOUNT_STAND_INS_PLATFORM_SERVICE_H_
#define BULRUSHMOUNT_STAND_INS_PLATFORM_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/common/time.h"
#include "core/store/in_memory_object_store.h"
#include "core/store/in_memory_table.h"
#include "stand_ins/http_server.h"

namespace bulrushmount {

// PUT /control/faults sets those that its JSON body names.
struct PlatformFaults {
  // Answers 503 and does nothing. For refused connections end the process.
  bool is_down = false;
  // Takes requests, does nothing and never answers.
  bool is_silent = false;
  // Between taking effect and the answer.
  Duration delay{};
  // The next so many requests take effect, and their connection closes without
  // an answer.
  std::uint64_t lose_answers = 0;
  // The same, of transactions only.
  std::uint64_t lose_write_answers = 0;
  // The next so many transactions answer "condition-failed" without effect.
  std::uint64_t conflict_next = 0;
};

// Requests that reached the stand-in, whatever their fault.
struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

class PlatformService {
 public:
  PlatformService(boost::asio::io_context& io, const Endpoint& listen);

  Endpoint endpoint() const { return m_server.endpoint(); }
  PlatformFaults& faults() { return m_faults; }
  const PlatformCounters& counters() const { return m_counters; }
  InMemoryTable& table() { return m_table; }
  HttpServer& server() { return m_server; }

 private:
  using ExchangePointer = std::shared_ptr<ServerExchange>;

  void Handle(const ExchangePointer& exchange);
  void HandleControl(const ExchangePointer& exchange);
  void HandleTable(const ExchangePointer& exchange);
  void HandleObject(const ExchangePointer& exchange);
  // The fault that stops a request before its effect. True if there is one.
  bool MeetEarlyFault(const ExchangePointer& exchange);
  // After the effect: late, lost or at once.
  void Answer(const ExchangePointer& exchange, ServerResponse response);
  bool TakeConflict();
  bool TakeLostWrite();

  boost::asio::io_context& m_io;
  InMemoryTable m_table;
  InMemoryObjects m_objects;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  HttpServer m_server;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_PLATFORM_SERVICE_H_

// In-memory table and object store over HTTP for tests, with faults that a test
// injects.

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

// Injected faults. PUT /control/faults sets those named in its JSON body.
struct PlatformFaults {
  // Requests have no effect and are answered with 503. To have connections
  // refused, a test ends the process.
  bool is_down = false;
  // Requests are accepted, have no effect and are never answered.
  bool is_silent = false;
  // Delay between the effect of a request and its answer.
  Duration delay{};
  // Number of next requests that take effect and whose connection is closed
  // without an answer.
  std::uint64_t lose_answers = 0;
  // As `lose_answers`, but counts and affects only table transactions.
  std::uint64_t lose_write_answers = 0;
  // Number of next transactions that are answered with "condition-failed" and
  // have no effect.
  std::uint64_t conflict_next = 0;
};

// Requests received, including those that met a fault.
struct PlatformCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

// The service behind `platform_stand_in`.
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
  // Applies a fault that prevents the effect of the request. Returns whether
  // there was one.
  bool ApplyFaultBeforeEffect(const ExchangePointer& exchange);
  // Sends the answer of a request that took effect: at once, delayed, or not at
  // all if it is to be lost.
  void Answer(const ExchangePointer& exchange, ServerResponse response);
  bool ConsumeConflict();
  bool ConsumeLostWriteAnswer();

  boost::asio::io_context& m_io;
  InMemoryTable m_table;
  InMemoryObjects m_objects;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  HttpServer m_server;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_STAND_INS_PLATFORM_SERVICE_H_

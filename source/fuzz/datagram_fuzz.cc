// Fuzzes the datagram handling of a running node. One input holds several
// datagrams, each preceded by its length. The first byte of a datagram selects
// membership, limits, quarantine or configuration.

#include "fuzz/fuzz_input.h"

#include <chrono>

#include "core/common/logging.h"
#include "core/node_logic/node_logic.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  SetLogLevel(LogLevel::kError);
  SeededRandomSource random(1);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  NodeSettings settings;
  settings.id = NodeId(1);
  settings.stream_endpoint = {"127.0.0.1", 7001};
  settings.gossip_endpoint = {"127.0.0.1", 7002};
  NodeLogic logic(settings, random, now);
  const std::string text = ToString(data, size);
  for (std::size_t at = 0; at < size;) {
    const std::size_t length = data[at++];
    // Lengths from 250 are multiplied by 4, to exceed the range of one byte.
    const std::size_t bytes = length < 250 ? length : length * 4;
    const Endpoint from{"127.0.0.2", static_cast<std::uint16_t>(length % 4)};
    if (at >= size)
      break;
    logic.Handle(now, DatagramArrived{from, text.substr(at, bytes)});
    at += bytes;
    now += std::chrono::milliseconds(300);
    for (int timers = 0; logic.NextWakeup() <= now; ++timers) {
      Require(timers < 100,
              "timers do not fire endlessly at one point in time");
      logic.Handle(now, TimerFired{});
    }
  }
  logic.StatusJson(now);
  return 0;
}

// Fuzzes the logic of one node with arbitrary sequences of events.

#include "fuzz/fuzz_input.h"

#include "core/common/logging.h"
#include "unit_tests/core/node_logic/event_script.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  SetLogLevel(LogLevel::kError);
  const std::string fault = testing::EventScript(ToString(data, size)).Run();
  Require(fault.empty(), fault.c_str());
  return 0;
}

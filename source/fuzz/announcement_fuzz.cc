// Fuzzes the parser of a target's announcement in JSON.

#include "fuzz/fuzz_input.h"

#include "core/transport/targets/target_server.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  std::string fault;
  const auto read = ParseAnnouncement(ToString(data, size), "127.0.0.1", fault);
  Require(read.has_value() == fault.empty(),
          "an announcement is parsed if and only if no fault is reported");
  return 0;
}

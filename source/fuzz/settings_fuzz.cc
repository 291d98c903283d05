// Fuzzes the parser of the daemon's settings file in YAML.

#include "fuzz/fuzz_input.h"

#include "core/settings/daemon_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  const auto result = TryParseDaemonSettings(ToString(data, size));
  Require(result.settings.has_value() == result.faults.empty(),
          "either settings or faults are returned");
  return 0;
}

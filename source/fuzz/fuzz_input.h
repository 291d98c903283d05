// Input conversion and invariant checks shared by the fuzz targets.

#ifndef BULRUSHMOUNT_FUZZ_FUZZ_INPUT_H_
#define BULRUSHMOUNT_FUZZ_FUZZ_INPUT_H_

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace bulrushmount {

inline std::string ToString(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

// Aborts with a message if `condition` is false, which libFuzzer reports as a
// crash. `text` states the violated invariant. scripts/fuzz matches the prefix.
inline void Require(bool condition, const char* text) {
  if (condition)
    return;
  std::fprintf(stderr, "broken promise: %s\n", text);
  std::abort();
}

}  // namespace bulrushmount

// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

#endif  // BULRUSHMOUNT_FUZZ_FUZZ_INPUT_H_

// How much a target needs a probe. It is determined by the target's lifecycle,
// and decides how the measuring budget is spent.

#ifndef BULRUSHMOUNT_CORE_MEASURING_PROBE_NEED_H_
#define BULRUSHMOUNT_CORE_MEASURING_PROBE_NEED_H_

#include <cstdint>

namespace bulrushmount {

// In order of increasing need.
enum class ProbeNeed : std::uint8_t {
  // Recent answers to requests make probes unnecessary, or the target gets no
  // new requests.
  kNone,
  // It serves, but no request was answered recently.
  kIdle,
  // Within its cold start.
  kWarming,
  // It gets no new requests until there is evidence that it has recovered.
  kSuspect,
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_PROBE_NEED_H_

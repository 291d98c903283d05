// Interface for the number of requests that an owner runs concurrently on its
// target.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define BULRUSHMOUNT_CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// Latency of one answer, for estimates of the target's speed.
struct LatencySample {
  KindName kind;
  // Time from handing the request to the target until the first byte of the
  // answer. Later bytes are excluded because they depend on how fast the caller
  // reads.
  Duration first_byte{};
  // Requests in flight when this one was handed over, including itself.
  std::uint32_t in_flight = 0;
  // Slowdown that the target reported when this one was handed over; 1 without
  // a report.
  double slowdown = 1.0;
};

class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  // Sets the announced slots: at least 1, or 0 if there is no target.
  virtual void SetSlots(std::uint32_t slots) = 0;

  virtual void OnAnswer(TimePoint now, const LatencySample& sample) = 0;

  // In [1, slots]; 0 only if slots is 0.
  virtual std::uint32_t limit() const = 0;
};

// Always allows the announced number of slots.
class FixedLimit : public ConcurrencyLimit {
 public:
  void SetSlots(std::uint32_t slots) override { m_slots = slots; }
  void OnAnswer(TimePoint now, const LatencySample& sample) override {}
  std::uint32_t limit() const override { return m_slots; }

 private:
  std::uint32_t m_slots = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_CONCURRENCY_LIMIT_H_

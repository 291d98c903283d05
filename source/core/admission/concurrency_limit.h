// How many requests the owner lets its target run at once.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define BULRUSHMOUNT_CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "core/common/ids.h"
#include "core/common/time.h"

namespace bulrushmount {

// One answer, as far as it says something of the target's speed.
struct LatencySample {
  KindName kind;
  // From handing over to the first byte of the answer. What comes after
  // depends on how fast the caller reads.
  Duration first_byte{};
  // Requests that ran when this one was handed over, itself included.
  std::uint32_t in_flight = 0;
  // By the target's own word when this one was handed over; 1 without one.
  double slowdown = 1.0;
};

class ConcurrencyLimit {
 public:
  virtual ~ConcurrencyLimit() = default;

  // The announced slots. At least 1, or 0 when there is no target.
  virtual void SetSlots(std::uint32_t slots) = 0;

  virtual void OnAnswer(TimePoint now, const LatencySample& sample) = 0;

  // In [1, slots]; 0 only if slots is 0.
  virtual std::uint32_t limit() const = 0;
};

// Takes the announced slots at their word.
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

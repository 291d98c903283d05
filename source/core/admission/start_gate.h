// Decides when an admission may start the next request, in addition to the
// number of free slots.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_

#include <cstddef>

#include "core/common/time.h"

namespace bulrushmount {

class StartGate {
 public:
  virtual ~StartGate() = default;

  virtual bool MayStart(TimePoint now) const = 0;

  // Until the gate lets a request start behind `ahead` others; 0 if at once.
  virtual Duration ExpectedWait(TimePoint now, std::size_t ahead) const = 0;

  // A request is handed to the target now.
  virtual void OnStarted(TimePoint now) = 0;
};

// Leaves it to the slots.
class OpenStartGate : public StartGate {
 public:
  bool MayStart(TimePoint) const override { return true; }
  Duration ExpectedWait(TimePoint, std::size_t) const override {
    return Duration::zero();
  }
  void OnStarted(TimePoint) override {}
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_

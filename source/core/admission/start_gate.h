// Interface that restricts when an admission may start the next request, in
// addition to the number of free slots.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_
#define BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_

#include <algorithm>
#include <cstddef>

#include "core/common/time.h"

namespace bulrushmount {

class StartGate {
 public:
  virtual ~StartGate() = default;

  virtual bool MayStart(TimePoint now) const = 0;

  // Time until the gate admits a request with `ahead` others before it; 0 if it
  // does now.
  virtual Duration ExpectedWait(TimePoint now, std::size_t ahead) const = 0;

  // Records that a request is handed to the target.
  virtual void OnStarted(TimePoint now) = 0;
};

// Never delays a start; only the slots limit it.
class OpenStartGate : public StartGate {
 public:
  bool MayStart(TimePoint) const override { return true; }
  Duration ExpectedWait(TimePoint, std::size_t) const override {
    return Duration::zero();
  }
  void OnStarted(TimePoint) override {}
};

// Admits a start when two gates do. Both must outlive the object.
class CombinedStartGate : public StartGate {
 public:
  CombinedStartGate(StartGate& first, StartGate& second)
      : m_first(first), m_second(second) {}

  bool MayStart(TimePoint now) const override {
    return m_first.MayStart(now) && m_second.MayStart(now);
  }
  Duration ExpectedWait(TimePoint now, std::size_t ahead) const override {
    return std::max(m_first.ExpectedWait(now, ahead),
                    m_second.ExpectedWait(now, ahead));
  }
  void OnStarted(TimePoint now) override {
    m_first.OnStarted(now);
    m_second.OnStarted(now);
  }

 private:
  StartGate& m_first;
  StartGate& m_second;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_START_GATE_H_

// Learns whether the target slows down when it is nearly full, and then stays
// below that.
//
// Load pattern: all targets of a service are near their slots. Some kinds of
// target then take much longer for each request (a knee): nine slots at 1.7
// times the usual time get less done than seven at the usual one. Others do
// not, and staying below would waste a fifth of them.
//
// While nothing is known a target is kept uncrowded but for a trial now and
// then. Filling it until a knee is known costs most after a restart of all,
// when targets are cold and as many come as ever: everything is then slow twice
// over and nothing in time.

#ifndef BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_
#define BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_

#include <cstdint>
#include <unordered_map>

#include "core/admission/concurrency_limit.h"

namespace bulrushmount {

class KneeLimit : public ConcurrencyLimit {
 public:
  void SetSlots(std::uint32_t slots) override;
  void OnAnswer(TimePoint now, const LatencySample& sample) override;
  // The slots if there is no knee, else `uncrowded()`; while that is not known,
  // one more than that in some starts.
  std::uint32_t limit() const override;

  // Requests that run without crowding the target; at least 1 with any slot.
  std::uint32_t uncrowded() const;
  // How much longer a request takes that starts on the crowded target: of the
  // kind that is held up least. A knee holds up all kinds alike. A request that
  // calls another service also waits for that, and takes longer when the whole
  // fleet is busy; it says nothing of this target.
  double crowding() const;

 private:
  bool IsKnown() const;
  void ForgetCrowding();

  std::uint32_t m_slots = 0;
  // What is learnt of one kind.
  struct Kind {
    // Of starts that found the target uncrowded: mean of the logarithm of the
    // time in seconds, and how many it is made of.
    double log_usual = 0;
    std::uint32_t answers = 0;
    // Of starts that found it crowded: mean of the logarithm of time over usual
    // time.
    double log_crowding = 0;
    std::uint32_t crowded_answers = 0;
  };

  std::unordered_map<KindName, Kind> m_kinds;
  TimePoint m_learnt_at;
  // Uncrowded answers since the last crowded one.
  std::uint32_t m_answers_since_trial = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ADMISSION_KNEE_LIMIT_H_

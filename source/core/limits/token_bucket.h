// A token bucket whose tokens are weighted units: a call may cost more or less
// than one unit.

#ifndef BULRUSHMOUNT_CORE_LIMITS_TOKEN_BUCKET_H_
#define BULRUSHMOUNT_CORE_LIMITS_TOKEN_BUCKET_H_

#include "core/common/time.h"

namespace bulrushmount {

class TokenBucket {
 public:
  // Starts full. `rate` is in units per second; `rate` and `burst` must not be
  // negative.
  TokenBucket(TimePoint now, double rate, double burst);

  // Takes `units` if the bucket holds them. A request for more units than the
  // burst is admitted when the bucket is full, because it could otherwise never
  // be admitted. The level then falls below zero and the refill pays off the
  // debt.
  bool TryTake(TimePoint now, double units);

  // Sets a new rate and burst. Keeps the level, capped at the new burst.
  void Reconfigure(TimePoint now, double rate, double burst);

  // Takes as many of `units` as the bucket holds and returns the amount taken.
  double TakeUpTo(TimePoint now, double units);

  void Fill();

  // Sets the level, which may be negative, capped at the burst.
  void SetLevel(TimePoint now, double level);

  // Takes `units` whatever the level is; the refill pays off a debt.
  void TakeOwed(TimePoint now, double units);

  // Gives back units that were taken at `taken_at` or later and not used. Has
  // no effect if the bucket has been full since: it then lost refill that it
  // would also have lost with these units.
  void GiveBack(TimePoint now, TimePoint taken_at, double units);

  double Level(TimePoint now);

 private:
  void Refill(TimePoint now);

  double m_rate;
  double m_burst;
  // At most m_burst; negative while in debt.
  double m_level;
  TimePoint m_refilled_at;
  // When refill was last lost because the bucket was full.
  TimePoint m_full_at;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_LIMITS_TOKEN_BUCKET_H_

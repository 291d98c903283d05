// Determines how often a node polls the table for a slot and how long it keeps
// one. It uses estimates of the fleet's size to spread the table's load and the
// turns; it never decides what the budget allows.

#ifndef BULRUSHMOUNT_CORE_MEASURING_LEASE_PACING_H_
#define BULRUSHMOUNT_CORE_MEASURING_LEASE_PACING_H_

#include <optional>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/measuring/budget_layout.h"
#include "core/measuring/measuring_settings.h"
#include "core/measuring/probe_need.h"

namespace bulrushmount {

class LeasePacing {
 public:
  // `random` must outlive the object.
  LeasePacing(const MeasuringSettings& settings, RandomSource& random)
      : m_settings(settings), m_random(random) {}

  void OnFleetSize(const FleetSize& size) { m_size = size; }

  // A slot was released after its use.
  void OnTurnEnded(TimePoint now) { m_last_turn = now; }

  // Whether there is a slot for every member.
  bool HasSlotForEveryMember(const BudgetLayout& layout) const;

  // Term of a lease, long enough that the fleet's writes stay near their target
  // rate.
  Duration Term(const BudgetLayout& layout) const;

  // Time of the next poll, randomized so that nodes do not poll in step. A node
  // polls more often the longer ago its last turn was, so that it gets a slot
  // before one that has just had a turn; random polls alone would leave some
  // targets unprobed for many turns.
  TimePoint NextPoll(TimePoint now, ProbeNeed need, const BudgetLayout& layout);

 private:
  Duration PollInterval() const;
  double TurnFactor(TimePoint now, const BudgetLayout& layout) const;

  MeasuringSettings m_settings;
  RandomSource& m_random;
  FleetSize m_size;
  std::optional<TimePoint> m_last_turn;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_LEASE_PACING_H_

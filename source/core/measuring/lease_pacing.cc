// Part of `lease_pacing.h`: scales terms and polls with the size of the fleet.

#include "core/measuring/lease_pacing.h"

#include <algorithm>

namespace bulrushmount {

namespace {

// Factor of the poll interval right after an own turn, per turn that the other
// members need to have one each.
constexpr double kFactorAfterTurn = 2.0;

// Factor of the poll interval when all other members have had a turn.
constexpr double kFactorAfterAllTurns = 0.5;

}  // namespace

bool LeasePacing::HasSlotForEveryMember(const BudgetLayout& layout) const {
  return m_size.service_members <= layout.slot_count();
}

Duration LeasePacing::Term(const BudgetLayout& layout) const {
  // A turn takes two writes: one to acquire the slot and one to release it.
  const double writes = 2.0 * layout.slot_count() * m_size.services;
  const Duration target_duration =
      FromSeconds(writes / m_settings.fleet_writes_per_second);
  // The wait before the first probe must be a small fraction of the turn.
  const Duration shortest = m_settings.shortest_term + 4 * layout.window();
  const Duration longest = std::max(m_settings.longest_term, shortest);
  return std::clamp(target_duration, shortest, longest);
}

TimePoint LeasePacing::NextPoll(TimePoint now,
                                ProbeNeed need,
                                const BudgetLayout& layout) {
  const double factor = need == ProbeNeed::kSuspect ? kFactorAfterAllTurns / 2
                                                    : TurnFactor(now, layout);
  return now + std::chrono::duration_cast<Duration>(
                   PollInterval() * factor * (0.5 + m_random.Fraction()));
}

Duration LeasePacing::PollInterval() const {
  const Duration target_duration =
      FromSeconds(m_size.members / m_settings.fleet_reads_per_second);
  return std::max(target_duration, m_settings.min_poll_interval);
}

double LeasePacing::TurnFactor(TimePoint now,
                               const BudgetLayout& layout) const {
  if (!m_last_turn || layout.slot_count() == 0) {
    return kFactorAfterAllTurns;
  }
  const double turns = double(m_size.service_members) / layout.slot_count();
  const double all_turns = turns * ToSeconds(Term(layout));
  const double waited_fraction = ToSeconds(now - *m_last_turn) / all_turns;
  const double factor = kFactorAfterTurn * turns * (1 - waited_fraction);
  return std::max(factor, kFactorAfterAllTurns);
}

}  // namespace bulrushmount

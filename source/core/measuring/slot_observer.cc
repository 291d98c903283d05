// Part of `slot_observer.h`: stores when the current version of each slot's row
// was first seen.

#include "core/measuring/slot_observer.h"

namespace bulrushmount {

namespace {

// A row in an unknown format, written by another release, counts as held for
// this long.
constexpr Duration kUnknownFormatTerm = std::chrono::minutes(10);

}  // namespace

std::vector<FreeSlot> SlotObserver::FindFree(TimePoint now,
                                             const std::vector<Row>& rows,
                                             const BudgetLayout& layout) {
  Observe(now, rows);
  std::map<std::uint32_t, RowVersion> versions;
  std::vector<bool> is_held(layout.slot_count(), false);
  for (const Row& row : rows) {
    const auto index = m_keys.IndexOf(row.key);
    if (!index) {
      continue;
    }
    versions[*index] = row.version;
    const std::optional<SlotRow> slot = DecodeSlotRow(row.value);
    if (!MayBeHeld(now, *index, slot)) {
      continue;
    }
    if (!slot || slot->layout != layout || *index >= layout.slot_count()) {
      return {};
    }
    is_held[*index] = true;
  }
  std::vector<FreeSlot> free;
  for (std::uint32_t index = 0; index < layout.slot_count(); ++index) {
    if (!is_held[index]) {
      free.push_back({index, versions[index]});
    }
  }
  return free;
}

void SlotObserver::Observe(TimePoint now, const std::vector<Row>& rows) {
  std::map<std::uint32_t, Observation> observed;
  for (const Row& row : rows) {
    const auto index = m_keys.IndexOf(row.key);
    if (!index) {
      continue;
    }
    const auto known = m_observed.find(*index);
    const bool is_unchanged =
        known != m_observed.end() && known->second.version == row.version;
    observed[*index] =
        is_unchanged ? known->second : Observation{row.version, now};
  }
  m_observed = std::move(observed);
}

bool SlotObserver::MayBeHeld(TimePoint now,
                             std::uint32_t index,
                             const std::optional<SlotRow>& row) const {
  // Left by this node's own request whose answer was lost. The slot is not in
  // use, since this node would otherwise not look for one.
  if (row && row->holder == m_self) {
    return false;
  }
  const Duration term = row ? row->term : kUnknownFormatTerm;
  const Duration drift =
      std::chrono::duration_cast<Duration>(term * m_settings.clock_drift);
  const TimePoint first_seen = m_observed.at(index).first_seen;
  return now < first_seen + term + drift + m_settings.lapse_margin;
}

}  // namespace bulrushmount

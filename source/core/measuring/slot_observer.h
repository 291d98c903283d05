// Tracks the slots of other nodes, and finds those that this node may take.
// Nodes share no clock: a lease has expired if its row stays unchanged by this
// node's clock for its whole term, the maximum clock drift and a margin.

#ifndef BULRUSHMOUNT_CORE_MEASURING_SLOT_OBSERVER_H_
#define BULRUSHMOUNT_CORE_MEASURING_SLOT_OBSERVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/measuring/budget_layout.h"
#include "core/measuring/measuring_settings.h"
#include "core/measuring/share_rows.h"
#include "core/store/table_types.h"

namespace bulrushmount {

struct FreeSlot {
  std::uint32_t index = 0;
  // kNoRow if no node holds it, else its lease has expired.
  RowVersion version;
};

class SlotObserver {
 public:
  SlotObserver(NodeId self,
               const ShareKeys& keys,
               const MeasuringSettings& settings)
      : m_self(self), m_keys(keys), m_settings(settings) {}

  // `rows`: all rows of the service, as just read. Empty if there is no free
  // slot, and also while a slot of another layout may still be held: the sum of
  // its holder's share and those of this layout could exceed both budgets.
  std::vector<FreeSlot> FindFree(TimePoint now,
                                 const std::vector<Row>& rows,
                                 const BudgetLayout& layout);

 private:
  struct Observation {
    RowVersion version;
    TimePoint first_seen;
  };

  void Observe(TimePoint now, const std::vector<Row>& rows);
  bool MayBeHeld(TimePoint now,
                 std::uint32_t index,
                 const std::optional<SlotRow>& row) const;

  NodeId m_self;
  ShareKeys m_keys;
  MeasuringSettings m_settings;
  std::map<std::uint32_t, Observation> m_observed;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_SLOT_OBSERVER_H_

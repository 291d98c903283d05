// Divides a service's measuring budget into slots. A slot is the right to a
// fixed number of probes in every window and to one probe in flight, and only
// the node that holds its row in the table has that right. The sum over all
// slots never exceeds the budget, so no two nodes need to agree on more than
// one row.

#ifndef BULRUSHMOUNT_CORE_MEASURING_BUDGET_LAYOUT_H_
#define BULRUSHMOUNT_CORE_MEASURING_BUDGET_LAYOUT_H_

#include <cstdint>
#include <optional>

#include "core/common/time.h"
#include "core/contracts/contract.h"

namespace bulrushmount {

// Probes that the holder of one slot may send.
struct SlotShare {
  // Maximum in every sliding window.
  std::uint32_t probes = 0;
  Duration window{};

  friend bool operator==(const SlotShare&, const SlotShare&) = default;
};

class BudgetLayout {
 public:
  // Allows no probes.
  BudgetLayout() = default;
  explicit BudgetLayout(const ServiceMeasuringBudget& budget);

  // Uses the integer figures of `Encode(SlotRow)`, so that a layout is equal
  // after it was written and read back.
  BudgetLayout(std::uint64_t microprobes_per_second,
               std::uint32_t probes_in_flight);

  // Rounded down.
  std::uint64_t microprobes_per_second() const {
    return m_microprobes_per_second;
  }
  std::uint32_t probes_in_flight() const { return m_probes_in_flight; }

  // The minimum of `probes_in_flight`, `probes_per_window` and kMaxSlots.
  std::uint32_t slot_count() const { return m_slot_count; }

  // Over the whole fleet, every half-open window of length `window` has at most
  // `probes_per_window` probes. The window is one second, or for a budget below
  // one probe a second the interval between two probes. A fraction above a
  // whole number of probes a second is not used.
  std::uint32_t probes_per_window() const { return m_probes_per_window; }
  Duration window() const { return m_window; }

  // Share of a slot; empty if the layout does not have that slot.
  std::optional<SlotShare> ShareOf(std::uint32_t slot) const;

  // Layouts are equal if and only if the operator's figures are.
  friend bool operator==(const BudgetLayout&, const BudgetLayout&) = default;

  // Limits the rows that a node reads to find a free slot.
  static constexpr std::uint32_t kMaxSlots = 64;

 private:
  std::uint64_t m_microprobes_per_second = 0;
  std::uint32_t m_probes_in_flight = 0;
  // Derived from the two fields above.
  std::uint32_t m_slot_count = 0;
  std::uint32_t m_probes_per_window = 0;
  Duration m_window = std::chrono::seconds(1);
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_BUDGET_LAYOUT_H_

// Table rows of the measuring budget, in JSON.
//
//   probe-share/<service>/layout       the budget under which slots are leased
//   probe-share/<service>/slot/<nnnn>  the holder of one slot

#ifndef BULRUSHMOUNT_CORE_MEASURING_SHARE_ROWS_H_
#define BULRUSHMOUNT_CORE_MEASURING_SHARE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/ids.h"
#include "core/common/time.h"
#include "core/measuring/budget_layout.h"

namespace bulrushmount {

class ShareKeys {
 public:
  explicit ShareKeys(const ServiceName& service);

  // Prefix of all rows of the service.
  const std::string& prefix() const { return m_prefix; }
  const std::string& layout() const { return m_layout; }
  std::string Slot(std::uint32_t index) const;
  // Slot index of a slot row's key; empty for any other key.
  std::optional<std::uint32_t> IndexOf(std::string_view key) const;

 private:
  std::string m_prefix;
  std::string m_layout;
  std::string m_slot_prefix;
};

// Every lease is granted and renewed on condition that this row is unchanged.
// So once a node has written an operator's new budget here, no lease under the
// old one lasts longer than its term, even on nodes that have not received the
// new one.
struct LayoutRow {
  // Revision of the writer's configuration.
  Revision revision;
  BudgetLayout layout;
};

struct SlotRow {
  NodeId holder;
  // Random for each grant and renewal, so that the writer recognizes its own
  // write if the answer was lost.
  std::uint64_t nonce = 0;
  Duration term{};
  // Budget that the slot belongs to.
  BudgetLayout layout;
};

std::string Encode(const LayoutRow& row);
std::string Encode(const SlotRow& row);

// Empty if the value has an unknown format.
std::optional<LayoutRow> DecodeLayoutRow(std::string_view value);
std::optional<SlotRow> DecodeSlotRow(std::string_view value);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_MEASURING_SHARE_ROWS_H_

// Baseline picker: picks the candidates in turn.

#ifndef BULRUSHMOUNT_CORE_ROUTING_ROUND_ROBIN_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_ROUND_ROBIN_PICKER_H_

#include "core/routing/baseline_picker.h"

namespace bulrushmount {

class RoundRobinPicker : public BaselinePicker {
 public:
  std::optional<NodeId> Pick(TimePoint now,
                             const PickRequest& request,
                             RandomSource& random) override;

 private:
  std::size_t m_next = 0;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_ROUND_ROBIN_PICKER_H_

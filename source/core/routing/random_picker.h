// Baseline picker: picks uniformly at random.

#ifndef BULRUSHMOUNT_CORE_ROUTING_RANDOM_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_RANDOM_PICKER_H_

#include "core/routing/baseline_picker.h"

namespace bulrushmount {

class RandomPicker : public BaselinePicker {
 public:
  std::optional<NodeId> Pick(TimePoint now,
                             const PickRequest& request,
                             RandomSource& random) override;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_RANDOM_PICKER_H_

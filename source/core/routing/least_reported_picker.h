// Baseline picker: picks the candidate with the lowest last reported load,
// however old the report is.

#ifndef BULRUSHMOUNT_CORE_ROUTING_LEAST_REPORTED_PICKER_H_
#define BULRUSHMOUNT_CORE_ROUTING_LEAST_REPORTED_PICKER_H_

#include "core/routing/baseline_picker.h"

namespace bulrushmount {

class LeastReportedPicker : public BaselinePicker {
 public:
  std::optional<NodeId> Pick(TimePoint now,
                             const PickRequest& request,
                             RandomSource& random) override;
};

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_ROUTING_LEAST_REPORTED_PICKER_H_

// Adds a zone to the contract of evacuated availability zones or removes one.

#ifndef BULRUSHMOUNT_BULRUSHMOUNTCTL_EVACUATION_CHANGE_H_
#define BULRUSHMOUNT_BULRUSHMOUNTCTL_EVACUATION_CHANGE_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/ids.h"

namespace bulrushmount {

enum class EvacuationAction : bool { kBegin, kEnd };

// Why the change is not possible, as one line for the operator.
struct EvacuationError {
  std::string message;
};

// Returns the new YAML of the contract, empty if no zone is left and the
// contract must be withdrawn. `contract` is the YAML in force, empty if there
// is none. `known_zones` are the zones that the node lists; if it lists none,
// any zone is accepted.
std::variant<std::string, EvacuationError> ChangeEvacuation(
    EvacuationAction action,
    const AvailabilityZone& zone,
    std::string_view contract,
    const std::vector<AvailabilityZone>& known_zones);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_BULRUSHMOUNTCTL_EVACUATION_CHANGE_H_

// Parses the evacuation contract, edits its zone list and serializes it.

#include "bulrushmountctl/evacuation_change.h"

#include <algorithm>
#include <variant>

#include <fmt/format.h>

#include "core/contracts/contract_yaml.h"

namespace bulrushmount {

namespace {

bool Contains(const std::vector<AvailabilityZone>& zones,
              const AvailabilityZone& zone) {
  return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

}  // namespace

std::variant<std::string, EvacuationError> ChangeEvacuation(
    EvacuationAction action,
    const AvailabilityZone& zone,
    std::string_view contract,
    const std::vector<AvailabilityZone>& known_zones) {
  EvacuationTerms terms;
  if (!contract.empty()) {
    const ContractOrFaults parsed = TryParseContract(contract);
    const auto* const in_force =
        parsed.contract ? std::get_if<EvacuationTerms>(&parsed.contract->terms)
                        : nullptr;
    if (!in_force)
      return EvacuationError{"the evacuation contract in force is invalid"};
    terms = *in_force;
  }
  const bool is_evacuated = Contains(terms.zones, zone);
  if (action == EvacuationAction::kEnd) {
    if (!is_evacuated)
      return EvacuationError{fmt::format("zone {} is not evacuated", zone)};
    std::erase(terms.zones, zone);
  } else {
    if (is_evacuated)
      return EvacuationError{fmt::format("zone {} is already evacuated", zone)};
    if (!known_zones.empty() && !Contains(known_zones, zone))
      return EvacuationError{
          fmt::format("zone {} is not known to the node", zone)};
    terms.zones.push_back(zone);
  }
  if (terms.zones.empty())
    return std::string();
  return ToYaml(Contract{WorkspaceName(kEvacuationWorkspace), terms});
}

}  // namespace bulrushmount

// Converts contracts between the YAML text that operators write and the model.

#ifndef BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_YAML_H_
#define BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_YAML_H_

#include <string>
#include <string_view>

#include <boost/leaf.hpp>

#include "core/contracts/contract.h"
#include "core/settings/yaml_reader.h"

namespace bulrushmount {

// On failure the error is a YamlFaults with every fault of the text.
boost::leaf::result<Contract> ParseContract(std::string_view yaml);

// The text parses to an equal contract.
std::string ToYaml(const Contract& contract);

// Either a contract or all faults of the text.
struct ContractOrFaults {
  std::optional<Contract> contract;
  // Empty if and only if there is a contract.
  YamlFaults faults;
};
ContractOrFaults TryParseContract(std::string_view yaml);

}  // namespace bulrushmount

#endif  // BULRUSHMOUNT_CORE_CONTRACTS_CONTRACT_YAML_H_

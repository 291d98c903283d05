// Fuzzes the parser of contracts in YAML.

#include "fuzz/fuzz_input.h"

#include "core/contracts/contract_yaml.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushmount;
  const auto result = TryParseContract(ToString(data, size));
  Require(result.contract.has_value() == result.faults.empty(),
          "either a contract or faults are returned");
  if (!result.contract)
    return 0;
  const std::string yaml = ToYaml(*result.contract);
  const auto decoded_again = TryParseContract(yaml);
  Require(decoded_again.contract.has_value() &&
              ToYaml(*decoded_again.contract) == yaml,
          "a contract is unchanged by writing and parsing it");
  return 0;
}

// Tests of `core/contracts/contract_yaml.h` and of the example contracts.

#include "core/contracts/contract_yaml.h"

#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(BULRUSHMOUNT_EXAMPLES "/") + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

class ExampleContractTest : public testing::TestWithParam<std::string> {};

TEST_P(ExampleContractTest, ParsesAndRoundTrips) {
  const ContractOrFaults parsed = TryParseContract(ReadExample(GetParam()));
  ASSERT_TRUE(parsed.contract.has_value()) << ToString(parsed.faults);
  const ContractOrFaults again = TryParseContract(ToYaml(*parsed.contract));
  ASSERT_TRUE(again.contract.has_value()) << ToString(again.faults);
  EXPECT_EQ(*again.contract, *parsed.contract);
}

INSTANTIATE_TEST_SUITE_P(Examples,
                         ExampleContractTest,
                         testing::Values("studio.yaml",
                                         "archive.yaml",
                                         "studio-measurement.yaml",
                                         "archive-measurement.yaml"));

constexpr char kValid[] = R"(workspace: studio
services:
  - name: desk
    kinds:
      - name: browse
        method: GET
        path: /scripts
        repeatable: true
        deadline: 500ms
        objective: {fraction: 0.99, within: 50ms}
limits: {units_per_second: 10, burst_units: 20, in_flight: 5}
key_retention: 24h
)";

struct FaultCase {
  std::string name;
  // Replaces the first occurrence of `from` in kValid by `to`.
  std::string from;
  std::string to;
  std::string expected;
};

class ContractFaultTest : public testing::TestWithParam<FaultCase> {};

TEST_P(ContractFaultTest, ReportsTheFaultAndItsPosition) {
  std::string text = kValid;
  const std::size_t at = text.find(GetParam().from);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, GetParam().from.size(), GetParam().to);
  const ContractOrFaults parsed = TryParseContract(text);
  EXPECT_FALSE(parsed.contract.has_value());
  EXPECT_EQ(ToString(parsed.faults), GetParam().expected + "\n");
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    ContractFaultTest,
    testing::Values(
        FaultCase{"UnknownKey", "key_retention:", "foo: 1\nkey_retention:",
                  "line 12, column 1: unknown key 'foo'"},
        FaultCase{"RenamedKey", "workspace: studio",
                  "workspace: studio\ncustomer: studio",
                  "line 2, column 1: key 'customer' has been renamed to "
                  "'workspace'"},
        FaultCase{"MissingKey", "key_retention: 24h\n", "",
                  "line 1, column 1: missing key 'key_retention'"},
        FaultCase{"DuplicateKey",
                  "key_retention:", "share: 1\nshare: 2\nkey_retention:",
                  "line 13, column 1: duplicate key 'share'"},
        FaultCase{"NoUnit", "500ms", "500",
                  "line 9, column 19: expected a duration with its unit, such "
                  "as 50ms, 2s or 24h"},
        FaultCase{"Range", "500ms", "2h",
                  "line 9, column 19: expected a duration from 1ms to 1h"},
        FaultCase{"NotABool", "true", "yes",
                  "line 8, column 21: expected true or false"},
        FaultCase{"Fraction", "0.99", "1",
                  "line 10, column 31: expected a number above 0 and below 1"},
        FaultCase{"NotANumber", "20,", "nan,",
                  "line 11, column 45: expected a number"},
        FaultCase{"NegativeCount", "5}", "-5}",
                  "line 11, column 60: expected a whole number from 1 to "
                  "1000000"},
        FaultCase{"Name", "studio", "stu/dio",
                  "line 1, column 12: expected a name: 1 to 64 letters, "
                  "digits, '.', '_' or '-'"},
        FaultCase{"Reserved", "studio", "measurement",
                  "line 1, column 1: missing key 'budgets'\n"
                  "line 2, column 1: unknown key 'services'\n"
                  "line 11, column 1: unknown key 'limits'\n"
                  "line 12, column 1: unknown key 'key_retention'"},
        FaultCase{"EvacuationWithLimits", "studio", "evacuation",
                  "line 1, column 1: missing key 'zones'\n"
                  "line 2, column 1: unknown key 'services'\n"
                  "line 11, column 1: unknown key 'limits'\n"
                  "line 12, column 1: unknown key 'key_retention'"},
        FaultCase{"Method", "GET", "get",
                  "line 6, column 17: expected an upper-case method or \"*\""},
        FaultCase{"Path", "/scripts", "scripts",
                  "line 7, column 15: expected a path prefix that starts with "
                  "'/', without query"},
        FaultCase{"KeyOfRepeatable", "repeatable: true",
                  "repeatable: true\n        key: required",
                  "line 9, column 14: 'key' is only for kinds that are not "
                  "repeatable"},
        FaultCase{"Weight", "repeatable: true",
                  "repeatable: true\n        weight: 21",
                  "line 12, column 9: burst_units is below the weight of kind "
                  "'browse'"},
        FaultCase{"Alias", "studio", "*a",
                  "line 1, column 12: the referenced anchor is not defined"},
        FaultCase{"Anchor", "studio", "&a studio",
                  "line 1, column 12: anchors are not accepted"},
        FaultCase{"Tag", "studio", "!!str studio",
                  "line 1, column 12: tags are not accepted"}),
    [](const auto& info) { return info.param.name; });

TEST(ContractYamlTest, ReadsEvacuatedZones) {
  const std::string text =
      "workspace: evacuation\nzones:\n  - quito-a\n  - quito-b\n";
  const ContractOrFaults parsed = TryParseContract(text);
  ASSERT_TRUE(parsed.contract) << ToString(parsed.faults);
  EXPECT_EQ(std::get<EvacuationTerms>(parsed.contract->terms).zones,
            (std::vector<AvailabilityZone>{AvailabilityZone("quito-a"),
                                           AvailabilityZone("quito-b")}));
  EXPECT_EQ(ToYaml(*parsed.contract), text);
  EXPECT_FALSE(
      TryParseContract("workspace: evacuation\nzones: [a, a]\n").contract);
}

TEST(ContractYamlTest, ListsAllFaultsAtOnce) {
  std::string text = kValid;
  text.replace(text.find("GET"), 3, "get");
  text.replace(text.find("500ms"), 5, "never");
  text += "extra: 1\n";
  EXPECT_EQ(TryParseContract(text).faults.faults.size(), 3u);
}

TEST(ContractYamlTest, ReportsDuplicateAndHiddenKinds) {
  std::string text = kValid;
  const std::string kind =
      text.substr(text.find("      - name"),
                  text.find("limits") - text.find("      - name"));
  std::string hidden = kind;
  hidden.replace(hidden.find("browse"), 6, "other");
  text.insert(text.find("limits"), kind + hidden);
  EXPECT_EQ(ToString(TryParseContract(text).faults),
            "line 11, column 9: duplicate kind 'browse'\n"
            "line 17, column 9: kind 'other' is hidden by kind 'browse'\n");
}

TEST(ContractYamlTest, FailsWithFaultsAsLeafError) {
  const std::size_t faults = boost::leaf::try_handle_all(
      []() -> boost::leaf::result<std::size_t> {
        BOOST_LEAF_CHECK(ParseContract("workspace: [1]\n"));
        return 0u;
      },
      [](const YamlFaults& faults) { return faults.faults.size(); },
      []() { return std::size_t{0}; });
  EXPECT_EQ(faults, 4u);
}

struct HostileCase {
  std::string name;
  std::string text;
  std::string fault;
};

class HostileYamlTest : public testing::TestWithParam<HostileCase> {};

// Guards against a small text that expands to a huge tree and makes a node hang
// or exhaust its memory, through unbounded aliases, depth or node counts.
TEST_P(HostileYamlTest, IsRefused) {
  const ContractOrFaults parsed = TryParseContract(GetParam().text);
  EXPECT_FALSE(parsed.contract.has_value());
  EXPECT_THAT(ToString(parsed.faults), testing::HasSubstr(GetParam().fault));
}

std::string Repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  for (std::size_t i = 0; i < count; ++i)
    repeated += text;
  return repeated;
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    HostileYamlTest,
    testing::Values(
        HostileCase{"Empty", "", "the text is empty"},
        HostileCase{"TwoDocuments",
                    std::string(kValid) + "---\n" + std::string(kValid),
                    "more than one document"},
        HostileCase{"TooLong", "# " + std::string(kMaxYamlBytes, 'x'),
                    "longer than 65536 bytes"},
        HostileCase{"DeepFlow", Repeat("[", 60'000), "nested too deeply"},
        HostileCase{"DeepMaps", Repeat("{a: ", 10'000), "nested too deeply"},
        HostileCase{"DeepBlock", Repeat("- ", 30'000), "nested too deeply"},
        HostileCase{"ManyNodes", "[" + Repeat("1,", 30'000) + "1]",
                    "too many values"},
        HostileCase{"AliasBomb",
                    "a: &a [x, x]\nb: &b [*a, *a]\nc: &c [*b, *b]\n",
                    "aliases are not accepted"},
        HostileCase{"Binary", std::string("\0\xff\xfe\x01", 4), "line 1"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount

// Tests of the value readers of `core/settings/yaml_reader.h`; the map reader
// is tested through contracts and settings.

#include "core/settings/yaml_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

struct DurationCase {
  std::string text;
  std::optional<Duration> expected;
};

class ParseDurationTest : public testing::TestWithParam<DurationCase> {};

TEST_P(ParseDurationTest, NeedsNumberAndUnit) {
  EXPECT_EQ(ParseDuration(GetParam().text), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    ParseDurationTest,
    testing::Values(DurationCase{"50ms", std::chrono::milliseconds(50)},
                    DurationCase{"1.5s", std::chrono::milliseconds(1500)},
                    DurationCase{"24h", std::chrono::hours(24)},
                    DurationCase{"7m", std::chrono::minutes(7)},
                    DurationCase{"3us", std::chrono::microseconds(3)},
                    DurationCase{"9ns", Duration(9)},
                    DurationCase{"0s", Duration(0)},
                    DurationCase{"50", std::nullopt},
                    DurationCase{"ms", std::nullopt},
                    DurationCase{"-1s", std::nullopt},
                    DurationCase{"1 s", std::nullopt},
                    DurationCase{"1d", std::nullopt},
                    DurationCase{"1e300h", std::nullopt},
                    DurationCase{"infs", std::nullopt},
                    DurationCase{"", std::nullopt}));

RC_GTEST_PROP(FormatDurationTest, ParsesBack, ()) {
  const auto count = *rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000);
  const auto unit = *rc::gen::element<std::int64_t>(1, 1'000, 1'000'000);
  const Duration duration(count / unit * unit);
  RC_ASSERT(ParseDuration(FormatDuration(duration)) == duration);
}

// For any input the parser returns, and it never returns an empty result
// without a fault.
RC_GTEST_PROP(ParseYamlTest, HandlesAnyBytes, (const std::string& text)) {
  YamlFaults faults;
  const bool has_tree = ParseYaml(text, faults).has_value();
  RC_ASSERT(has_tree || !faults.empty());
}

RC_GTEST_PROP(ParseYamlTest, HandlesAnyMixOfYamlIndicators, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("{}[]:,-?&*!|>'\"%@`#ab \n\t")));
  YamlFaults faults;
  const bool has_tree = ParseYaml(text, faults).has_value();
  RC_ASSERT(has_tree || !faults.empty());
}

}  // namespace
}  // namespace bulrushmount

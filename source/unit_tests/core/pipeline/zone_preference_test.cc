// Tests how long a call may be delayed to stay in its availability zone.

#include "core/pipeline/zone_preference.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;

constexpr double kHalf = 0.5;

struct PreferenceCase {
  const char* name;
  ZonePreferenceInput input;
  Duration expected;
};

class ZonePreferenceTest : public testing::TestWithParam<PreferenceCase> {};

// Guards against calls that leave their zone although they would be in time
// there, and against calls that stay until they are late.
TEST_P(ZonePreferenceTest, IsAPartOfTheSpareTime) {
  EXPECT_EQ(ZonePreference(GetParam().input, kHalf), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Calls,
    ZonePreferenceTest,
    testing::Values(PreferenceCase{"New", {500ms, 160ms, 0}, 170ms},
                    PreferenceCase{"ShortObjective", {150ms, 40ms, 0}, 55ms},
                    PreferenceCase{"OneRefusal", {460ms, 160ms, 1}, 100ms},
                    PreferenceCase{"FullZone", {460ms, 160ms, 3}, 0ms},
                    PreferenceCase{"NoSpareTime", {150ms, 160ms, 0}, 0ms},
                    PreferenceCase{"Late", {-20ms, 160ms, 0}, 0ms}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ZonePreferenceSettingTest, ZeroKeepsTheFixedCostsOnly) {
  EXPECT_EQ(ZonePreference({500ms, 160ms, 0}, 0), Duration::zero());
}

}  // namespace
}  // namespace bulrushmount

// Tests of `core/measuring/budget_layout.h`.

#include "core/measuring/budget_layout.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <string>

namespace bulrushmount {

namespace {

using std::chrono::milliseconds;

struct LayoutCase {
  std::string name;
  double probes_per_second;
  std::uint32_t probes_in_flight;
  std::uint32_t slots;
  std::uint32_t probes_per_window;
  Duration window;
};

class LayoutTest : public testing::TestWithParam<LayoutCase> {};

TEST_P(LayoutTest, SlotsAddUpToTheBudget) {
  const LayoutCase& expected = GetParam();
  const BudgetLayout layout({ServiceName("desk"), expected.probes_per_second,
                             expected.probes_in_flight});
  EXPECT_EQ(layout.slot_count(), expected.slots);
  EXPECT_EQ(layout.probes_per_window(), expected.probes_per_window);
  EXPECT_GE(layout.window(), expected.window);
  EXPECT_LE(layout.window(), expected.window + milliseconds(1));
  std::uint32_t sum = 0;
  for (std::uint32_t slot = 0; slot < layout.slot_count(); ++slot) {
    const std::optional<SlotShare> share = layout.ShareOf(slot);
    ASSERT_TRUE(share);
    EXPECT_GE(share->probes, 1U);
    sum += share->probes;
  }
  EXPECT_EQ(sum, expected.probes_per_window);
  EXPECT_FALSE(layout.ShareOf(layout.slot_count()));
}

constexpr Duration kSecond = std::chrono::seconds(1);

INSTANTIATE_TEST_SUITE_P(
    Budgets,
    LayoutTest,
    testing::Values(LayoutCase{"WholeNumbers", 5, 5, 5, 5, kSecond},
                    LayoutCase{"FractionUnused", 2.9, 5, 2, 2, kSecond},
                    LayoutCase{"FewInFlight", 7, 3, 3, 7, kSecond},
                    LayoutCase{"ManyInFlight", 3, 100, 3, 3, kSecond},
                    LayoutCase{"Rare", 0.25, 4, 1, 1, 4 * kSecond},
                    LayoutCase{"MostSlots", 1000, 1000, 64, 1000, kSecond},
                    LayoutCase{"NoRate", 0, 4, 0, 0, kSecond},
                    LayoutCase{"Negative", -1, 4, 0, 0, kSecond},
                    LayoutCase{"NotANumber", std::nan(""), 4, 0, 0, kSecond},
                    LayoutCase{"Infinite",
                               std::numeric_limits<double>::infinity(), 4, 4,
                               1'000'000, kSecond},
                    LayoutCase{"NoneInFlight", 4, 0, 0, 0, kSecond},
                    LayoutCase{"RarerThanDaily", 1e-6, 4, 0, 0, kSecond}),
    [](const auto& info) { return info.param.name; });

}  // namespace

}  // namespace bulrushmount

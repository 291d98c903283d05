// Tests of every implementation of `core/routing/target_picker.h`.

#include "core/routing/target_picker.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <gtest/gtest.h>

#include "core/routing/least_reported_picker.h"
#include "core/routing/power_of_choices_picker.h"
#include "core/routing/random_picker.h"
#include "core/routing/round_robin_picker.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

struct PickerCase {
  std::string name;
  std::function<std::unique_ptr<TargetPicker>()> make;
};

constexpr int kRounds = 900;

class TargetPickerTest : public testing::TestWithParam<PickerCase> {
 protected:
  std::optional<NodeId> Pick(std::span<const NodeId> excluded = {}) {
    return m_picker->Pick(m_now, {.excluded = excluded}, m_random);
  }

  std::unique_ptr<TargetPicker> m_picker = GetParam().make();
  SeededRandomSource m_random{1};
  TimePoint m_now{1s};
};

TEST_P(TargetPickerTest, PicksNothingWithoutCandidates) {
  EXPECT_EQ(Pick(), std::nullopt);
}

TEST_P(TargetPickerTest, NeverPicksExcludedOrRemoved) {
  for (std::uint64_t node = 1; node <= 4; ++node) {
    m_picker->Update({.node = NodeId(node),
                      .distance = static_cast<ZoneDistance>(node % 3)});
  }
  m_picker->Remove(NodeId(4));
  const std::vector<NodeId> excluded = {NodeId(1), NodeId(3)};
  for (int round = 0; round < 100; ++round)
    EXPECT_EQ(Pick(excluded), NodeId(2));
  const std::vector<NodeId> all = {NodeId(1), NodeId(2), NodeId(3)};
  EXPECT_EQ(Pick(all), std::nullopt);
}

TEST_P(TargetPickerTest, UsesEveryEqualCandidate) {
  for (std::uint64_t node = 1; node <= 9; ++node)
    m_picker->Update({.node = NodeId(node)});
  std::unordered_map<NodeId, int> picks;
  for (int round = 0; round < kRounds; ++round)
    ++picks[*Pick()];
  EXPECT_EQ(picks.size(), 9U);
  for (const auto& [node, count] : picks)
    EXPECT_GT(count, kRounds / 20);
}

// Guards against a crash or a wrong count when events of an attempt arrive
// after its node was removed.
TEST_P(TargetPickerTest, IgnoresEventsOfRemovedNodes) {
  Dispatch dispatch{.node = NodeId(1), .sent_at = m_now};
  m_picker->Update({.node = NodeId(1)});
  m_picker->OnSent(dispatch);
  m_picker->Remove(NodeId(1));
  m_picker->OnAnswerBegun(m_now, dispatch, {}, AnswerQuality::kGood);
  m_picker->OnEnded(m_now, dispatch, {});
  m_picker->OnRefused(m_now, dispatch, Reason::kOverloaded, {});
  m_picker->OnLost(m_now, dispatch);
  m_picker->OnCancelled(m_now, dispatch);
  EXPECT_EQ(Pick(), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Pickers,
    TargetPickerTest,
    testing::Values(
        PickerCase{"PowerOfChoices",
                   [] {
                     return std::make_unique<PowerOfChoicesPicker>(
                         PowerOfChoicesSettings{});
                   }},
        PickerCase{"Random", [] { return std::make_unique<RandomPicker>(); }},
        PickerCase{"RoundRobin",
                   [] { return std::make_unique<RoundRobinPicker>(); }},
        PickerCase{"LeastReported",
                   [] { return std::make_unique<LeastReportedPicker>(); }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace bulrushmount

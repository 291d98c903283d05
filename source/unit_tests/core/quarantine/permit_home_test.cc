// Tests of `core/quarantine/permit_home.h`.

#include "core/quarantine/permit_home.h"

#include <vector>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

enum class Action : std::uint8_t { kAsk, kRenew, kReturn };

struct Message {
  // Seconds since the start.
  double at;
  std::uint64_t entry;
  std::uint64_t permit;
  std::uint64_t ask;
  Action action;
  bool expected;
  bool is_settled = true;
};

struct HomeCase {
  std::string name;
  std::vector<Message> messages;
};

class PermitHomeTest : public testing::TestWithParam<HomeCase> {};

TEST_P(PermitHomeTest, GrantsToOneEntryAtATime) {
  PermitHome home{QuarantineSettings()};
  for (const Message& message : GetParam().messages) {
    PermitAsk ask;
    ask.fingerprint = Fingerprint(7);
    ask.permit = PermitNumber(message.permit);
    ask.ask = PermitAskNumber(message.ask);
    ask.is_renewal = message.action == Action::kRenew;
    ask.is_return = message.action == Action::kReturn;
    EXPECT_EQ(home.OnAsk(kStart + FromSeconds(message.at),
                         NodeId(message.entry), ask, message.is_settled),
              message.expected)
        << "at " << message.at << " entry " << message.entry;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    PermitHomeTest,
    testing::Values(HomeCase{"SecondWaitsForReturn",
                             {{0, 1, 1, 1, Action::kAsk, true},
                              {1, 2, 1, 1, Action::kAsk, false},
                              {2, 1, 1, 2, Action::kReturn, false},
                              {2, 2, 2, 2, Action::kAsk, true}}},
                    HomeCase{"SecondWaitsForTermAndMargin",
                             {{0, 1, 1, 1, Action::kAsk, true},
                              {6.4, 2, 1, 1, Action::kAsk, false},
                              {6.6, 2, 1, 2, Action::kAsk, true},
                              {7, 1, 1, 2, Action::kRenew, false}}},
                    HomeCase{"RenewalExtends",
                             {{0, 1, 1, 1, Action::kAsk, true},
                              {4, 1, 1, 2, Action::kRenew, true},
                              {8, 2, 1, 1, Action::kAsk, false},
                              {10.6, 2, 1, 2, Action::kAsk, true}}},
                    HomeCase{"RepeatDoesNotExtend",
                             {{0, 1, 1, 1, Action::kAsk, true},
                              {5, 1, 1, 1, Action::kAsk, true},
                              {6.6, 2, 1, 1, Action::kAsk, true}}},
                    HomeCase{"AskThatArrivesAfterItsReturnGetsNothing",
                             {{0, 1, 1, 2, Action::kReturn, false},
                              {1, 1, 2, 3, Action::kAsk, true},
                              {2, 1, 2, 5, Action::kReturn, false},
                              {2, 1, 2, 4, Action::kRenew, false},
                              {2, 1, 2, 6, Action::kRenew, false},
                              {2, 2, 1, 1, Action::kAsk, true}}},
                    HomeCase{"LaterPermitOfTheSameEntryEndsTheEarlier",
                             {{0, 1, 1, 1, Action::kAsk, true},
                              {1, 1, 2, 2, Action::kAsk, true},
                              {2, 1, 1, 3, Action::kReturn, false},
                              {3, 2, 1, 1, Action::kAsk, false}}},
                    HomeCase{"UnsettledHomeTakesOverPermitsButGrantsNone",
                             {{0, 2, 1, 1, Action::kAsk, false, false},
                              {1, 1, 1, 1, Action::kRenew, true, false},
                              {2, 2, 1, 2, Action::kAsk, false, false},
                              {7, 2, 1, 3, Action::kAsk, false},
                              {8, 2, 1, 4, Action::kAsk, true}}}),
    [](const auto& test) { return test.param.name; });

TEST(PermitHomeSizeTest, IsBounded) {
  QuarantineSettings settings;
  settings.max_records = 10;
  PermitHome home{settings};
  for (std::uint64_t number = 1; number <= 100; ++number) {
    PermitAsk ask;
    ask.fingerprint = Fingerprint(number);
    ask.permit = PermitNumber(number);
    ask.ask = PermitAskNumber(number);
    home.OnAsk(kStart, NodeId(1), ask, true);
  }
  EXPECT_EQ(home.size(), 10U);
}

}  // namespace
}  // namespace bulrushmount

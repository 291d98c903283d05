// Tests of `core/limits/limiter_home.h`.

#include "core/limits/limiter_home.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""s;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr WorkspaceKey kWorkspace{7};
const WorkspaceLimits kLimits{100, 50, 40};
constexpr std::size_t kMembers = 10;

AllotmentRequest Request(std::uint64_t number, double demand) {
  AllotmentRequest request;
  request.workspace = kWorkspace;
  request.session = LendingSession(1);
  request.number = RequestNumber(number);
  request.target_units = 1000;
  request.demand = demand;
  request.in_flight_target = 1000;
  return request;
}

class LimiterHomeTest : public testing::Test {
 protected:
  LimiterHomeTest() : m_home(LimitsSettings(), kStart) {
    m_home.SetLimits(kStart, kWorkspace, kLimits);
    m_home.OnMembersChanged(kStart, kMembers, false,
                            [](WorkspaceKey) { return true; });
  }

  Allotment Ask(Duration at, std::uint64_t entry, AllotmentRequest request) {
    return m_home.OnRequest(kStart + at, NodeId(entry), request).value();
  }

  LimiterHome m_home;
};

// Guards against lending the burst twice when a home dies: the old home has
// lent its burst, and a new home whose account starts full lends it again.
TEST_F(LimiterHomeTest, AHomeThatIsNewToAWorkspaceStartsEmpty) {
  m_home.OnMembersChanged(kStart + 100s, kMembers, true,
                          [](WorkspaceKey) { return true; });
  EXPECT_EQ(Ask(100s, 1, Request(1, 10)).granted_units, 0);
  // One second of the fifth of the rate that no home lends as a rate.
  EXPECT_NEAR(Ask(101s, 2, Request(1, 10)).granted_units, 20, 0.01);
}

TEST_F(LimiterHomeTest, AnEstablishedHomeLendsTheBurst) {
  EXPECT_EQ(Ask(100s, 1, Request(1, 10)).granted_units, 50);
}

// Guards against exceeding the rate and the in-flight limit after the death of
// a home: a new home that lends before the entries have reported what they hold
// lends the same credit twice.
TEST_F(LimiterHomeTest, InTheGraceEntriesKeepWhatTheyHoldAndGetNoMore) {
  AllotmentRequest request = Request(1, 1000);
  request.rate_held = 30;
  request.in_flight_held = 9;
  const Allotment kept = Ask(1s, 1, request);
  EXPECT_EQ(kept.rate, 30);
  EXPECT_EQ(kept.in_flight, 9U);
  const Allotment fresh = Ask(2s, 2, Request(1, 1000));
  EXPECT_EQ(fresh.rate, 0);
  EXPECT_EQ(fresh.in_flight, 4U);
  EXPECT_GT(Ask(6s, 1, Request(2, 1000)).rate, 30);
}

// Guards against exceeding the rate after a lost datagram: the home lowers the
// rate of one entry, the answer is lost, and the home lends the difference to
// another entry although the first has not applied the lower rate.
TEST_F(LimiterHomeTest, ALoweredLoanCountsInFullUntilItIsApplied) {
  // A demand too high for the low-use headroom.
  constexpr double demand = 35;
  constexpr double rate = 42;
  EXPECT_EQ(Ask(100s, 1, Request(1, 1000)).rate, 80);
  AllotmentRequest lower = Request(2, demand);
  lower.applied = RequestNumber(1);
  EXPECT_EQ(Ask(101s, 1, lower).rate, rate);
  // That answer was lost: the entry reports again that it uses the first one.
  lower.number = RequestNumber(3);
  Ask(102s, 1, lower);
  EXPECT_EQ(Ask(102s, 2, Request(1, 1000)).rate, 0);
  AllotmentRequest applied = Request(4, demand);
  applied.applied = RequestNumber(3);
  Ask(103s, 1, applied);
  EXPECT_NEAR(Ask(104s, 2, Request(2, 1000)).rate, 80 - rate, 1e-9);
}

// Guards against a fleet of a thousand entries taking a minute to distribute a
// rate: an entry that is not asked to confirm a lowered rate confirms it only
// at its next request, after the longest interval.
TEST_F(LimiterHomeTest, AsksForAConfirmationOfALoweredRate) {
  EXPECT_EQ(Ask(100s, 1, Request(1, 1000)).pace, RequestPace::kNormal);
  EXPECT_EQ(Ask(101s, 2, Request(1, 1000)).rate, 0);
  AllotmentRequest again = Request(2, 1000);
  again.applied = RequestNumber(1);
  const Allotment lowered = Ask(102s, 1, again);
  EXPECT_EQ(lowered.rate, 40);
  EXPECT_EQ(lowered.pace, RequestPace::kConfirm);
  again.number = RequestNumber(3);
  again.applied = RequestNumber(2);
  EXPECT_EQ(Ask(103s, 1, again).pace, RequestPace::kNormal);
}

// Guards against lending the whole rate to the first of many entries: all have
// sent a request without a demand and send the next one in turn, and shares by
// the demand known so far ignore the later ones.
TEST_F(LimiterHomeTest, WhileRampingUpCountsUnknownDemandsLikeKnownOnes) {
  for (std::uint64_t entry = 1; entry <= 8; ++entry)
    Ask(100s, entry, Request(1, 0));
  for (std::uint64_t entry = 1; entry <= 8; ++entry)
    EXPECT_NEAR(Ask(100s, entry, Request(2, 1000)).rate, 10, 1e-9);
}

TEST_F(LimiterHomeTest, AfterRampUpCountsNoUnknownDemands) {
  for (std::uint64_t entry = 1; entry <= 8; ++entry)
    Ask(100s, entry, Request(1, 0));
  EXPECT_EQ(Ask(101s, 1, Request(2, 1000)).rate, 80);
}

struct PaceCase {
  const char* name;
  double demand;
  std::uint32_t in_flight_target;
  double rate;
  RequestPace pace;
};

class LimiterHomePaceTest : public LimiterHomeTest,
                            public testing::WithParamInterface<PaceCase> {};

TEST_P(LimiterHomePaceTest, IsRelaxedOnlyFarBelowAllLimits) {
  Ask(98s, 1, Request(1, 0));
  AllotmentRequest request = Request(2, GetParam().demand);
  request.target_units = 2;
  request.in_flight_target = GetParam().in_flight_target;
  const Allotment allotment = Ask(100s, 1, request);
  EXPECT_NEAR(allotment.rate, GetParam().rate, 1e-9);
  EXPECT_EQ(allotment.pace, GetParam().pace);
}

INSTANTIATE_TEST_SUITE_P(
    Demands,
    LimiterHomePaceTest,
    testing::Values(PaceCase{"little", 10, 2, 20, RequestPace::kRelaxed},
                    PaceCase{"unknown", 0, 2, 0, RequestPace::kNormal},
                    PaceCase{"half", 40, 2, 48, RequestPace::kNormal},
                    PaceCase{"calls", 10, 30, 20, RequestPace::kNormal}),
    [](const auto& info) { return std::string(info.param.name); });

TEST_F(LimiterHomeTest, RepeatedAndReorderedRequestsGetNoAnswer) {
  Ask(100s, 1, Request(2, 10));
  for (const std::uint64_t number : {2, 1}) {
    EXPECT_FALSE(m_home.OnRequest(kStart + 101s, NodeId(1), Request(number, 1))
                     .has_value());
  }
}

TEST_F(LimiterHomeTest, DropsAFullAccountWithoutLoans) {
  Ask(100s, 1, Request(1, 10));
  EXPECT_EQ(m_home.AccountCount(), 1U);
  m_home.OnTimer(kStart + 110s);
  EXPECT_EQ(m_home.AccountCount(), 1U);
  m_home.OnTimer(kStart + 200s);
  m_home.OnTimer(kStart + 202s);
  EXPECT_EQ(m_home.AccountCount(), 0U);
}

}  // namespace
}  // namespace bulrushmount

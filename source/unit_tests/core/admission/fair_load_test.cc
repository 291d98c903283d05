// Replays loads of many workspaces and of nested calls at one owner.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/admission/admission.h"
#include "core/admission/ranked_queue.h"
#include "core/pipeline/retry_after_policy.h"
#include "unit_tests/core/admission/owner_load.h"

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using testing::OwnerLoad;
using testing::OwnerLoadReplay;
using testing::Sender;
using testing::SenderTally;
using testing::SentKind;
using testing::SumOf;

constexpr SentKind kBalance{"balance", 160ms, 500ms, 1200ms};
constexpr SentKind kDebit{"debit", 210ms, 800ms, 1200ms};
constexpr SentKind kStatement{"statement", 400ms, 2000ms, 2000ms};
constexpr SentKind kLookup{"lookup", 40ms, 150ms, 500ms};

constexpr std::size_t kWorkspaces = 86;
constexpr std::uint64_t kSeeds = 8;

// Sizes by rank to the power -1.2; the sum is 1.
std::vector<double> WorkspaceSizes() {
  std::vector<double> sizes;
  double sum = 0;
  for (std::size_t rank = 1; rank <= kWorkspaces; ++rank) {
    sizes.push_back(std::pow(static_cast<double>(rank), -1.2));
    sum += sizes.back();
  }
  for (double& size : sizes)
    size /= sum;
  return sizes;
}

// Requests of all workspaces, together `per_second`.
std::vector<Sender> SendersOf(const SentKind& kind, double per_second) {
  std::vector<Sender> senders;
  for (const double size : WorkspaceSizes()) {
    Sender sender;
    sender.workspace = "w" + std::to_string(senders.size() + 1);
    sender.kind = kind;
    sender.per_second = size * per_second;
    senders.push_back(sender);
  }
  return senders;
}

bool IsNested(const Sender& sender) {
  return sender.is_nested;
}

bool IsNew(const Sender& sender) {
  return !sender.is_nested;
}

// Tallies over kSeeds runs of 10 s, in the order of the senders.
std::vector<SenderTally> Replay(OwnerLoad load) {
  std::vector<SenderTally> sums(load.senders.size());
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    load.seed = 10 * seed;
    const std::vector<SenderTally> tallies = OwnerLoadReplay(load).Run(10s);
    for (std::size_t index = 0; index < sums.size(); ++index)
      sums[index] += tallies[index];
  }
  return sums;
}

struct NestedLoad {
  const char* name;
  // The target completes 15 statements per second.
  double statements_per_second;
  double pairs_per_second;
  bool is_disturbed;
  // Maximum part of the callers that lose a look-up, and minimum parts of the
  // look-ups and statements that are answered in time.
  double most_failed_callers;
  double least_lookups_in_time;
  double least_statements_in_time;
};

class NestedLoadTest : public ::testing::TestWithParam<NestedLoad> {};

OwnerLoad LoadOf(const NestedLoad& row) {
  OwnerLoad load;
  load.senders = SendersOf(kStatement, row.statements_per_second);
  load.disturbed_share = row.is_disturbed ? 0.25 : 0;
  Sender lookups;
  lookups.kind = kLookup;
  lookups.per_second = row.pairs_per_second;
  lookups.together = 2;
  lookups.is_nested = true;
  load.senders.push_back(lookups);
  return load;
}

// Guards against failed callers during a burst of long requests on targets that
// also serve look-ups: a caller holds a slot elsewhere and fails with either of
// its two look-ups. Without precedence 97 % of the callers failed in the burst.
TEST_P(NestedLoadTest, LookUpsAreServedAndLongRequestsDoNotStarve) {
  const OwnerLoad load = LoadOf(GetParam());
  const std::vector<SenderTally> tallies = Replay(load);
  const SenderTally lookups = SumOf(load, tallies, IsNested);
  const SenderTally statements = SumOf(load, tallies, IsNew);
  EXPECT_LE(lookups.failed_groups,
            GetParam().most_failed_callers * lookups.groups)
      << lookups.failed_groups << " of " << lookups.groups;
  EXPECT_GE(lookups.in_time, GetParam().least_lookups_in_time * lookups.sent)
      << lookups.in_time << " of " << lookups.sent;
  EXPECT_GE(statements.in_time,
            GetParam().least_statements_in_time * statements.sent)
      << statements.in_time << " of " << statements.sent;
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    NestedLoadTest,
    ::testing::Values(
        NestedLoad{"UsualRate", 9, 15, false, 0.06, 0.9, 0.95},
        NestedLoad{"BurstOfStatements", 22.5, 15, false, 0.18, 0.65, 0.5},
        NestedLoad{"BurstOfStatementsAtADisturbedTarget", 22.5, 15, true, 0.34,
                   0.5, 0.4},
        // The look-ups alone exceed the capacity.
        NestedLoad{"BurstOfLookUps", 4, 90, false, 0.54, 0.55, 0.95}),
    [](const auto& info) { return std::string(info.param.name); });

struct DecisionLoad {
  const char* name;
  SentKind kind;
  // Demand relative to the capacity.
  double load;
  // Maximum part of the requests refused after an eighth of their objective
  // relative to a decision at any time, and minimum part answered in time.
  double most_held;
  double least_in_time;
};

class DecisionLoadTest : public ::testing::TestWithParam<DecisionLoad> {};

// Guards against refusals after a long wait: under a lasting overload, requests
// were accepted for two mean slot times whatever their objective, overtaken,
// and refused when their caller had little time left.
TEST_P(DecisionLoadTest, RequestsAreRefusedOnArrivalOrServed) {
  OwnerLoad load;
  Sender sender;
  sender.workspace = "a";
  sender.kind = GetParam().kind;
  sender.per_second =
      GetParam().load * load.slots / ToSeconds(sender.kind.takes);
  sender.ends = 8s;
  load.senders = {sender};
  const SenderTally on_arrival = Replay(load).front();
  load.settings.decides_on_arrival = false;
  const SenderTally at_any_time = Replay(load).front();
  EXPECT_LE(on_arrival.refused_late,
            GetParam().most_held * at_any_time.refused_late)
      << on_arrival.refused_late << " and " << at_any_time.refused_late;
  EXPECT_GE(on_arrival.in_time, GetParam().least_in_time * at_any_time.in_time)
      << on_arrival.in_time << " and " << at_any_time.in_time;
  EXPECT_GE(on_arrival.answered(), 0.95 * at_any_time.answered())
      << on_arrival.answered() << " and " << at_any_time.answered();
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    DecisionLoadTest,
    ::testing::Values(
        DecisionLoad{"BalanceChecks", kBalance, 1.3, 0.5, 0.98},
        DecisionLoad{"Debits", kDebit, 1.3, 0.4, 1.0},
        // Statements can wait for more than a second and be in time.
        DecisionLoad{"Statements", kStatement, 1.3, 0.2, 1.03},
        DecisionLoad{"DeadlineOf3Seconds",
                     {"fetch", 340ms, 1000ms, 3000ms},
                     1.3,
                     0.4,
                     0.98},
        DecisionLoad{"DeadlineOf8Seconds",
                     {"fetch", 340ms, 1000ms, 8000ms},
                     1.3,
                     0.1,
                     0.98},
        // Only a start within 150 ms is in time.
        DecisionLoad{"TightObjective",
                     {"fetch", 340ms, 500ms, 8000ms},
                     1.3,
                     0.1,
                     0.92}),
    [](const auto& info) { return std::string(info.param.name); });

struct FloodLoad {
  const char* name;
  SentKind kind;
  // Demand relative to the capacity while the third largest workspace sends six
  // times its usual rate.
  double load;
  // Minimum parts served of the requests of the 83 smaller workspaces, of the
  // second largest and of the largest one.
  double least_of_small;
  double least_of_second;
  double least_of_largest;
  // Maximum part of all requests refused after an eighth of their objective.
  double most_held;
  Rank rank_of_flood = 0;
  Rank rank_of_others = 0;
};

class FloodLoadTest : public ::testing::TestWithParam<FloodLoad> {};

OwnerLoad LoadOf(const FloodLoad& row) {
  constexpr std::size_t flooder = 2;
  constexpr double factor = 6;
  OwnerLoad load;
  const double usual = 1 + (factor - 1) * WorkspaceSizes()[flooder];
  load.senders = SendersOf(
      row.kind, row.load / usual * load.slots / ToSeconds(row.kind.takes));
  for (Sender& sender : load.senders)
    sender.rank = row.rank_of_others;
  load.senders[flooder].per_second *= factor;
  load.senders[flooder].rank = row.rank_of_flood;
  return load;
}

// Guards against requests of other workspaces that are refused or late because
// one workspace floods the target, and against requests of the flood that are
// refused only after they were held: 23 % of all were.
TEST_P(FloodLoadTest, OtherWorkspacesAreServed) {
  const OwnerLoad load = LoadOf(GetParam());
  const std::vector<SenderTally> tallies = Replay(load);
  SenderTally small;
  SenderTally all;
  for (std::size_t index = 0; index < tallies.size(); ++index) {
    all += tallies[index];
    if (index > 2)
      small += tallies[index];
  }
  EXPECT_GE(small.served(), GetParam().least_of_small);
  EXPECT_GE(tallies[1].served(), GetParam().least_of_second);
  EXPECT_GE(tallies[0].served(), GetParam().least_of_largest);
  EXPECT_GE(tallies[2].served(), 0.25 * all.served());
  EXPECT_GE(all.in_time * GetParam().load, 0.95 * all.sent);
  EXPECT_LE(all.refused_late, GetParam().most_held * all.sent);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    FloodLoadTest,
    ::testing::Values(
        FloodLoad{"BalanceChecks", kBalance, 1.4, 0.96, 0.75, 0.5, 0.04},
        FloodLoad{"Debits", kDebit, 1.4, 0.96, 0.75, 0.5, 0.04},
        FloodLoad{"Statements", kStatement, 1.4, 0.96, 0.75, 0.5, 0.04},
        FloodLoad{"TwiceTheCapacity", kBalance, 2.0, 0.9, 0.42, 0.2, 0.05},
        FloodLoad{"OfTheMostUrgentPriority", kBalance, 1.4, 0.95, 0.75, 0.5,
                  0.05, 0, 3}),
    [](const auto& info) { return std::string(info.param.name); });

struct PriorityLoad {
  const char* name;
  double load;
  // Ranks of the workspaces, largest first; the last one for all further ones.
  std::vector<Rank> ranks;
};

class PriorityLoadTest : public ::testing::TestWithParam<PriorityLoad> {};

// Guards against workspaces of the least urgent priority that are served less
// than a quarter as often as all: if they send most of the demand, the share of
// their rank is a small part of it.
TEST_P(PriorityLoadTest, LeastUrgentWorkspacesAreServedAThirdAsOften) {
  OwnerLoad load;
  load.senders = SendersOf(
      kBalance, GetParam().load * load.slots / ToSeconds(kBalance.takes));
  const std::vector<Rank>& ranks = GetParam().ranks;
  for (std::size_t index = 0; index < load.senders.size(); ++index)
    load.senders[index].rank = ranks[std::min(index, ranks.size() - 1)];
  const std::vector<SenderTally> tallies = Replay(load);
  const SenderTally all =
      SumOf(load, tallies, [](const Sender&) { return true; });
  // Smaller workspaces send too few requests for a fraction of their own.
  constexpr std::size_t measured = 6;
  for (std::size_t index = 0; index < measured; ++index) {
    EXPECT_GE(tallies[index].served(), 0.33 * all.served())
        << load.senders[index].workspace;
  }
  // Priorities apply within the fair shares, which the largest exceed.
  SenderTally most_urgent;
  for (std::size_t index = 3; index < tallies.size(); ++index) {
    if (load.senders[index].rank == 0)
      most_urgent += tallies[index];
  }
  EXPECT_GE(most_urgent.served(), 1.1 * all.served());
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    PriorityLoadTest,
    ::testing::Values(
        PriorityLoad{"LargestAreLeastUrgent", 2.0, {3, 3, 3, 0}},
        PriorityLoad{"LargestAreLeastUrgentInABurst", 3.0, {3, 3, 3, 0}},
        PriorityLoad{"LargestIsMostUrgent", 2.0, {0, 3}},
        PriorityLoad{"AllPriorities",
                     2.0,
                     {0, 1, 2, 3, 0, 1, 2, 3, 0, 1, 2, 3}}),
    [](const auto& info) { return std::string(info.param.name); });

struct SharedLoad {
  const char* name;
  // Demand relative to the capacity.
  double load;
  // Maximum part of the requests in time that is lost because workspaces are
  // distinguished.
  double most_lost;
};

class SharedLoadTest : public ::testing::TestWithParam<SharedLoad> {};

// Guards against late requests of a large workspace while all demand can be
// served in time: small workspaces with more time left went first.
TEST_P(SharedLoadTest, FairnessCostsNoAnswersInTime) {
  OwnerLoad load;
  load.senders = SendersOf(
      kBalance, GetParam().load * load.slots / ToSeconds(kBalance.takes));
  const auto is_any = [](const Sender&) { return true; };
  const SenderTally apart = SumOf(load, Replay(load), is_any);
  for (Sender& sender : load.senders)
    sender.workspace = "all";
  const SenderTally together = SumOf(load, Replay(load), is_any);
  EXPECT_GE(apart.in_time, (1 - GetParam().most_lost) * together.in_time);
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         SharedLoadTest,
                         ::testing::Values(SharedLoad{"Usual", 0.7, 0.0},
                                           SharedLoad{"AlmostFull", 0.9, 0.012},
                                           SharedLoad{"Full", 1.0, 0.02},
                                           SharedLoad{"Overload", 1.2, 0.01}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

struct RetryLoad {
  const char* name;
  SentKind kind;
  // Maximum part of the requests refused after an eighth of their objective.
  double most_held;
};

class RetryLoadTest : public ::testing::TestWithParam<RetryLoad> {};

// Guards against callers that come back at a constant time: at slow targets
// they are refused again and again until their time is over, and at fast ones
// they lose time in which they would be served.
TEST_P(RetryLoadTest, CallersComeBackWhenCapacityIsFree) {
  constexpr double overload = 1.4;
  OwnerLoad load;
  Sender sender;
  sender.workspace = "a";
  sender.kind = GetParam().kind;
  sender.per_second = overload * load.slots / ToSeconds(sender.kind.takes);
  sender.ends = 8s;
  load.senders = {sender};
  load.retry_after = [](const LoadReport&, Duration, RandomSource& random) {
    return std::optional<Duration>(
        FromSeconds(0.25 * (1.0 + random.Fraction())));
  };
  const SenderTally constant = Replay(load).front();
  load.retry_after = [](const LoadReport& report, Duration left,
                        RandomSource& random) {
    return DrawRetryAfter(Reason::kOverloaded, report, left, random);
  };
  const SenderTally expected = Replay(load).front();
  EXPECT_LE(expected.refused_late, GetParam().most_held * expected.sent)
      << expected.refused_late << ", constant " << constant.refused_late;
  EXPECT_GE(expected.in_time, 0.99 * constant.in_time)
      << expected.in_time << ", constant " << constant.in_time;
  EXPECT_GE(expected.answered(), 0.99 * constant.answered())
      << expected.answered() << ", constant " << constant.answered();
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    RetryLoadTest,
    ::testing::Values(RetryLoad{"BalanceChecks", kBalance, 0.06},
                      RetryLoad{"Debits", kDebit, 0.06},
                      RetryLoad{"Statements", kStatement, 0.01},
                      RetryLoad{"StatementsWithMoreTime",
                                {"statement", 400ms, 2000ms, 3000ms},
                                0.01}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

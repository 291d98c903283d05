// Tests how many owners an entry tries for a call, depending on recent
// refusals.

#include "core/pipeline/ask_budget.h"

#include <chrono>
#include <cstddef>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

const ServiceName kService("vault");
constexpr std::size_t kNodes = 72;

struct AskBudgetCase {
  const char* name;
  std::size_t owners;
  int calls;
  int refusals;
  Duration age;
  bool may_try_another;
  // Whether the targets that refused and that answered had room.
  bool has_room_when_refused = true;
  int answers = 0;
  int answers_with_room = 0;
};

class AskBudgetTest : public testing::TestWithParam<AskBudgetCase> {};

TEST_P(AskBudgetTest, LimitsAttemptsWhenMostAreRefused) {
  AskBudget budget;
  budget.SetFleetSize(kNodes);
  const TimePoint now{1h};
  for (int call = 0; call < GetParam().calls; ++call)
    budget.OnCall(now, kService);
  for (int answer = 0; answer < GetParam().answers; ++answer)
    budget.OnAnswered(now, kService, answer < GetParam().answers_with_room);
  for (int refusal = 0; refusal < GetParam().refusals; ++refusal)
    budget.OnRefused(now, kService, GetParam().has_room_when_refused);
  EXPECT_EQ(budget.MayTryAnotherOwner(now + GetParam().age, kService,
                                      GetParam().owners),
            GetParam().may_try_another);
}

INSTANTIATE_TEST_SUITE_P(
    Loads,
    AskBudgetTest,
    testing::Values(
        AskBudgetCase{"Nothing", 12, 0, 0, 0ms, true},
        AskBudgetCase{"OneCallTriesAFew", 12, 1, 3, 0ms, true},
        AskBudgetCase{"ThirdSlow", 12, 100, 50, 0ms, true},
        AskBudgetCase{"AllFull", 12, 100, 300, 0ms, false},
        AskBudgetCase{"FullAMomentAgo", 12, 100, 300, 100ms, false},
        AskBudgetCase{"FullLongAgo", 12, 100, 300, 5s, true},
        // The same refusals are allowed if there are many owners
        // per entry.
        AskBudgetCase{"FewCallsToManyOwners", 60, 10, 15, 0ms, true},
        AskBudgetCase{"FewCallsToFewOwners", 12, 10, 15, 0ms, false},
        // Hardly any target has room.
        AskBudgetCase{"AllFullAsAnswersShow", 12, 100, 50, 0ms, false, false,
                      50, 4},
        AskBudgetCase{"FewRefusalsWhileAllAreFull", 12, 100, 25, 0ms, true,
                      false, 50, 4},
        // Full targets refuse, but others have room.
        AskBudgetCase{"SomeFull", 12, 100, 50, 0ms, true, false, 50, 10},
        AskBudgetCase{"SlowWhileOthersAreFull", 12, 100, 50, 0ms, true, true,
                      50, 4},
        AskBudgetCase{"NoAnswersYet", 12, 100, 50, 0ms, true, false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

// Tests of `core/common/outcome.h`.

#include "core/common/outcome.h"

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

TEST(OutcomeTest, EachReasonIsFoundByItsToken) {
  for (int number = 0; number <= static_cast<int>(kLastReason); ++number) {
    const auto reason = static_cast<Reason>(number);
    EXPECT_EQ(ReasonFromToken(TraitsOf(reason).token), reason) << number;
  }
}

// Guards against telling the caller of a suspect request, which may run in a
// second when another copy of it has finished, to wait a minute like the caller
// of a quarantined one.
TEST(OutcomeTest, SuspectRequestsMayRetrySoonerThanQuarantinedOnes) {
  const ReasonTraits& suspect = TraitsOf(Reason::kSuspect);
  EXPECT_EQ(suspect.token, "suspect");
  EXPECT_EQ(suspect.status, 503);
  EXPECT_EQ(suspect.retry_after, std::chrono::seconds(1));
  EXPECT_EQ(TraitsOf(Reason::kQuarantined).retry_after,
            std::chrono::seconds(60));
}

}  // namespace
}  // namespace bulrushmount

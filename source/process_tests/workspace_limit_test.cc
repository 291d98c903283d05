// Proof that a workspace far below its limits is not refused by them: its
// contract allows 100,000 units a second, and it sends a few hundred.

#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

class WorkspaceLimitTest : public FleetTest {};

// Symptom: a workspace is refused with workspace-rate-limit though it is far
// below its limit, at its first calls and after each rise of its demand.
// Sequence: an entry admits from its own part of the limit until its home
// answers; from then on it has only what the home lends for the little demand
// that it has seen.
// Cause: a loan that is smaller than what the entry might admit without one.
TEST_F(WorkspaceLimitTest, CallsWithinTheLimitAreNotRefused) {
  FleetOptions options;
  options.is_warmed_up = false;
  StartFleet(options);
  std::vector<CallAnswer> answers;
  for (std::size_t n = 0; n < 300; ++n) {
    answers.push_back(Call(n % size(), {}));
    EXPECT_NE(answers.back().reason(), "workspace-rate-limit") << n;
  }
  fmt::print("calls {} {}\n", answers.size(), Summary(answers));
}

}  // namespace
}  // namespace bulrushmount

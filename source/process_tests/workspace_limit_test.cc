// Tests that the limiter does not refuse a workspace that is far below its
// limits: its contract allows 100,000 units a second, and it uses a few
// hundred.

#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

class WorkspaceLimitTest : public FleetTest {};

// Guards against workspace-rate-limit refusals far below the limit, at the
// first calls and after each rise in demand. They occur if the limiter home
// lends an entry node credit for the small demand seen so far, and this loan is
// smaller than the local share from which the entry node admits calls without a
// loan.
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

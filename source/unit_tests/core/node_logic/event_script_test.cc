// Checks that a node neither crashes nor violates its invariants for arbitrary
// sequences of events. The fuzz target runs the same scripts.

#include <cstdint>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "unit_tests/core/node_logic/event_script.h"

namespace bulrushmount::testing {
namespace {

RC_GTEST_PROP(EventScriptTest, EveryCallGetsOneOutcome, ()) {
  const auto size = *rc::gen::inRange<std::size_t>(0, 600);
  const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(
      size, rc::gen::inRange<int>(0, 256));
  const std::string script(bytes.begin(), bytes.end());
  RC_ASSERT(EventScript(script).Run() == "");
}

// Minimized scripts that once caused a failure.
struct RegressionScript {
  const char* name;
  std::vector<std::uint8_t> bytes;
};

class RegressionScriptTest : public ::testing::TestWithParam<RegressionScript> {
};

TEST_P(RegressionScriptTest, ViolatesNoInvariant) {
  const std::vector<std::uint8_t>& bytes = GetParam().bytes;
  EXPECT_EQ(EventScript(std::string(bytes.begin(), bytes.end())).Run(), "");
}

INSTANTIATE_TEST_SUITE_P(
    ,
    RegressionScriptTest,
    ::testing::Values(
        // A second work with an id in use was admitted as well, and one work
        // was handed to the target twice.
        RegressionScript{"WorkArrivesTwice", {1, 3, 0, 1, 1, 3, 0, 2}},
        // The end of an exchange that never began removed a work that was still
        // queued, and the look-up at its start threw an exception.
        RegressionScript{"QueuedWorkEnds",
                         {1, 0,  0, 50, 1, 1,  0,  50, 1,  2, 0,  50, 1,  3,
                          0, 50, 1, 4,  0, 50, 17, 4,  13, 0, 50, 1,  17, 0}},
        // The end of an answer that had not begun ended the work without a
        // reply to its entry.
        RegressionScript{"WorkEndsBeforeItsAnswerBegins",
                         {5, 2, 0, 1, 65, 2, 73, 2, 0, 1}},
        // A leaving node refused a second call with an id in use, and later the
        // first call got its outcome too.
        RegressionScript{"CallArrivesTwiceWhileLeaving",
                         {0, 0, 2, 31, 255, 0, 0, 2}},
        // The end of an answer that had not begun ended the call without a
        // reply to the caller.
        RegressionScript{"AnswerEndsBeforeItBegins",
                         {0, 0, 2, 20, 0, 1, 0, 0, 0, 0, 0, 3, 30}}),
    [](const auto& param) { return std::string(param.param.name); });

}  // namespace
}  // namespace bulrushmount::testing

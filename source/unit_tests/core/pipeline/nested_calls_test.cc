// Tests which calls a node classifies as nested calls of its local target.

#include "core/pipeline/nested_calls.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;

const CallClass kLookups{ServiceName("vault"), KindName("lookup")};

struct NestedCase {
  const char* name;
  int failures;
  // Time from each failure to the error of the target after it; 0: none
  // follows.
  Duration error_after;
  bool is_nested;
};

class NestedCallsTest : public testing::TestWithParam<NestedCase> {};

TEST_P(NestedCallsTest, AreDetectedByTheErrorsThatFollow) {
  NestedCalls calls;
  TimePoint now{1h};
  for (int failure = 0; failure < GetParam().failures; ++failure) {
    calls.OnCallFailed(now, kLookups);
    if (GetParam().error_after > Duration::zero())
      calls.OnTargetError(now + GetParam().error_after);
    now += 100ms;
  }
  EXPECT_EQ(calls.IsNested(kLookups), GetParam().is_nested);
}

INSTANTIATE_TEST_SUITE_P(
    Failures,
    NestedCallsTest,
    testing::Values(NestedCase{"Nothing", 0, 0ms, false},
                    NestedCase{"ErrorsFollow", 10, 5ms, true},
                    NestedCase{"TooFewFailures", 2, 5ms, false},
                    NestedCase{"NoErrorFollows", 100, 0ms, false},
                    NestedCase{"ErrorsFollowLater", 100, 60ms, false}),
    [](const auto& info) { return std::string(info.param.name); });

// Two calls of one request fail together and cause a single error.
TEST(NestedCallsTogetherTest, OneErrorCountsForAllCallsOfItsRequest) {
  NestedCalls calls;
  TimePoint now{1h};
  for (int request = 0; request < 5; ++request, now += 100ms) {
    calls.OnCallFailed(now, kLookups);
    calls.OnCallFailed(now, kLookups);
    calls.OnTargetError(now + 5ms);
  }
  EXPECT_TRUE(calls.IsNested(kLookups));
}

// The target is replaced by one that makes no such calls.
TEST(NestedCallsTogetherTest, UnlearnsCallsThatAreNoLongerNested) {
  NestedCalls calls;
  TimePoint now{1h};
  for (int failure = 0; failure < 10; ++failure, now += 100ms) {
    calls.OnCallFailed(now, kLookups);
    calls.OnTargetError(now + 5ms);
  }
  for (int failure = 0; failure < 10; ++failure, now += 100ms)
    calls.OnCallFailed(now, kLookups);
  EXPECT_FALSE(calls.IsNested(kLookups));
}

}  // namespace
}  // namespace bulrushmount

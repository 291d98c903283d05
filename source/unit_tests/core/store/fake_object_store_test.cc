// Tests of the faults of the fake object store, which other modules' tests rely
// on.

#include "unit_tests/core/store/fake_object_store.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

struct FaultCase {
  const char* name;
  TableFault fault;
  ObjectStatus status;
  bool takes_effect;
};

class FakeObjectStoreFaults : public testing::TestWithParam<FaultCase> {};

TEST_P(FakeObjectStoreFaults, AnswerAndEffect) {
  FakeObjectStore store;
  store.SetFault(GetParam().fault);
  std::optional<ObjectStatus> status;
  store.PutIfAbsent("a", "1", [&](TimePoint, const ObjectReply& reply) {
    status = reply.status;
  });
  EXPECT_FALSE(status.has_value()) << "called back before it was delivered";
  EXPECT_TRUE(store.DeliverNext(TimePoint{}));
  EXPECT_FALSE(store.DeliverNext(TimePoint{}));
  EXPECT_EQ(status, GetParam().status);
  EXPECT_EQ(store.objects().Find("a") != nullptr, GetParam().takes_effect);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FakeObjectStoreFaults,
    testing::Values(
        FaultCase{"None", TableFault::kNone, ObjectStatus::kOk, true},
        FaultCase{"Down", TableFault::kDown, ObjectStatus::kUnavailable, false},
        FaultCase{"Silent", TableFault::kSilent, ObjectStatus::kUnknown, false},
        FaultCase{"AnswerLost", TableFault::kAnswerLost, ObjectStatus::kUnknown,
                  true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace bulrushmount

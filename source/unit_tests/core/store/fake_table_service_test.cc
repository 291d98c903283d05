// Tests of the faults of the fake table, which other modules' tests rely on.

#include "unit_tests/core/store/fake_table_service.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace bulrushmount {
namespace {

TableTransact Put(const std::string& key, const std::string& value) {
  return {{}, {{key, value}}, {}};
}

struct FaultCase {
  const char* name;
  TableFault fault;
  TableStatus status;
  bool takes_effect;
};

class FakeTableServiceFaults : public testing::TestWithParam<FaultCase> {};

TEST_P(FakeTableServiceFaults, AnswerAndEffect) {
  FakeTableService service;
  service.FailNext(GetParam().fault);
  std::optional<TableStatus> status;
  service.Submit(Put("a", "1"), [&](TimePoint, const TableReply& reply) {
    status = reply.status;
  });
  EXPECT_FALSE(status.has_value()) << "called back before it was delivered";
  EXPECT_EQ(service.DeliverAll(TimePoint{}), 1U);
  EXPECT_EQ(status, GetParam().status);
  const bool exists = !service.table().Apply(TableGet{"a"}).rows.empty();
  EXPECT_EQ(exists, GetParam().takes_effect);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    FakeTableServiceFaults,
    testing::Values(
        FaultCase{"None", TableFault::kNone, TableStatus::kOk, true},
        FaultCase{"Down", TableFault::kDown, TableStatus::kUnavailable, false},
        FaultCase{"Silent", TableFault::kSilent, TableStatus::kUnknown, false},
        FaultCase{"AnswerLost", TableFault::kAnswerLost, TableStatus::kUnknown,
                  true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(FakeTableServiceTest, NextFaultsPrecedeTheSetFault) {
  FakeTableService service;
  service.SetFault(TableFault::kDown);
  service.FailNext(TableFault::kNone, 2);
  std::string statuses;
  for (int request = 0; request < 3; ++request) {
    service.Submit(TableGet{"a"}, [&](TimePoint, const TableReply& reply) {
      statuses += reply.status == TableStatus::kOk ? "o" : "u";
    });
  }
  service.Submit(Put("a", "1"), [](TimePoint, const TableReply&) {});
  service.DeliverAll(TimePoint{});
  EXPECT_EQ(statuses, "oou");
  EXPECT_EQ(service.reads(), 3U);
  EXPECT_EQ(service.writes(), 1U);
}

}  // namespace
}  // namespace bulrushmount

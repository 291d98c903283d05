// Proof that a caller who sends requests ahead loses nothing by it: what was
// passed on is answered whole and in order whoever ends meanwhile, and what
// nobody waits for any more holds no slot.

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "process_tests/fleet_fixture.h"
#include "process_tests/raw_caller.h"
#include "stand_ins/request_digest.h"

namespace bulrushmount {
namespace {

constexpr std::size_t kRequests = 4;

class PipelineTest : public FleetTest {
 protected:
  // Whole requests, one after the other, told apart by their query.
  static std::string Pipeline(std::string_view path) {
    std::string requests;
    for (std::size_t n = 0; n < kRequests; ++n) {
      requests += fmt::format(
          "GET {}?p={} HTTP/1.1\r\nHost: {}\r\nBulrushmount-Workspace: {}\r\n"
          "\r\n",
          path, n, kTestService, kTestWorkspace);
    }
    return requests;
  }

  std::size_t CountOf(std::string_view event, const std::string& path) const {
    const std::vector<LedgerLine> lines = Ledgers();
    return std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
      return line.event == event && line.path.starts_with(path + "?p=");
    });
  }

  // All of them at once, which only a node that reads ahead makes.
  bool WaitUntilAllRun(const std::string& path) {
    return WaitUntil([&] { return CountOf("started", path) == kRequests; });
  }
};

enum class Ending : unsigned char { kEntry, kOwner, kTarget };

struct EndingCase {
  const char* name;
  Ending ending;
};

class PipelineEndingTest : public PipelineTest,
                           public testing::WithParamInterface<EndingCase> {
 protected:
  ChildProcess& Ended(const std::string& path) {
    if (GetParam().ending == Ending::kEntry)
      return *at(0).node;
    const std::size_t owner = WaitForRun(path + "?p=0");
    return GetParam().ending == Ending::kOwner ? *at(owner).node
                                               : *at(owner).target_process;
  }

  // The bodies of the answers in the order in which they came.
  static std::string BodiesOf(const std::string& bytes) {
    constexpr std::string_view mark = "\r\n\r\ndigest ";
    std::string bodies;
    for (std::size_t found = bytes.find(mark); found != std::string::npos;
         found = bytes.find(mark, found + 1))
      bodies += bytes.substr(found + mark.size(), 16) + ",";
    return bodies;
  }
};

// Symptom: a caller with several requests on their way gets some answers only.
// Sequence: all of them run; the entry, an owner or a target is told to end.
// Cause: what was read ahead is forgotten, or its connection closed, when its
// turn has not come.
TEST_P(PipelineEndingTest, WhatWasPassedOnIsAnsweredInOrder) {
  FleetOptions options;
  options.target_arguments = {"--linger-ms", "4000"};
  options.contract = TestContract("20s");
  StartFleet(options);
  RemoveTarget(0);
  const std::string path = "/sleep/1500";
  std::string expected;
  for (std::size_t n = 0; n < kRequests; ++n) {
    const std::string whole = fmt::format("{}?p={}", path, n);
    expected += DigestText(RequestDigest("GET", whole, "")) + ",";
  }
  RawCaller caller(at(0).caller);
  ASSERT_TRUE(caller.Send(Pipeline(path)));
  ASSERT_TRUE(WaitUntilAllRun(path));
  ChildProcess& process = Ended(path);
  process.Terminate();
  ASSERT_TRUE(WaitUntil([&] {
    caller.ReadUntil(caller.bytes().size() + 1, std::chrono::milliseconds(50));
    return BodiesOf(caller.bytes()).size() >= expected.size() ||
           caller.is_closed();
  }));
  EXPECT_EQ(BodiesOf(caller.bytes()), expected) << caller.bytes();
  EXPECT_EQ(process.WaitForExit().value_or(ExitStatus{}).code, 0);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         PipelineEndingTest,
                         testing::Values(EndingCase{"Entry", Ending::kEntry},
                                         EndingCase{"Owner", Ending::kOwner},
                                         EndingCase{"Target", Ending::kTarget}),
                         [](const auto& info) {
                           return std::string(info.param.name);
                         });

// Symptom: a target's slots are taken by requests that nobody waits for.
// Sequence: a caller sends requests ahead that are never answered, and leaves.
// Cause: its leaving ends the first of them only.
TEST_F(PipelineTest, ACallerThatLeavesCancelsAllItSentAhead) {
  FleetOptions options;
  options.contract = TestContract("20s");
  StartFleet(options);
  {
    RawCaller caller(at(0).caller);
    ASSERT_TRUE(caller.Send(Pipeline("/silent")));
    ASSERT_TRUE(WaitUntilAllRun("/silent"));
  }
  EXPECT_TRUE(
      WaitUntil([&] { return CountOf("cancelled", "/silent") == kRequests; }));
  EXPECT_TRUE(Call(0, {}).is_answered());
}

}  // namespace
}  // namespace bulrushmount

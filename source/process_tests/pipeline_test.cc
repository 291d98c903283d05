// Tests pipelined requests: those that were forwarded are answered completely
// and in order although a process on their path shuts down, and those of a
// disconnected caller are cancelled, so that they occupy no slots.

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
  // Returns complete requests in a row, which differ in their query.
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

  // Waits until all requests have started. They run at the same time only if
  // the node reads ahead on the connection.
  bool WaitUntilAllRun(const std::string& path) {
    return WaitUntil([&] { return CountOf("started", path) == kRequests; });
  }
};

enum class TerminatedProcess : unsigned char { kEntry, kOwner, kTarget };

struct TerminationCase {
  const char* name;
  TerminatedProcess terminated;
};

class PipelineEndingTest : public PipelineTest,
                           public testing::WithParamInterface<TerminationCase> {
 protected:
  ChildProcess& ProcessToTerminate(const std::string& path) {
    if (GetParam().terminated == TerminatedProcess::kEntry)
      return *at(0).node;
    const std::size_t owner = WaitForRun(path + "?p=0");
    return GetParam().terminated == TerminatedProcess::kOwner
               ? *at(owner).node
               : *at(owner).target_process;
  }

  // Returns the digests of the answers in the order of arrival.
  static std::string DigestsOf(const std::string& bytes) {
    constexpr std::string_view body_prefix = "\r\n\r\ndigest ";
    std::string digests;
    for (std::size_t found = bytes.find(body_prefix);
         found != std::string::npos; found = bytes.find(body_prefix, found + 1))
      digests += bytes.substr(found + body_prefix.size(), 16) + ",";
    return digests;
  }
};

// Guards against a caller that gets only some of the answers to its pipelined
// requests when the entry node, an owner node or a target receives SIGTERM
// while all of them run. Answers are lost if requests that were read ahead are
// dropped, or the connection is closed, before it is their turn.
TEST_P(PipelineEndingTest, ForwardedRequestsAreAnsweredInOrder) {
  FleetOptions options;
  options.target_arguments = {"--linger-ms", "4000"};
  options.contract = TestContract("20s");
  StartFleet(options);
  RemoveTarget(0);
  const std::string path = "/sleep/1500";
  std::string expected;
  for (std::size_t n = 0; n < kRequests; ++n) {
    const std::string target = fmt::format("{}?p={}", path, n);
    expected += DigestText(RequestDigest("GET", target, "")) + ",";
  }
  RawCaller caller(at(0).caller);
  ASSERT_TRUE(caller.Send(Pipeline(path)));
  ASSERT_TRUE(WaitUntilAllRun(path));
  ChildProcess& process = ProcessToTerminate(path);
  process.Terminate();
  ASSERT_TRUE(WaitUntil([&] {
    caller.ReadUntil(caller.bytes().size() + 1, std::chrono::milliseconds(50));
    return DigestsOf(caller.bytes()).size() >= expected.size() ||
           caller.is_closed();
  }));
  EXPECT_EQ(DigestsOf(caller.bytes()), expected) << caller.bytes();
  EXPECT_EQ(process.WaitForExit().value_or(ExitStatus{}).code, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    PipelineEndingTest,
    testing::Values(TerminationCase{"Entry", TerminatedProcess::kEntry},
                    TerminationCase{"Owner", TerminatedProcess::kOwner},
                    TerminationCase{"Target", TerminatedProcess::kTarget}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against slots that stay occupied by the requests of a disconnected
// caller: it pipelines requests that are never answered, and its disconnection
// cancels only the first of them.
TEST_F(PipelineTest, DisconnectedCallerCancelsAllPipelinedRequests) {
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

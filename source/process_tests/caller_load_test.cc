// Tests the checks of the load generator `caller_load`: it must detect a
// request that is never answered and an answer that belongs to another request.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "process_tests/process_fixture.h"
#include "stand_ins/http_server.h"
#include "stand_ins/load_client.h"
#include "stand_ins/load_plan.h"
#include "stand_ins/load_summary.h"
#include "stand_ins/request_digest.h"

namespace bulrushmount {
namespace {

struct KindCase {
  const char* name;
  const char* text;
  bool is_valid;
  bool has_key;
  std::size_t body_size;
};

class LoadKindTest : public testing::TestWithParam<KindCase> {};

TEST_P(LoadKindTest, ParsesOnlyCompleteKinds) {
  const auto kind = ParseLoadKind(GetParam().text);
  ASSERT_EQ(kind.has_value(), GetParam().is_valid);
  if (kind) {
    EXPECT_EQ(kind->has_key, GetParam().has_key);
    EXPECT_EQ(kind->body_size, GetParam().body_size);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    LoadKindTest,
    testing::Values(
        KindCase{"Plain", "browse GET /scripts 3", true, false, 0},
        KindCase{"Whole", "book POST /book 1 key body 20", true, true, 20},
        KindCase{"NoWeight", "browse GET /scripts", false, false, 0},
        KindCase{"ZeroWeight", "a GET /a 0", false, false, 0},
        KindCase{"NoPath", "a GET a 1", false, false, 0},
        KindCase{"BodyWithoutSize", "a GET /a 1 body", false, false, 0},
        KindCase{"UnknownWord", "a GET /a 1 keys", false, false, 0}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(LatencyRecorderTest, PercentilesWithinOnePercent) {
  LatencyRecorder recorder;
  for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds) {
    recorder.Add(std::chrono::milliseconds(milliseconds));
  }
  EXPECT_NEAR(recorder.Percentile(50.0), 500.0, 5.1);
  EXPECT_NEAR(recorder.Percentile(99.0), 990.0, 10.0);
  EXPECT_DOUBLE_EQ(recorder.max_ms(), 1000.0);
}

struct AnswerCase {
  const char* name;
  std::string path;
  std::string body;
  bool is_own;
};

constexpr std::uint64_t kDigest = 77;

std::string DigestLine(std::uint64_t digest) {
  return "digest " + DigestText(digest) + "\n";
}

class AnswerTest : public testing::TestWithParam<AnswerCase> {};

TEST_P(AnswerTest, AcceptsOnlyItsOwnCompleteAnswer) {
  EXPECT_EQ(IsAnswerTo(kDigest, GetParam().path, GetParam().body),
            GetParam().is_own);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    AnswerTest,
    testing::Values(AnswerCase{"Line", "/a?n=1", DigestLine(kDigest), true},
                    AnswerCase{"OtherLine", "/a?n=1", DigestLine(78), false},
                    AnswerCase{"Empty", "/a?n=1", "", false},
                    AnswerCase{"CutLine", "/a?n=1",
                               DigestLine(kDigest).substr(0, 9), false},
                    AnswerCase{"PartOfAnother", "/trickle/2/1?n=1",
                               DigestLine(kDigest) + DigestLine(78), false},
                    AnswerCase{"Stream", "/size/100?n=1",
                               StreamBytes(kDigest, 0, 100), true},
                    AnswerCase{"CutStream", "/size/100?n=1",
                               StreamBytes(kDigest, 0, 99), false},
                    AnswerCase{"OtherStream", "/size/100?n=1",
                               StreamBytes(78, 0, 100), false}),
    [](const auto& info) { return std::string(info.param.name); });

class CallerLoadTest : public ProcessTest {
 protected:
  // Sends a load of `kind` directly to `target` and returns the exit code.
  std::optional<int> RunLoad(const Endpoint& target,
                             const std::string& kind,
                             std::vector<std::string> extra_arguments = {}) {
    std::vector<std::string> arguments{
        "--entries", ToString(target), "--direct",   "--kind",
        kind,        "--ledger",       LedgerPath(), "--rate",
        "400",       "--duration-s",   "0.5"};
    arguments.insert(arguments.end(), extra_arguments.begin(),
                     extra_arguments.end());
    const auto process = Start(BULRUSHMOUNT_CALLER_LOAD, arguments);
    const auto code = process->WaitForExit().value_or(ExitStatus{}).code;
    m_summary = process->StdoutText();
    return code;
  }

  std::string LedgerPath() const { return FilePath("caller_ledger"); }

  // The standard output of the last load.
  std::string m_summary;
};

TEST_F(CallerLoadTest, SuccessfulLoadExitsWithZero) {
  const Endpoint target = FreeEndpoint();
  const auto process = StartTarget(target, {"--service-time-ms", "1"});
  EXPECT_EQ(RunLoad(target, "book POST /book 1 key body 40",
                    {"--burst-every-ms", "100", "--burst-size", "20"}),
            0);
  EXPECT_NE(m_summary.find("digest_mismatches=0\n"), std::string::npos);
  const std::string ledger = ReadFile(LedgerPath());
  EXPECT_NE(ledger.find(R"("outcome":"answered")"), std::string::npos);
  EXPECT_EQ(ledger.find(R"("outcome":"none")"), std::string::npos);
}

// Guards against a load generator that misses swapped answers, as they occur
// when answers are matched to requests in flight by their order alone. The
// server answers each request with the digest of the previous one.
TEST_F(CallerLoadTest, SwappedAnswersAreCounted) {
  boost::asio::io_context io;
  std::uint64_t last_digest = 0;
  const HttpServer server(
      io, FreeEndpoint(), [&](const std::shared_ptr<ServerExchange>& exchange) {
        const std::uint64_t previous_digest = std::exchange(
            last_digest, RequestDigest("GET", exchange->path(), ""));
        exchange->Respond({200,
                           {{"X-Digest", DigestText(previous_digest)}},
                           DigestLine(previous_digest)});
      });
  std::thread thread([&] { io.run(); });
  EXPECT_EQ(RunLoad(server.endpoint(), "browse GET /browse 1"), 1);
  EXPECT_EQ(m_summary.find("digest_mismatches=0\n"), std::string::npos);
  io.stop();
  thread.join();
}

// Guards against a load generator that counts only answers, and so does not
// report requests that the target accepts and never answers.
TEST_F(CallerLoadTest, HangingRequestsAreCounted) {
  const Endpoint target = FreeEndpoint();
  const auto process = StartTarget(target);
  EXPECT_EQ(RunLoad(target, "hang GET /silent 1", {"--timeout-ms", "300"}), 1);
  EXPECT_NE(ReadFile(LedgerPath()).find(R"("outcome":"none")"),
            std::string::npos);
}

TEST_F(CallerLoadTest, ShedAndRefusedRequestsAreNotRun) {
  const Endpoint target = FreeEndpoint();
  const auto process = StartTarget(target);
  EXPECT_EQ(RunLoad(target, "shed GET /shed 1"), 0);
  EXPECT_EQ(RunLoad(FreeEndpoint(), "a GET /a 1"), 0);
  const std::string ledger = ReadFile(LedgerPath());
  EXPECT_EQ(ledger.find(R"("outcome":"answered")"), std::string::npos);
  EXPECT_NE(ledger.find(R"("reason":"shed")"), std::string::npos);
  EXPECT_NE(ledger.find(R"("reason":"caller-connect-failed")"),
            std::string::npos);
}

}  // namespace
}  // namespace bulrushmount

// Tests of `core/reporting/log_digest.h` with logs that are interleaved,
// truncated, unrelated or long.

#include "core/reporting/log_digest.h"

#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace bulrushmount {
namespace {

LogDigest DigestOf(const std::vector<std::string>& lines) {
  LogDigest digest;
  for (const std::string& line : lines)
    digest.AddLine(line);
  digest.Finish();
  return digest;
}

std::string CallLine(const std::string& process, double time, int attempts) {
  return fmt::format(
      "{} time={:.6f} level=info event=call.ended request_id=a outcome=not-run "
      "reason=overloaded attempts={} last_refusal=overloaded",
      process, time, attempts);
}

struct PrefixCase {
  const char* name;
  const char* prefix;
};

class LogPrefixTest : public testing::TestWithParam<PrefixCase> {};

// Processes are distinguished in the formats of common tools that combine logs.
TEST_P(LogPrefixTest, IdentifiesTheProcess) {
  const std::string prefix = GetParam().prefix;
  const LogDigest digest = DigestOf(
      {prefix + "time=5.1 level=info event=member.changed member=a state=alive",
       prefix + "time=5.2 level=info event=member.changed member=b state=alive",
       "other-process time=5.3 level=info event=member.changed member=a "
       "state=alive"});
  const LogWindow& window = digest.windows().at(5);
  EXPECT_EQ(window.members.count(), 2U);
  EXPECT_EQ(window.members.maximum(), 2);
  EXPECT_EQ(window.members.minimum(), 1);
}

INSTANTIATE_TEST_SUITE_P(Prefixes,
                         LogPrefixTest,
                         testing::Values(PrefixCase{"None", ""},
                                         PrefixCase{"Name", "node-1 "},
                                         PrefixCase{"File", "node-1.log:"},
                                         PrefixCase{"TimeAndName",
                                                    "  31.5284 node-1 "}),
                         [](const auto& info) { return info.param.name; });

TEST(LogDigestTest, CountsByWindowAcrossMixedProcesses) {
  const LogDigest digest = DigestOf({
      CallLine("a", 10.9, 1),
      CallLine("b", 11.0, 3),
      CallLine("a", 11.2, 5),
      "b time=11.5 level=info event=work.ended result=answered wait_ms=4.5",
      "b time=11.6 level=warning event=dependency.lost dependency=table",
  });
  ASSERT_EQ(digest.windows().size(), 2U);
  EXPECT_EQ(digest.windows().at(10).calls.at("not-run/overloaded"), 1U);
  const LogWindow& second = digest.windows().at(11);
  EXPECT_EQ(second.calls.at("not-run/overloaded"), 2U);
  EXPECT_EQ(second.attempts.mean(), 4);
  EXPECT_EQ(second.works.at("answered"), 1U);
  EXPECT_EQ(second.wait_ms.maximum(), 4.5);
  EXPECT_EQ(second.dependencies_lost, 1U);
  EXPECT_EQ(digest.skipped_lines(), 0U);
}

// Files may be concatenated, so that time goes backwards.
TEST(LogDigestTest, AcceptsConcatenatedFiles) {
  const LogDigest digest =
      DigestOf({CallLine("a", 10, 1), CallLine("a", 20, 1),
                CallLine("b", 10, 1), CallLine("b", 20, 1)});
  EXPECT_EQ(digest.windows().at(10).calls.at("not-run/overloaded"), 2U);
  EXPECT_EQ(digest.windows().at(20).calls.at("not-run/overloaded"), 2U);
}

TEST(LogDigestTest, ReportsStartDelays) {
  const LogDigest digest = DigestOf({
      "a time=1.0 level=info event=node.started node=7",
      "a time=1.5 level=info event=routes.in_force revision=3",
      "a time=2.5 level=info event=target.gate_opened instance=i",
      // Only the first one after a start counts.
      "a time=9.0 level=info event=routes.in_force revision=4",
      "a time=20.0 level=info event=node.started node=8",
      "a time=21.5 level=info event=routes.in_force revision=4",
  });
  EXPECT_EQ(digest.until_routes().count(), 2U);
  EXPECT_DOUBLE_EQ(digest.until_routes().mean(), 1.0);
  EXPECT_DOUBLE_EQ(digest.until_routes().maximum(), 1.5);
  EXPECT_EQ(digest.until_target().count(), 1U);
}

TEST(LogDigestTest, SkipsInvalidLines) {
  const LogDigest digest = DigestOf({
      "",
      "no event at all",
      "a time=",
      "a time=12.5 level=inf",
      "a time=nan event=call.ended outcome=answered",
      "a time=1e999 event=call.ended outcome=answered",
      std::string("\0\xff\xfe", 3),
  });
  EXPECT_EQ(digest.skipped_lines(), digest.lines());
  EXPECT_TRUE(digest.windows().empty());
}

// Days of logs use no more memory than an hour's, and no line is lost.
TEST(LogDigestTest, WidensWindowsIfTooMany) {
  LogDigest digest;
  constexpr std::uint64_t seconds = 4 * LogDigest::kMaxWindows;
  for (std::uint64_t second = 0; second < seconds; ++second)
    digest.AddLine(CallLine("a", static_cast<double>(second), 1));
  digest.Finish();
  EXPECT_LE(digest.windows().size(), LogDigest::kMaxWindows);
  std::uint64_t calls = 0;
  for (const auto& [begin, window] : digest.windows())
    calls += window.calls.at("not-run/overloaded");
  EXPECT_EQ(calls, seconds);
}

TEST(LogDigestTest, CountsExcessReasonsTogether) {
  LogDigest digest;
  for (int reason = 0; reason < 1000; ++reason) {
    digest.AddLine(fmt::format(
        "a time=1 event=call.ended outcome=x reason=r{} attempts=1", reason));
  }
  digest.Finish();
  EXPECT_LE(digest.windows().at(1).calls.size(), LogDigest::kMaxReasons + 1);
}

// Lines that are truncated anywhere or have changed bytes neither crash the
// digest nor are counted twice.
RC_GTEST_PROP(LogDigestProperty, SurvivesDamagedLines, ()) {
  const std::string whole = CallLine("a", 12.25, 2);
  LogDigest digest;
  const auto lines = *rc::gen::inRange(1, 20);
  for (int count = 0; count < lines; ++count) {
    std::string line =
        whole.substr(0, *rc::gen::inRange<std::size_t>(0, whole.size() + 1));
    if (!line.empty()) {
      line[*rc::gen::inRange<std::size_t>(0, line.size())] =
          *rc::gen::arbitrary<char>();
    }
    digest.AddLine(line);
  }
  digest.Finish();
  RC_ASSERT(digest.lines() == static_cast<std::uint64_t>(lines));
  RC_ASSERT(digest.skipped_lines() <= digest.lines());
}

}  // namespace
}  // namespace bulrushmount

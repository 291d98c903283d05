// Tests the operator interface on a fleet of real processes: contract writes
// that wait until all nodes have the contract in force, the burn report over
// all nodes, the metrics page, and log lines that carry a call's request id on
// every node.

#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "process_tests/fleet_fixture.h"

namespace bulrushmount {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::MatchesRegex;

constexpr std::string_view kHelp = "# HELP ";

std::vector<std::string> LinesWith(const std::string& text,
                                   std::string_view part) {
  std::vector<std::string> found;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find(part) != std::string::npos) {
      found.push_back(line);
    }
  }
  return found;
}

// Returns the number of calls with `outcome` in all series of a burn report.
std::int64_t Outcomes(const boost::json::value& report,
                      const std::string& outcome) {
  std::int64_t sum = 0;
  for (const boost::json::value& series : report.at("series").as_array()) {
    sum += series.at("outcomes").at(outcome).to_number<std::int64_t>();
  }
  return sum;
}

class OperatorPagesTest : public FleetTest {
 protected:
  OperatorPagesTest() {
    FleetOptions options;
    options.log_level = "debug";
    StartFleet(options);
  }

  std::string Ctl(const std::vector<std::string>& arguments) {
    std::vector<std::string> all{"--node", ToString(at(1).operators)};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const auto process = Start(BULRUSHMOUNT_CTL, all);
    const auto exit = process->WaitForExit();
    EXPECT_TRUE(exit && exit->code == 0) << process->StderrText();
    return process->StdoutText();
  }

  boost::json::value BurnJson() {
    return boost::json::parse(Ctl({"report", "burn", "--format", "json"}));
  }

  HttpAnswer Page(std::size_t node, const std::string& path) {
    return HttpCall(at(node).operators, "GET", path);
  }
};

// The second contract gives revision 2. The test queries no node before the
// command with --wait has returned.
TEST_F(OperatorPagesTest, WaitReturnsOnceAllHaveTheContractInForce) {
  const std::string file = FilePath("releases.yaml");
  std::string contract = TestContract();
  contract.replace(contract.find("studio"), 6, "releases");
  std::ofstream(file) << contract;
  Ctl({"contract", "write", file, "--wait"});
  CallRequest request;
  request.workspace = "releases";
  for (std::size_t node = 0; node < size(); ++node) {
    EXPECT_EQ(Status(node).at("revision").to_number<int>(), 2);
    // Null until the node has read the table, or has received a message from a
    // peer that has read it.
    EXPECT_TRUE(WaitUntil(
        [this, node] { return Status(node).at("config_age_ms").is_number(); }));
    const CallAnswer answer = Call(node, request);
    EXPECT_TRUE(answer.is_answered()) << ToText(answer);
  }
}

TEST_F(OperatorPagesTest, BurnReportCoversTheFleet) {
  // The report includes the fixture's warm-up calls.
  const std::int64_t before = Outcomes(BurnJson(), "answered");
  for (std::size_t node = 0; node < size(); ++node) {
    EXPECT_TRUE(Call(node, {}).is_answered());
  }
  // The entry node counts a call shortly after its caller has the answer.
  EXPECT_TRUE(WaitUntil([this, before] {
    return Outcomes(BurnJson(), "answered") == before + 3;
  }));
  const auto report = BurnJson();
  EXPECT_EQ(report.at("nodes").to_number<int>(), 3);
  EXPECT_EQ(report.at("nodes_missing").to_number<int>(), 0);
  EXPECT_EQ(Outcomes(report, "unknown"), 0);
  EXPECT_THAT(Ctl({"report", "burn", "--format", "text"}), HasSubstr("studio"));
  EXPECT_THAT(Ctl({"report", "burn", "--format", "svg"}), HasSubstr("<svg"));
  EXPECT_EQ(Page(0, "/report/burn?format=pdf").status, 400U);
}

// Guards against a report that never arrives, or that does not list a node as
// missing. A frozen node that the fleet has not detected yet does not answer,
// but its kernel still accepts connections.
TEST_F(OperatorPagesTest, BurnReportCountsAFrozenNode) {
  at(2).node->Freeze();
  const auto report = BurnJson();
  EXPECT_EQ(report.at("nodes").to_number<int>(), 2);
  EXPECT_EQ(report.at("nodes_missing").to_number<int>(), 1);
  at(2).node->Thaw();
}

// Guards against a caller that reads operator data: its request looks like a
// control request between nodes, and the header field that marks these is
// accepted from callers.
TEST_F(OperatorPagesTest, CallerCannotSendControlRequests) {
  at(1).target_process->Terminate();
  ASSERT_TRUE(at(1).target_process->WaitForExit());
  WaitForFleet();
  const HttpAnswer answer =
      HttpCall(at(1).caller, "GET", "/bulrushmount/burn", {},
               {{"Host", kTestService},
                {"Bulrushmount-Workspace", kTestWorkspace},
                {"Bulrushmount-Control", "burn"}});
  EXPECT_EQ(answer.Header("Bulrushmount-Outcome"), "answered");
  EXPECT_THAT(answer.body, HasSubstr("digest"));
}

TEST_F(OperatorPagesTest, EntryAndOwnerLogTheRequestId) {
  at(1).target_process->Terminate();
  ASSERT_TRUE(at(1).target_process->WaitForExit());
  WaitForFleet();
  const CallAnswer answer = Call(1, {});
  ASSERT_TRUE(answer.is_answered()) << ToText(answer);
  const std::string id = "request_id=" + answer.request_id;
  const std::size_t owner = WaitForRun("/read");
  const auto lines = [this, &id](std::size_t node) {
    return LinesWith(at(node).node->StdoutText(), id + " ");
  };
  ASSERT_TRUE(WaitUntil([&] { return lines(1).size() == 1; }));
  ASSERT_TRUE(WaitUntil([&] { return lines(owner).size() == 1; }));
  EXPECT_THAT(lines(1)[0], AllOf(HasSubstr("event=call.ended"),
                                 HasSubstr("outcome=answered")));
  EXPECT_THAT(lines(owner)[0], AllOf(HasSubstr("event=work.ended"),
                                     HasSubstr("result=answered")));
}

TEST_F(OperatorPagesTest, EveryLogLineConsistsOfKeyValuePairs) {
  ASSERT_TRUE(Call(0, {}).is_answered());
  const std::string pair = "[a-z_]+=([^ =\"]+|\"([^\"\\\\]|\\\\.)*\")";
  const std::string pattern = fmt::format("{0}( {0})*", pair);
  for (std::size_t node = 0; node < size(); ++node) {
    const auto lines = LinesWith(at(node).node->StdoutText(), "");
    EXPECT_GT(lines.size(), 2U);
    for (const std::string& line : lines) {
      EXPECT_THAT(line, MatchesRegex(pattern));
      EXPECT_THAT(line, HasSubstr(" event="));
    }
  }
}

// A sample: a metric name, optional labels, and a number.
constexpr char kSamplePattern[] =
    "[a-z_]+(\\{[a-z_]+=\"[^\"]*\"(,[a-z_]+=\"[^\"]*\")*\\})? [-+.e0-9]+";

// The samples of a histogram have its name with one of three suffixes.
bool IsSampleOf(const std::string& family, const std::string& line) {
  const std::string name = line.substr(0, line.find_first_of("{ "));
  return name == family || name == family + "_bucket" ||
         name == family + "_sum" || name == family + "_count";
}

// HELP and TYPE come before the samples of each metric family.
TEST_F(OperatorPagesTest, MetricsPageIsInTextFormat) {
  ASSERT_TRUE(
      WaitUntil([this] { return Status(0).at("config_age_ms").is_number(); }));
  const HttpAnswer page = Page(0, "/metrics");
  EXPECT_EQ(page.status, 200U);
  EXPECT_EQ(page.Header("Content-Type"),
            "text/plain; version=0.0.4; charset=utf-8");
  EXPECT_THAT(page.body, HasSubstr("\nbulrushmount_config_revision 1\n"));
  EXPECT_THAT(page.body, HasSubstr("\nbulrushmount_config_age_seconds "));
  std::string family;
  std::istringstream lines(page.body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(kHelp)) {
      EXPECT_THAT(line, MatchesRegex("# HELP [a-z_]+ .+"));
      family = line.substr(kHelp.size(),
                           line.find(' ', kHelp.size()) - kHelp.size());
    } else if (line.starts_with("#")) {
      EXPECT_THAT(line,
                  MatchesRegex("# TYPE [a-z_]+ (counter|gauge|histogram)"));
      EXPECT_THAT(line, HasSubstr(" " + family + " "));
    } else {
      EXPECT_THAT(line, MatchesRegex(kSamplePattern));
      EXPECT_TRUE(IsSampleOf(family, line)) << line;
    }
  }
}

}  // namespace
}  // namespace bulrushmount

// Tests `bulrushmountctl` against a scripted HTTP server on the loopback
// address.

#include "bulrushmountctl/ctl_commands.h"

#include <fstream>
#include <sstream>
#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bulrushmount {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using testing::ElementsAre;
using testing::HasSubstr;

struct ScriptedReply {
  // 0 closes the connection without a reply.
  unsigned status = 200;
  std::string body;
  std::string etag;
  // If not empty, sent instead of a reply; then the connection is closed.
  std::string bytes{};
};

// Accepts one connection for each reply, answers them in order and stops.
class ScriptedNode {
 public:
  explicit ScriptedNode(std::vector<ScriptedReply> replies)
      : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this, replies = std::move(replies)] { Serve(replies); }) {}

  ~ScriptedNode() {
    if (m_thread.joinable())
      m_thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  // Waits until all replies are sent and returns one line for each request:
  // "METHOD target If-Match Authorization".
  std::vector<std::string> Requests() {
    m_thread.join();
    return m_requests;
  }

 private:
  void Serve(const std::vector<ScriptedReply>& replies) {
    for (const ScriptedReply& reply : replies) {
      asio::ip::tcp::socket socket = m_acceptor.accept();
      boost::beast::flat_buffer buffer;
      http::request<http::string_body> request;
      http::read(socket, buffer, request);
      std::ostringstream line;
      line << request.method_string() << " " << request.target() << " "
           << request[http::field::if_match] << " "
           << request[http::field::authorization];
      m_requests.push_back(line.str());
      if (reply.status == 0)
        continue;
      if (!reply.bytes.empty()) {
        asio::write(socket, asio::buffer(reply.bytes));
        continue;
      }
      http::response<http::string_body> response;
      response.result(reply.status);
      response.body() = reply.body;
      if (!reply.etag.empty())
        response.set(http::field::etag, reply.etag);
      response.prepare_payload();
      http::write(socket, response);
    }
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

struct CtlResult {
  CtlExitCode exit;
  std::string out;
  std::string error;
};

CtlResult RunCtlCommand(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream error;
  const CtlExitCode exit = RunCtl(arguments, out, error);
  return {exit, out.str(), error.str()};
}

const std::string kStudio = BULRUSHMOUNT_EXAMPLES "/studio.yaml";

struct UsageCase {
  std::string name;
  std::vector<std::string> arguments;
  CtlExitCode exit;
  // Expected substring of the output or the error.
  std::string text;
};

class CtlUsageTest : public testing::TestWithParam<UsageCase> {};

TEST_P(CtlUsageTest, ExitsWithoutContactingANode) {
  const CtlResult result = RunCtlCommand(GetParam().arguments);
  EXPECT_EQ(result.exit, GetParam().exit);
  EXPECT_THAT(result.out + result.error, HasSubstr(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    CtlUsageTest,
    testing::Values(
        UsageCase{"Help", {"--help"}, CtlExitCode::kDone, "contract withdraw"},
        UsageCase{"Version", {"--version"}, CtlExitCode::kDone, "0."},
        UsageCase{"Nothing", {}, CtlExitCode::kUsage, "unknown command"},
        UsageCase{"BadOption", {"--colour"}, CtlExitCode::kUsage, "colour"},
        UsageCase{"NoNode", {"status"}, CtlExitCode::kUsage, "--node"},
        UsageCase{"HostName",
                  {"--node", "localhost:1", "status"},
                  CtlExitCode::kUsage,
                  "IP:PORT"},
        UsageCase{"NoVersion",
                  {"--node", "127.0.0.1:1", "contract", "withdraw", "a"},
                  CtlExitCode::kUsage,
                  "--if-version"},
        UsageCase{"BadName",
                  {"--node", "127.0.0.1:1", "contract", "show", "a/b"},
                  CtlExitCode::kUsage,
                  "NAME"},
        UsageCase{"BadFormat",
                  {"--node", "127.0.0.1:1", "report", "burn", "--format", "x"},
                  CtlExitCode::kUsage,
                  "--format"},
        UsageCase{"Check",
                  {"contract", "check", kStudio},
                  CtlExitCode::kDone,
                  "no faults, workspace studio"},
        UsageCase{"CheckFaults",
                  {"contract", "check", BULRUSHMOUNT_EXAMPLES "/node.yaml"},
                  CtlExitCode::kUsage,
                  "node.yaml:3:1: missing key 'workspace'"},
        UsageCase{"NoFile",
                  {"contract", "check", "no-such-file.yaml"},
                  CtlExitCode::kUsage,
                  "cannot read"}),
    [](const auto& info) { return info.param.name; });

struct ReplyCase {
  std::string name;
  ScriptedReply reply;
  CtlExitCode exit;
  std::string text;
};

class CtlReplyTest : public testing::TestWithParam<ReplyCase> {};

TEST_P(CtlReplyTest, MapsReplyToExitStatusAndMessage) {
  ScriptedNode node({GetParam().reply});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "contract", "write", kStudio,
                     "--if-version", "7"});
  EXPECT_EQ(result.exit, GetParam().exit) << result.error;
  EXPECT_THAT(result.out + result.error, HasSubstr(GetParam().text));
  EXPECT_THAT(node.Requests(), ElementsAre("PUT /contracts/studio \"7\" "));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    CtlReplyTest,
    testing::Values(
        ReplyCase{"Done",
                  {200, "{\"version\":8}", "\"8\""},
                  CtlExitCode::kDone,
                  "\"version\":8"},
        ReplyCase{"Race",
                  {412, "{\"error\":\"another\"}", "\"9\""},
                  CtlExitCode::kRefused,
                  "412: another\ncurrent version: 9"},
        ReplyCase{"Faults",
                  {400,
                   "{\"error\":\"faults\",\"faults\":[{\"line\":3,"
                   "\"column\":5,\"message\":\"bad\"}]}",
                   ""},
                  CtlExitCode::kUsage,
                  "line 3, column 5: bad"},
        ReplyCase{"StoreDown", {503, "down", ""}, CtlExitCode::kRefused, "503"},
        ReplyCase{"Unknown", {504, "{}", ""}, CtlExitCode::kUnknown, "504"},
        ReplyCase{"Closed", {0, "", ""}, CtlExitCode::kUnknown, "read back"}),
    [](const auto& info) { return info.param.name; });

struct BrokenReply {
  std::string name;
  std::string bytes;
};

class CtlBrokenReplyTest : public testing::TestWithParam<BrokenReply> {};

// Guards against an outcome that is read from a broken reply of a node.
TEST_P(CtlBrokenReplyTest, LeavesTheOutcomeUnknown) {
  ScriptedNode node({{200, "", "", GetParam().bytes}});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "contract", "write", kStudio,
                     "--if-version", "7"});
  EXPECT_EQ(result.exit, CtlExitCode::kUnknown) << result.error;
  EXPECT_THAT(result.error, HasSubstr("read back"));
}

INSTANTIATE_TEST_SUITE_P(
    InvalidStatuses,
    CtlBrokenReplyTest,
    testing::Values(BrokenReply{"Status000",
                                "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"},
                    BrokenReply{"Status600",
                                "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    FoldedLines,
    CtlBrokenReplyTest,
    testing::Values(BrokenReply{"FoldedLine",
                                "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n"
                                "Content-Length: 6\r\n\r\nforged"},
                    BrokenReply{
                        "FoldedLength",
                        "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 60"
                        "\r\n\r\nforged"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    InvalidNames,
    CtlBrokenReplyTest,
    testing::Values(BrokenReply{"BlankInName",
                                "HTTP/1.1 200 OK\r\nX Note: a\r\n"
                                "Content-Length: 6\r\n\r\nforged"},
                    BrokenReply{
                        "BlankInNameOfLength",
                        "HTTP/1.1 200 OK\r\nContent-Length : 60\r\n\r\nforged"},
                    BrokenReply{"ControlInName",
                                "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n"
                                "Content-Length: 6\r\n\r\nforged"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    CutHeads,
    CtlBrokenReplyTest,
    testing::Values(BrokenReply{"CutAfterStatusLine", "HTTP/1.1 200 OK\r\n"},
                    BrokenReply{"CutInLength",
                                "HTTP/1.1 200 OK\r\nContent-Length: 6"},
                    BrokenReply{"CutInLastLineEnd",
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"}),
    [](const auto& info) { return info.param.name; });

TEST(CtlTest, SummarizesLogsWithoutANode) {
  const std::string name = testing::TempDir() + "logs_of_two_nodes";
  std::ofstream(name)
      << "a time=7.5 level=info event=call.ended outcome=answered reason=none\n"
      << "b time=7.6 level=info event=call.ended outcome=not-run "
         "reason=throttled\n";
  std::ostringstream out;
  std::ostringstream error;
  EXPECT_EQ(RunCtl({"logs", "summary", name}, out, error), CtlExitCode::kDone);
  EXPECT_THAT(out.str(), HasSubstr("answered/none=1 not-run/throttled=1"));
  EXPECT_EQ(RunCtl({"logs", "summary", name + ".gone"}, out, error),
            CtlExitCode::kUsage);
  EXPECT_THAT(error.str(), HasSubstr("cannot read"));
}

TEST(CtlTest, NodeUnreachable) {
  std::string address;
  {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  const CtlResult result =
      RunCtlCommand({"--node", address, "contract", "write", kStudio});
  EXPECT_EQ(result.exit, CtlExitCode::kUnknown);
  EXPECT_THAT(result.error, HasSubstr("nothing was written"));
}

TEST(CtlTest, ShowsTheVersionAndSendsTheToken) {
  const std::string token_file = testing::TempDir() + "/ctl_test_token";
  std::ofstream(token_file) << "secret\n";
  ScriptedNode node({{200, "workspace: a\n", "\"5\""}});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "--token-file", token_file,
                     "contract", "show", "a"});
  EXPECT_EQ(result.out, "# version: 5\nworkspace: a\n");
  EXPECT_THAT(node.Requests(), ElementsAre("GET /contracts/a  Bearer secret"));
}

TEST(CtlTest, WaitsForEveryLiveMember) {
  const std::string one_member_behind =
      R"({"revision":4,"members":[{"revision":4,"state":"alive"},)"
      R"({"revision":3,"state":"suspect"},{"revision":1,"state":"dead"}]})";
  const std::string all_up_to_date =
      R"({"revision":4,"members":[{"revision":5,"state":"alive"},)"
      R"({"revision":4,"state":"alive"},{"revision":1,"state":"left"}]})";
  ScriptedNode node({{200, R"({"revision":4})", ""},
                     {200, one_member_behind, ""},
                     {200, all_up_to_date, ""}});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "contract", "withdraw", "a",
                     "--if-version", "3", "--wait"});
  EXPECT_EQ(result.exit, CtlExitCode::kDone) << result.error;
  EXPECT_EQ(node.Requests().size(), 3u);
}

constexpr char kEvacuationStatus[] =
    R"({"evacuated_zones":["a"],"known_zones":["a","b"]})";
constexpr char kEvacuationOfA[] = "workspace: evacuation\nzones:\n  - a\n";

TEST(CtlTest, ListsEvacuatedZones) {
  ScriptedNode node({{200, kEvacuationStatus, ""}});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "evacuation", "list"});
  EXPECT_EQ(result.exit, CtlExitCode::kDone);
  EXPECT_EQ(result.out, "a\n");
}

struct EvacuationCase {
  const char* name;
  const char* verb;
  const char* zone;
  // Evacuation contract in force; empty if there is none.
  const char* contract;
  CtlExitCode exit;
  const char* output;
  std::size_t requests;
};

class CtlEvacuationTest : public testing::TestWithParam<EvacuationCase> {};

TEST_P(CtlEvacuationTest, ChangesContractOrReportsError) {
  const bool contract_exists = *GetParam().contract != '\0';
  // The scripted node waits for as many requests as it has replies.
  std::vector<ScriptedReply> replies = {
      {200, kEvacuationStatus, ""},
      {contract_exists ? 200U : 404U, GetParam().contract, "\"5\""}};
  if (GetParam().exit == CtlExitCode::kDone)
    replies.push_back({200, R"({"revision":4})", ""});
  ScriptedNode node(replies);
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "evacuation", GetParam().verb,
                     GetParam().zone});
  EXPECT_EQ(result.exit, GetParam().exit) << result.error;
  EXPECT_THAT(result.out + result.error, HasSubstr(GetParam().output));
  EXPECT_EQ(node.Requests().size(), GetParam().requests);
}

INSTANTIATE_TEST_SUITE_P(
    Changes,
    CtlEvacuationTest,
    testing::Values(
        EvacuationCase{"First", "begin", "b", "", CtlExitCode::kDone,
                       "revision", 3},
        EvacuationCase{"Second", "begin", "b", kEvacuationOfA,
                       CtlExitCode::kDone, "revision", 3},
        EvacuationCase{"Last", "end", "a", kEvacuationOfA, CtlExitCode::kDone,
                       "revision", 3},
        EvacuationCase{"Twice", "begin", "a", kEvacuationOfA,
                       CtlExitCode::kRefused, "already evacuated", 2},
        EvacuationCase{"UnknownZone", "begin", "c", "", CtlExitCode::kRefused,
                       "zone c is not known to the node", 2},
        EvacuationCase{"NotEvacuated", "end", "b", kEvacuationOfA,
                       CtlExitCode::kRefused, "is not evacuated", 2}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(CtlTest, ReportsExpiredWait) {
  ScriptedNode node({{200, R"({"revision":4})", ""},
                     {200, R"({"revision":3,"members":[]})", ""}});
  const CtlResult result =
      RunCtlCommand({"--node", node.address(), "contract", "withdraw", "a",
                     "--if-version", "3", "--wait", "--wait-limit", "1ms"});
  EXPECT_EQ(result.exit, CtlExitCode::kUnknown);
  EXPECT_THAT(result.error, HasSubstr("accepted, but not seen"));
}

}  // namespace
}  // namespace bulrushmount

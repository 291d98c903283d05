// Tests which bytes of a server the HTTP client accepts as an answer.

#include "core/store/http_client.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "unit_tests/core/transport/transport_test_support.h"

namespace bulrushmount::testing {
namespace {

struct BrokenReply {
  const char* name;
  const char* bytes;
  // Whether the server closes the connection after these bytes.
  bool ends_with_close = false;
};

class BrokenReplyTest : public ::testing::TestWithParam<BrokenReply> {};

// Guards against a broken reply of the store that is taken for its answer, and
// against a connection that is used again after it.
TEST_P(BrokenReplyTest, IsUnknownAndItsConnectionIsClosed) {
  boost::asio::io_context context;
  RawTarget server(context, [](RawPeer& peer) {
    if (peer.received().find("\r\n\r\n") == std::string::npos)
      return;
    peer.received().clear();
    peer.Send(GetParam().bytes);
    if (GetParam().ends_with_close)
      peer.ShutdownSend();
  });
  HttpClientSettings settings;
  settings.server = server.endpoint();
  settings.timeout = kLimit;
  HttpClient client(context, settings);
  std::optional<HttpReply> reply;
  client.Send(HttpRequest(boost::beast::http::verb::get, "/", 11),
              [&reply](HttpReply got) { reply = std::move(got); });
  // Half of the time limit of the call: it must not end by that.
  ASSERT_TRUE(RunUntil(
      context, [&reply] { return reply.has_value(); }, kLimit / 2));
  EXPECT_EQ(reply->delivery, HttpDelivery::kUnknown) << reply->status;
  EXPECT_TRUE(
      RunUntil(context, [&server] { return server.peer(0).is_at_end(); }));
}

INSTANTIATE_TEST_SUITE_P(
    InvalidStatuses,
    BrokenReplyTest,
    ::testing::Values(
        BrokenReply{"Status000",
                    "HTTP/1.1 000 Trouble\r\nContent-Length: 6\r\n\r\nforged"},
        BrokenReply{"Status000WithoutLength",
                    "HTTP/1.1 000 Trouble\r\n\r\nforged", true},
        BrokenReply{"Status099",
                    "HTTP/1.1 099 Trouble\r\nContent-Length: 6\r\n\r\nforged"},
        BrokenReply{"Status600",
                    "HTTP/1.1 600 Trouble\r\nContent-Length: 6\r\n\r\nforged"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    FoldedLines,
    BrokenReplyTest,
    ::testing::Values(BrokenReply{"FoldedLine",
                                  "HTTP/1.1 200 OK\r\nX-Note: a\r\n b\r\n"
                                  "Content-Length: 6\r\n\r\nforged"},
                      BrokenReply{
                          "FoldedLength",
                          "HTTP/1.1 200 OK\r\nX-Note: a\r\n Content-Length: 60"
                          "\r\n\r\nforged",
                          true}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    InvalidNames,
    BrokenReplyTest,
    ::testing::Values(
        BrokenReply{"BlankInName",
                    "HTTP/1.1 200 OK\r\nX Note: a\r\n"
                    "Content-Length: 6\r\n\r\nforged"},
        BrokenReply{"BlankInNameOfLength",
                    "HTTP/1.1 200 OK\r\nContent-Length : 60\r\n\r\nforged",
                    true},
        BrokenReply{"ControlInName",
                    "HTTP/1.1 200 OK\r\nX\x01Note: a\r\n"
                    "Content-Length: 6\r\n\r\nforged"}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(
    CutHeads,
    BrokenReplyTest,
    ::testing::Values(
        BrokenReply{"CutAfterStatusLine", "HTTP/1.1 200 OK\r\n", true},
        BrokenReply{"CutInLength", "HTTP/1.1 200 OK\r\nContent-Length: 6",
                    true},
        BrokenReply{"CutInLastLineEnd",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", true}),
    [](const auto& info) { return info.param.name; });

// More than the socket buffers of both ends hold.
constexpr std::size_t kLongBodyBytes = std::size_t{64} << 20;
constexpr auto kIdleTime = std::chrono::milliseconds(50);

// Guards against a part of a reply that is taken for all of it, because the
// server resets the connection while the request is being written.
TEST(HttpClientTest, ResetDuringTheRequestIsNoEndOfTheReply) {
  boost::asio::io_context context;
  bool is_request_begun = false;
  RawTarget server(context, [&is_request_begun](RawPeer& peer) {
    is_request_begun = true;
    peer.Pause();
    peer.Send("HTTP/1.1 200 OK\r\n\r\nbegun");
  });
  HttpClientSettings settings;
  settings.server = server.endpoint();
  settings.timeout = kLimit;
  HttpClient client(context, settings);
  HttpRequest request(boost::beast::http::verb::put, "/", 11);
  request.body() = std::string(kLongBodyBytes, 'x');
  std::optional<HttpReply> reply;
  client.Send(std::move(request),
              [&reply](HttpReply got) { reply = std::move(got); });
  ASSERT_TRUE(RunUntil(context, [&] { return is_request_begun; }));
  while (context.run_one_for(kIdleTime) > 0) {
  }
  ASSERT_FALSE(reply);
  server.peer(0).Reset();
  ASSERT_TRUE(RunUntil(
      context, [&reply] { return reply.has_value(); }, kLimit / 2));
  EXPECT_EQ(reply->delivery, HttpDelivery::kUnknown) << reply->status;
}

}  // namespace
}  // namespace bulrushmount::testing
